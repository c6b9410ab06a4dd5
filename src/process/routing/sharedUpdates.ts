/**
 * What this entry host heard itself and tells the other entry hosts. Only the latest news of each subject is kept.
 * @module
 */
import { type Announcement, type CrashReport, createRenewal, serializeContent, type Renewal, type Share } from '../../connection/share.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { announcementTtlMs } from './backendServers.ts'

/** How long a crash report is told and believed, in milliseconds. */
export const crashReportLimitMs = 600_000

interface News<Content> {
  readonly content: Content
  readonly heardAt: number
  readonly revision: number
}

interface AnnouncementNews extends News<Announcement> {
  /** Revision in which the content last changed: a receiver that has it needs only renewals. */
  readonly contentRevision: number
}

/** News for other entry hosts. */
export interface SharedUpdates {
  /** Grows with each piece of news. */
  readonly revision: number
  /** Revision of the last piece of news that goes at once: a crash, or an announcement that is no plain renewal. */
  readonly urgentRevision: number
  readonly changed: Condition
  /** Adds an announcement that this host heard from the backend server itself. */
  addAnnouncement (announcement: Announcement): void
  /** Adds a crash that this host saw itself. */
  addCrashReport (report: CrashReport): void
  /**
   * Gathers what is new.
   * @param revision - the last revision that the receiver has
   * @param from - name of this host
   * @param unheld - addresses of backend servers whose whole announcement the receiver lacks in spite of the revision
   * @returns the share
   */
  createShareSince (revision: number, from: string, unheld?: ReadonlySet<string>): Share
}

/**
 * Creates the list without news.
 * @param clock - the clock
 * @returns the list
 */
export function createSharedUpdates (clock: Clock): SharedUpdates {
  const announcements = new Map<string, AnnouncementNews>()
  const crashes = new Map<string, News<CrashReport>>()
  const changed = createCondition()
  let revision = 0
  let urgentRevision = 0

  function expire (): void {
    const now = clock.now()
    for (const [key, news] of announcements) {
      if (now - news.heardAt >= announcementTtlMs) announcements.delete(key)
    }
    for (const [key, news] of crashes) {
      if (now - news.heardAt >= crashReportLimitMs) crashes.delete(key)
    }
  }

  function currentNews (address: string): AnnouncementNews | undefined {
    const news = announcements.get(address)
    return news === undefined || clock.now() - news.heardAt >= announcementTtlMs ? undefined : news
  }

  return {
    get revision () { return revision },
    get urgentRevision () { return urgentRevision },
    changed,
    addAnnouncement (announcement) {
      revision++
      const known = currentNews(announcement.address)
      const isRenewal = known !== undefined && serializeContent(known.content) === serializeContent(announcement)
      if (!isRenewal) urgentRevision = revision
      const contentRevision = isRenewal ? known.contentRevision : revision
      announcements.set(announcement.address, { content: announcement, heardAt: clock.now(), revision, contentRevision })
      changed.notify()
    },
    addCrashReport (report) {
      revision++
      urgentRevision = revision
      crashes.set(`${report.fingerprint} ${report.backendServer} ${report.incarnation}`, { content: report, heardAt: clock.now(), revision })
      changed.notify()
    },
    createShareSince (known, from, unheld = new Set()) {
      expire()
      const now = clock.now()
      const share = {
        from,
        announcements: [] as Array<{ announcement: Announcement, ageMs: number }>,
        renewals: [] as Renewal[],
        crashes: [] as CrashReport[]
      }
      for (const news of announcements.values()) {
        const ageMs = Math.ceil(now - news.heardAt)
        if (news.contentRevision > known || unheld.has(news.content.address)) {
          share.announcements.push({ announcement: news.content, ageMs })
          continue
        }
        if (news.revision > known) share.renewals.push(createRenewal(news.content, ageMs))
      }
      for (const news of crashes.values()) {
        if (news.revision > known) share.crashes.push({ ...news.content, ageMs: now - news.heardAt })
      }
      return share
    }
  }
}
