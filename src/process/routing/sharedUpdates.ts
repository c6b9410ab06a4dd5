/**
 * Updates that this entry host received first-hand and shares with the other entry hosts. Only the latest update per
 * backend server or crash is retained.
 * @module
 */
import { type Announcement, type CrashReport, createRenewal, type Renewal, serializeContent, type Share } from '../../connection/share.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { announcementTtlMs } from './backendServers.ts'

/** How long a crash report is valid and shared, in milliseconds. */
export const crashReportRetentionMs = 600_000

interface Update<Content> {
  readonly content: Content
  /** Monotonic time in milliseconds. */
  readonly receivedAt: number
  readonly revision: number
}

interface AnnouncementUpdate extends Update<Announcement> {
  /** Revision in which the content last changed; a receiver that has this revision needs only renewals. */
  readonly contentRevision: number
}

/** Updates for other entry hosts. */
export interface SharedUpdates {
  /** Incremented with each update. */
  readonly revision: number
  /** Revision of the last update to be sent without delay: a crash, or an announcement that is not a mere renewal. */
  readonly urgentRevision: number
  /** Notified with each update. */
  readonly changed: Condition
  /**
   * Adds an announcement that this host received from the backend server itself.
   * @param announcement - the announcement
   */
  addAnnouncement (announcement: Announcement): void
  /**
   * Adds a crash that this host detected itself.
   * @param report - the crash report
   */
  addCrashReport (report: CrashReport): void
  /**
   * Collects the updates that a receiver lacks.
   * @param revision - the last revision that the receiver has
   * @param from - name of this host
   * @param unheld - addresses of backend servers whose full announcement the receiver lacks despite the revision
   * @returns the share
   */
  createShareSince (revision: number, from: string, unheld?: ReadonlySet<string>): Share
}

/**
 * Creates the collection without updates.
 * @param clock - the clock
 * @returns the updates
 */
export function createSharedUpdates (clock: Clock): SharedUpdates {
  const announcements = new Map<string, AnnouncementUpdate>()
  const crashes = new Map<string, Update<CrashReport>>()
  const changed = createCondition()
  let revision = 0
  let urgentRevision = 0

  function expire (): void {
    const now = clock.now()
    for (const [key, update] of announcements) {
      if (now - update.receivedAt >= announcementTtlMs) announcements.delete(key)
    }
    for (const [key, update] of crashes) {
      if (now - update.receivedAt >= crashReportRetentionMs) crashes.delete(key)
    }
  }

  function findCurrentUpdate (address: string): AnnouncementUpdate | undefined {
    const update = announcements.get(address)
    return update === undefined || clock.now() - update.receivedAt >= announcementTtlMs ? undefined : update
  }

  return {
    get revision () { return revision },
    get urgentRevision () { return urgentRevision },
    changed,
    addAnnouncement (announcement) {
      revision++
      const known = findCurrentUpdate(announcement.address)
      const isRenewal = known !== undefined && serializeContent(known.content) === serializeContent(announcement)
      if (!isRenewal) urgentRevision = revision
      const contentRevision = isRenewal ? known.contentRevision : revision
      announcements.set(announcement.address, { content: announcement, receivedAt: clock.now(), revision, contentRevision })
      changed.notify()
    },
    addCrashReport (report) {
      revision++
      urgentRevision = revision
      crashes.set(`${report.fingerprint} ${report.backendServer} ${report.incarnation}`, { content: report, receivedAt: clock.now(), revision })
      changed.notify()
    },
    createShareSince (knownRevision, from, unheld = new Set()) {
      expire()
      const now = clock.now()
      const share = {
        from,
        announcements: [] as Array<{ announcement: Announcement, ageMs: number }>,
        renewals: [] as Renewal[],
        crashes: [] as CrashReport[]
      }
      for (const update of announcements.values()) {
        const ageMs = Math.ceil(now - update.receivedAt)
        if (update.contentRevision > knownRevision || unheld.has(update.content.address)) {
          share.announcements.push({ announcement: update.content, ageMs })
          continue
        }
        if (update.revision > knownRevision) share.renewals.push(createRenewal(update.content, ageMs))
      }
      for (const update of crashes.values()) {
        if (update.revision > knownRevision) share.crashes.push({ ...update.content, ageMs: now - update.receivedAt })
      }
      return share
    }
  }
}
