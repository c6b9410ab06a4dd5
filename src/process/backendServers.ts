/**
 * Routing state of an entry host: which backend servers there are, how loaded they are and whether they can be reached.
 * @module
 */
import type { Announcement } from '../connection/share.ts'
import type { Clock } from './clock.ts'
import { type Condition, createCondition } from './condition.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'

/** Time after which an announcement that was not renewed expires, in milliseconds. */
export const announcementLimitMs = 5_000

/** Time for which a backend server that refused a connection is avoided, in milliseconds. */
const avoidMs = 1_000

/** A backend server as this entry host sees it. */
export interface BackendServer {
  announcement: Announcement
  /** Monotonic time of the announcement, in milliseconds. */
  announcedAt: number
  /** Live requests of this entry host that run there. */
  liveInFlight: number
  /** Batch items of this entry host that run there. */
  batchInFlight: number
  /** Batch items of this entry host that the late load report may contain. */
  batchReported: number
  /** Monotonic time until which it is avoided, in milliseconds. */
  avoidedUntil: number
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
  hear (announcement: Announcement, ageMs: number): boolean
  /**
   * Lists the backend servers of a pool that may get new work.
   * @param pool - name of the pool
   * @returns those with a current announcement that are not leaving
   */
  available (pool: string): BackendServer[]
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
   * Records that a backend server refused a connection.
   * @param server - the backend server
   */
  avoid (server: BackendServer): void
}

/**
 * Creates an empty routing state.
 * @param clock - the clock
 * @param logger - the logger
 * @returns the routing state
 */
export function createBackendServers (clock: Clock, logger: Logger): BackendServers {
  const servers = new Map<string, BackendServer>()
  const changed = createCondition()

  function expire (): void {
    const now = clock.now()
    for (const [address, server] of servers) {
      if (now - server.announcedAt < announcementLimitMs) continue
      servers.delete(address)
      logger.write(LogEvents.backendServerExpired, { peer: address })
    }
  }

  function hear (announcement: Announcement, ageMs: number): boolean {
    if (ageMs >= announcementLimitMs) return false
    const announcedAt = clock.now() - ageMs
    const known = servers.get(announcement.address)
    if (known === undefined) {
      servers.set(announcement.address, {
        announcement, announcedAt, liveInFlight: 0, batchInFlight: 0, batchReported: 0, avoidedUntil: 0, liveChanged: createCondition()
      })
      logger.write(LogEvents.backendServerAnnounced, { peer: announcement.address, detail: announcement.pool })
      changed.notify()
      return true
    }
    if (!isNewer(announcement, known.announcement)) return false
    if (announcement.leaving && !known.announcement.leaving) logger.write(LogEvents.backendServerLeaving, { peer: announcement.address })
    known.announcement = announcement
    known.announcedAt = announcedAt
    changed.notify()
    return true
  }

  return {
    changed,
    hear,
    available (pool) {
      expire()
      const now = clock.now()
      const found: BackendServer[] = []
      for (const server of servers.values()) {
        if (server.announcement.pool !== pool || server.announcement.leaving) continue
        if (server.avoidedUntil > now) continue
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
      server.avoidedUntil = clock.now() + avoidMs
    }
  }
}

function isNewer (announcement: Announcement, known: Announcement): boolean {
  if (announcement.incarnation !== known.incarnation) return announcement.incarnation > known.incarnation
  return announcement.sequence > known.sequence
}
