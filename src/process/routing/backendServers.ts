/**
 * Routing state of an entry host: the known backend servers, their load and whether they are reachable.
 * @module
 */
import { type Announcement, fingerprintContent, type Renewal } from '../../connection/share.ts'
import type { Clock } from '../program/clock.ts'
import { hashText } from '../program/hash.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** Time after which an announcement expires unless it is renewed, in milliseconds. */
export const announcementTtlMs = 5_000

/** Maximum time for which no new work is sent to a backend server that could not be reached, in milliseconds. */
const maxAvoidMs = announcementTtlMs

/** A live request that has ended. Times are monotonic, in milliseconds. */
export interface EndedRequest {
  readonly startedAt: number
  readonly endedAt: number
}

/** State of a backend server on this entry host. */
export interface BackendServer {
  announcement: Announcement
  /** Monotonic time at which the announcement was made, in milliseconds. */
  announcedAt: number
  /** Number of live requests of this entry host that run on the backend server. */
  liveInFlight: number
  /** Start times of these requests, ascending. */
  readonly liveStarts: number[]
  /** Live requests that ended after the last load report, which may still include them. */
  liveEnds: EndedRequest[]
  /** Hash of the address, for rendezvous hashing. */
  readonly addressHash: number
  /** Number of batch items of this entry host that run on the backend server. */
  batchInFlight: number
  /** Monotonic time since which no new work is sent to it, in milliseconds; undefined if it is not avoided. */
  avoidedSince: number | undefined
  /** Number of batch items of this entry host that the delayed load report may include. */
  batchReported: number
  /** Notified when a live request starts or ends on the backend server. */
  readonly liveChanged: Condition
}

/** All backend servers known to this entry host. */
export interface BackendServers {
  /** Notified when a newer announcement was recorded. */
  readonly changed: Condition
  /**
   * Records an announcement, unless a newer one is known.
   * @param announcement - the announcement
   * @param ageMs - its age in milliseconds
   * @returns true if it was recorded
   */
  recordAnnouncement (announcement: Announcement, ageMs: number): boolean
  /**
   * Records a renewal, unless a newer announcement is known.
   * @param renewal - the renewal
   * @returns false if the renewed announcement is not known, so the sender has to send it in full
   */
  renew (renewal: Renewal): boolean
  /**
   * Lists the backend servers of a pool that may get new work: those with a current announcement that are neither
   * leaving nor avoided.
   * @param pool - name of the pool
   * @returns the backend servers
   */
  listAvailable (pool: string): BackendServer[]
  /**
   * Lists all backend servers with a current announcement.
   * @returns the backend servers
   */
  list (): BackendServer[]
  /**
   * Finds a backend server.
   * @param address - its address
   * @returns the backend server, or undefined if it is not known
   */
  find (address: string): BackendServer | undefined
  /**
   * Records that a backend server could not be reached. No new work is sent to it until its next announcement or the
   * end of the avoidance time.
   * @param server - the backend server
   */
  avoid (server: BackendServer): void
}

/** Called with the address and the previous incarnation of a backend server that has restarted. */
export type RestartListener = (address: string, incarnation: string) => void

/**
 * Records the start of a live request on a backend server.
 * @param server - the backend server
 * @param now - monotonic time, in milliseconds
 */
export function recordLiveStart (server: BackendServer, now: number): void {
  server.liveInFlight++
  server.liveStarts.push(now)
  server.liveChanged.notify()
}

/**
 * Records the end of a live request on a backend server.
 * @param server - the backend server
 * @param startedAt - the time that was passed to `recordLiveStart`
 * @param now - monotonic time, in milliseconds
 */
export function recordLiveEnd (server: BackendServer, startedAt: number, now: number): void {
  server.liveInFlight--
  server.liveStarts.splice(server.liveStarts.indexOf(startedAt), 1)
  server.liveEnds.push({ startedAt, endedAt: now })
  server.liveChanged.notify()
}

/**
 * Computes the latest time at which the reported load can have been measured.
 * @param server - the backend server
 * @returns monotonic time, in milliseconds
 */
export function computeLoadReportTime (server: BackendServer): number {
  return server.announcedAt - (server.announcement.loadAgeMs ?? 0)
}

/**
 * Creates the routing state without backend servers.
 * @param clock - the clock
 * @param logger - the logger
 * @param onRestart - called for each backend server that has restarted
 * @returns the routing state
 */
export function createBackendServers (clock: Clock, logger: Logger, onRestart: RestartListener = () => {}): BackendServers {
  const servers = new Map<string, BackendServer>()
  const changed = createCondition()

  function expire (): void {
    const now = clock.now()
    for (const [address, server] of servers) {
      if (now - server.announcedAt < announcementTtlMs) continue
      servers.delete(address)
      logger.write(LogEvents.backendServerExpired, { peer: address })
    }
  }

  function recordAnnouncement (announcement: Announcement, ageMs: number): boolean {
    if (ageMs >= announcementTtlMs) return false
    const announcedAt = clock.now() - ageMs
    const known = servers.get(announcement.address)
    if (known === undefined) {
      servers.set(announcement.address, {
        announcement,
        announcedAt,
        liveInFlight: 0,
        liveStarts: [],
        liveEnds: [],
        addressHash: hashText(announcement.address),
        batchInFlight: 0,
        batchReported: 0,
        avoidedSince: undefined,
        liveChanged: createCondition()
      })
      logger.write(LogEvents.backendServerAnnounced, { peer: announcement.address, detail: announcement.pool })
      changed.notify()
      return true
    }
    if (!isNewer(announcement, known.announcement)) return false
    if (announcement.leaving && !known.announcement.leaving) logger.write(LogEvents.backendServerLeaving, { peer: announcement.address })
    const { incarnation } = known.announcement
    known.announcement = announcement
    known.announcedAt = announcedAt
    if (announcedAt > (known.avoidedSince ?? Infinity)) known.avoidedSince = undefined
    known.liveEnds = known.liveEnds.filter(ended => ended.endedAt > computeLoadReportTime(known))
    if (announcement.incarnation !== incarnation) onRestart(announcement.address, incarnation)
    changed.notify()
    return true
  }

  function renew (renewal: Renewal): boolean {
    expire()
    const known = servers.get(renewal.address)
    if (known === undefined) return false
    const { sequence, running, loadAgeMs, content, ageMs } = renewal
    if (!isNewer(renewal, known.announcement)) return true
    // The fingerprinted content includes the incarnation.
    if (content !== fingerprintContent(known.announcement)) return false
    recordAnnouncement({ ...known.announcement, sequence, running, loadAgeMs }, ageMs)
    return true
  }

  return {
    changed,
    recordAnnouncement,
    renew,
    listAvailable (pool) {
      expire()
      const now = clock.now()
      const found: BackendServer[] = []
      for (const server of servers.values()) {
        if (server.announcement.pool !== pool || server.announcement.leaving) continue
        if (now - (server.avoidedSince ?? -Infinity) < maxAvoidMs) continue
        found.push(server)
      }
      return found
    },
    list () {
      expire()
      return [...servers.values()]
    },
    find: address => servers.get(address),
    avoid (server) {
      server.avoidedSince = clock.now()
    }
  }
}

function isNewer (announcement: Pick<Announcement, 'incarnation' | 'sequence'>, known: Announcement): boolean {
  if (announcement.incarnation !== known.incarnation) return announcement.incarnation > known.incarnation
  return announcement.sequence > known.sequence
}
