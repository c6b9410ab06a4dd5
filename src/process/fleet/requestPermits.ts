/**
 * Permits for requests to backend servers that name a request limit, on the leading control host. Requests of all hosts take
 * from one budget for each server.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { millisecondsPerSecond } from '../program/units.ts'
import type { NamedLimit, PermitRequest, PermitResponse } from './fleetMessages.ts'

/** Time in which an unused budget fills, in milliseconds. A burst after a pause may use up a full budget at once. */
const fillMs = 2_000

/** Lowest rate of permits, per second, so that the end of a limit of 0 is noticed. */
const minRatePerSecond = 0.2

/** Permits that items leave to live requests. */
const liveReserve = 1

/** Longest time after which a host asks again for a permit, in milliseconds. */
const maxRetryMs = 2_000

/** The permits; `id` is the id of a backend server. */
export interface RequestPermits {
  /** Incremented when a limit changes. */
  readonly revision: number
  /**
   * Records a limit.
   * @param named - the server and its limit; undefined ends the limit
   */
  record (named: NamedLimit): void
  /**
   * Decides on a live request.
   * @param request - the server, with the limit that the host knows
   * @returns whether the request may be sent
   */
  acquire (request: PermitRequest): PermitResponse
  /**
   * Counts the items that may be started on a server.
   * @param id - id of the server
   * @returns the number; Infinity if the server has no limit
   */
  countItemPermits (id: string): number
  /** Takes a permit for an item. */
  takeItemPermit (id: string): void
  /** Lists the limits. */
  list (): NamedLimit[]
  /**
   * Removes the limits of servers that are gone.
   * @param isKnown - returns whether a server is still known
   */
  retain (isKnown: (id: string) => boolean): void
  /** Removes all limits. */
  clear (): void
}

interface Budget {
  perSecond: number
  /** Requests that may be sent at once; negative after permits that were needed although there were none left. */
  tokens: number
  /** Monotonic time at which `tokens` was computed, in milliseconds. */
  at: number
  /** Requests that were denied since the last one that was granted; each gets a later time at which to ask again. */
  waiting: number
}

/**
 * Creates permits without limits.
 * @param clock - source of time
 * @returns the permits
 */
export function createRequestPermits (clock: Clock): RequestPermits {
  const budgets = new Map<string, Budget>()
  let revision = 1

  function getRate ({ perSecond }: Budget): number {
    return Math.max(minRatePerSecond, perSecond)
  }

  function refill (budget: Budget): void {
    const now = clock.now()
    const rate = getRate(budget)
    const capacity = Math.max(1, rate * fillMs / millisecondsPerSecond)
    budget.tokens = Math.min(capacity, budget.tokens + (now - budget.at) / millisecondsPerSecond * rate)
    budget.at = now
  }

  function record ({ server, perSecond }: NamedLimit): void {
    const known = budgets.get(server)
    if (known?.perSecond === perSecond) return
    revision++
    if (perSecond === undefined) {
      budgets.delete(server)
    } else if (known === undefined) {
      // The server has requests in flight that took no permit.
      budgets.set(server, { perSecond, tokens: 0, at: clock.now(), waiting: 0 })
    } else {
      refill(known)
      known.perSecond = perSecond
    }
  }

  return {
    get revision () { return revision },
    record,
    acquire ({ server, perSecond }) {
      if (!budgets.has(server)) record({ server, perSecond })
      const budget = budgets.get(server)
      if (budget === undefined) return { isGranted: true, retryMs: 0 }
      refill(budget)
      if (budget.tokens >= 1) {
        budget.tokens--
        budget.waiting = 0
        return { isGranted: true, retryMs: 0 }
      }
      budget.waiting++
      return { isGranted: false, retryMs: Math.min(maxRetryMs, (budget.waiting - budget.tokens) / getRate(budget) * millisecondsPerSecond) }
    },
    countItemPermits (id) {
      const budget = budgets.get(id)
      if (budget === undefined) return Infinity
      refill(budget)
      return Math.max(0, Math.floor(budget.tokens) - liveReserve)
    },
    takeItemPermit (id) {
      const budget = budgets.get(id)
      if (budget !== undefined) budget.tokens--
    },
    list: () => [...budgets].map(([server, { perSecond }]) => ({ server, perSecond })),
    retain (isKnown) {
      for (const server of budgets.keys()) {
        if (isKnown(server)) continue
        budgets.delete(server)
        revision++
      }
    },
    clear () {
      budgets.clear()
      revision++
    }
  }
}
