/**
 * Routing state of an entry host: which backend servers there are, how loaded they are and whether they can be reached.
 * @module
 */
import { type Announcement, fingerprintContent, type Renewal } from '../../connection/share.ts'
import type { Clock } from '../program/clock.ts'
import { hashText } from '../program/hash.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** Time after which an announcement that was not renewed expires, in milliseconds. */
export const announcementTtlMs = 5_000

/** Longest time for which a backend server that refused a connection is avoided, in milliseconds. */
const avoidMs = announcementTtlMs

/** A live request that has ended. Times are monotonic, in milliseconds. */
export interface EndedRequest {
  readonly startedAt: number
  readonly endedAt: number
}

/** A backend server as this entry host sees it. */
export interface BackendServer {
  announcement: Announcement
  /** Monotonic time of the announcement, in milliseconds. */
  announcedAt: number
  /** Live requests of this entry host that run there. */
  liveInFlight: number
  /** Start times of these requests, in order. */
  readonly liveStarts: number[]
  /** Live requests that ended since the last load report, which may still count them. */
  liveEnds: EndedRequest[]
  /** Number made from the address, for rendezvous hashing. */
  readonly addressHash: number
  /** Batch items of this entry host that run there. */
  batchInFlight: number
  /** Monotonic time since which it is avoided, in milliseconds; undefined when it is not. */
  avoidedSince: number | undefined
  /** Batch items of this entry host that the late load report may contain. */
  batchReported: number
  /** Notified when a live request starts or ends there. */
  readonly liveChanged: Condition
}

/** All backend servers that this entry host knows. */
export interface BackendServers {
  /** Notified when an announcement is new. */
  readonly changed: Condition
  /**
   * Takes an announcement. An older one than known changes nothing.
   * @param announcement - the announcement
   * @param ageMs - its age in milliseconds
   * @returns true when it was newer
   */
  recordAnnouncement (announcement: Announcement, ageMs: number): boolean
  /**
   * Takes a renewal. An older one than known changes nothing.
   * @param renewal - the renewal
   * @returns false when it renews an announcement that is not held and therefore has to come whole
   */
  renew (renewal: Renewal): boolean
  /**
   * Lists the backend servers of a pool that may get new work.
   * @param pool - name of the pool
   * @returns those with a current announcement that are not leaving
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
   * @returns the backend server, if it is known
   */
  find (address: string): BackendServer | undefined
  /**
   * Records that a backend server refused a connection. It gets no new work until it announces itself again.
   * @param server - the backend server
   */
  avoid (server: BackendServer): void
}

/** Takes the address and the old incarnation of a backend server that was started again. */
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
 * @param startedAt - the time its start was recorded with
 * @param now - monotonic time, in milliseconds
 */
export function recordLiveEnd (server: BackendServer, startedAt: number, now: number): void {
  server.liveInFlight--
  server.liveStarts.splice(server.liveStarts.indexOf(startedAt), 1)
  server.liveEnds.push({ startedAt, endedAt: now })
  server.liveChanged.notify()
}

/**
 * Tells when the reported load was true at the latest.
 * @param server - the backend server
 * @returns monotonic time, in milliseconds
 */
export function computeLoadReportTime (server: BackendServer): number {
  return server.announcedAt - (server.announcement.loadAgeMs ?? 0)
}

/**
 * Creates an empty routing state.
 * @param clock - the clock
 * @param logger - the logger
 * @param restarted - told of each backend server that was started again
 * @returns the routing state
 */
export function createBackendServers (clock: Clock, logger: Logger, restarted: RestartListener = () => {}): BackendServers {
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

  function hear (announcement: Announcement, ageMs: number): boolean {
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
    if (announcement.incarnation !== incarnation) restarted(announcement.address, incarnation)
    changed.notify()
    return true
  }

  function renew (renewal: Renewal): boolean {
    expire()
    const known = servers.get(renewal.address)
    if (known === undefined) return false
    const { sequence, running, loadAgeMs, content, ageMs } = renewal
    if (!isNewer(renewal, known.announcement)) return true
    // The content includes the incarnation.
    if (content !== fingerprintContent(known.announcement)) return false
    hear({ ...known.announcement, sequence, running, loadAgeMs }, ageMs)
    return true
  }

  return {
    changed,
    recordAnnouncement: hear,
    renew,
    listAvailable (pool) {
      expire()
      const now = clock.now()
      const found: BackendServer[] = []
      for (const server of servers.values()) {
        if (server.announcement.pool !== pool || server.announcement.leaving) continue
        if (now - (server.avoidedSince ?? -Infinity) < avoidMs) continue
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
