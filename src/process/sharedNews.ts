/**
 * What this entry host heard itself and tells the other entry hosts. Only the latest news of each subject is kept.
 * @module
 */
import type { Announcement, CrashReport, Share } from '../connection/share.ts'
import type { Clock } from './clock.ts'
import { type Condition, createCondition } from './condition.ts'
import { announcementLimitMs } from './backendServers.ts'

/** How long a crash report is told and believed, in milliseconds. */
export const crashReportLimitMs = 600_000

interface News<Content> {
  readonly content: Content
  readonly heardAt: number
  readonly revision: number
}

/** News for other entry hosts. */
export interface SharedNews {
  /** Grows with each piece of news. */
  readonly revision: number
  readonly changed: Condition
  /** Adds an announcement that this host heard from the backend server itself. */
  announce (announcement: Announcement): void
  /** Adds a crash that this host saw itself. */
  reportCrash (report: CrashReport): void
  /**
   * Gathers what is new.
   * @param revision - the last revision that the receiver has
   * @param from - name of this host
   * @returns the share
   */
  since (revision: number, from: string): Share
}

/**
 * Creates the list without news.
 * @param clock - the clock
 * @returns the list
 */
export function createSharedNews (clock: Clock): SharedNews {
  const announcements = new Map<string, News<Announcement>>()
  const crashes = new Map<string, News<CrashReport>>()
  const changed = createCondition()
  let revision = 0

  function expire (): void {
    const now = clock.now()
    for (const [key, news] of announcements) {
      if (now - news.heardAt >= announcementLimitMs) announcements.delete(key)
    }
    for (const [key, news] of crashes) {
      if (now - news.heardAt >= crashReportLimitMs) crashes.delete(key)
    }
  }

  return {
    get revision () { return revision },
    changed,
    announce (announcement) {
      revision++
      announcements.set(announcement.address, { content: announcement, heardAt: clock.now(), revision })
      changed.notify()
    },
    reportCrash (report) {
      revision++
      crashes.set(`${report.fingerprint} ${report.backendServer} ${report.incarnation}`, { content: report, heardAt: clock.now(), revision })
      changed.notify()
    },
    since (known, from) {
      expire()
      const now = clock.now()
      const share = { from, announcements: [] as Array<{ announcement: Announcement, ageMs: number }>, crashes: [] as CrashReport[] }
      for (const news of announcements.values()) {
        if (news.revision > known) share.announcements.push({ announcement: news.content, ageMs: now - news.heardAt })
      }
      for (const news of crashes.values()) {
        if (news.revision > known) share.crashes.push({ ...news.content, ageMs: now - news.heardAt })
      }
      return share
    }
  }
}
