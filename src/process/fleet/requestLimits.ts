/**
 * The request limits that backend servers name in their responses, as far as this host knows: from its own responses, and from
 * the leader, which collects them from all hosts.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { millisecondsPerSecond } from '../program/units.ts'
import type { NamedLimit, RequestLimitUpdate } from './fleetMessages.ts'

/** Limits by backend server; `id` is the id of the server. */
export interface RequestLimits {
  /** Revision of the last update from the leader; 0 before the first. */
  readonly revision: number
  /** Notified when there are limits to report. */
  readonly changed: Condition
  /**
   * Records what a response says.
   * @param id - id of the server that responded
   * @param perSecond - requests per second that it takes from all hosts together; undefined if it names no limit
   * @param sentAt - monotonic time at which the request was sent, in milliseconds
   */
  record (id: string, perSecond: number | undefined, sentAt: number): void
  /**
   * Applies the limits that the leader knows.
   * @param update - the limits
   * @param isNewLeadership - whether the leader may lack limits that were reported to its predecessor
   */
  applyUpdate (update: RequestLimitUpdate, isNewLeadership: boolean): void
  /**
   * Finds the limit of a server.
   * @param id - id of the server
   * @returns requests per second, or undefined if it has none
   */
  find (id: string): number | undefined
  /** Lists what the leader does not know yet. */
  listUnreported (): NamedLimit[]
  /**
   * Marks limits as reported.
   * @param reported - the limits
   */
  confirm (reported: readonly NamedLimit[]): void
  /**
   * Excludes a server for a while, since its limit is used up.
   * @param id - id of the server
   * @param durationMs - time until a request may be permitted, in milliseconds
   */
  exclude (id: string, durationMs: number): void
  /** Checks whether a server is excluded at present. */
  isExcluded (id: string): boolean
  /**
   * Takes a request from this host's share of a limit, for use while the leader is unreachable.
   * @param id - id of the server
   * @returns false if the share is used up
   */
  takeFromShare (id: string): boolean
  /** Starts the shares anew with the next failure of the leader. */
  resetShares (): void
}

interface KnownLimit {
  readonly perSecond: number
  /** Monotonic time at which this host learned the limit, in milliseconds. */
  readonly since: number
}

interface Share {
  /** Requests that may be sent at once. */
  tokens: number
  /** Monotonic time at which `tokens` was computed, in milliseconds. */
  at: number
}

/**
 * Creates an empty set of limits.
 * @param clock - source of time
 * @param logger - receives log events
 * @returns the limits
 */
export function createRequestLimits (clock: Clock, logger: Logger): RequestLimits {
  const limits = new Map<string, KnownLimit>()
  const unreported = new Map<string, NamedLimit>()
  // Monotonic time until which a server is excluded, in milliseconds.
  const excludedUntil = new Map<string, number>()
  const shares = new Map<string, Share>()
  const changed = createCondition(clock)
  let revision = 0
  let hosts = 1

  function set ({ server, perSecond }: NamedLimit): boolean {
    const known = limits.get(server)
    if (known?.perSecond === perSecond) return false
    if (perSecond === undefined) {
      limits.delete(server)
      excludedUntil.delete(server)
      shares.delete(server)
    } else {
      limits.set(server, { perSecond, since: known?.since ?? clock.now() })
    }
    logger.write(LogEvents.requestLimitChanged, { detail: server, inputs: { perSecond: perSecond ?? -1 } })
    return true
  }

  return {
    get revision () { return revision },
    changed,
    record (id, perSecond, sentAt) {
      const known = limits.get(id)
      // The response to a request that was sent before the limit was known may be older than the limit.
      if (perSecond === undefined && known !== undefined && sentAt <= known.since) return
      const named = { server: id, perSecond }
      if (!set(named)) return
      unreported.set(id, named)
      changed.notify()
    },
    applyUpdate (update, isNewLeadership) {
      revision = update.revision
      hosts = Math.max(1, update.hosts)
      const listed = new Set<string>()
      for (const named of update.limits) {
        listed.add(named.server)
        if (!unreported.has(named.server)) set(named)
      }
      for (const [server, { perSecond }] of limits) {
        if (listed.has(server) || unreported.has(server)) continue
        if (isNewLeadership) unreported.set(server, { server, perSecond })
        else set({ server, perSecond: undefined })
      }
      if (unreported.size > 0) changed.notify()
    },
    find: id => limits.get(id)?.perSecond,
    listUnreported: () => [...unreported.values()],
    confirm (reported) {
      for (const named of reported) {
        if (unreported.get(named.server) === named) unreported.delete(named.server)
      }
    },
    exclude (id, durationMs) {
      excludedUntil.set(id, clock.now() + durationMs)
    },
    isExcluded: id => (excludedUntil.get(id) ?? -Infinity) > clock.now(),
    takeFromShare (id) {
      const now = clock.now()
      const perSecond = (limits.get(id)?.perSecond ?? Infinity) / hosts
      // A share begins empty: permits of the leader were used until now.
      const share = shares.get(id) ?? { tokens: 0, at: now }
      shares.set(id, share)
      share.tokens = Math.min(1, share.tokens + (now - share.at) / millisecondsPerSecond * perSecond)
      share.at = now
      if (share.tokens < 1) return false
      share.tokens--
      return true
    },
    resetShares: () => shares.clear()
  }
}
