/**
 * Live limits of one entry host, for each pool and account. Requests that wait are queued for each account, and the
 * accounts are served in turn.
 * @module
 */
import type { Pool } from '../../version/tables.ts'

/** How a wait for a place ended. */
export const WaitEnd = { Granted: 'granted', Displaced: 'displaced', Deadline: 'deadline', CallerDisconnected: 'caller gone' } as const
export type WaitEnd = typeof WaitEnd[keyof typeof WaitEnd]

/** A request that waits for a place. */
export interface Waiter {
  readonly account: string
  /** Ends the wait; only the first call counts. */
  readonly end: (end: WaitEnd) => void
}

/** Live requests of one pool. */
export interface PoolLoad {
  running: number
  waiting: number
  /** Requests that run or wait, by account. */
  readonly byAccount: Map<string, number>
  /** Waiting requests by account, oldest first; the first account is next in turn. */
  readonly queues: Map<string, Waiter[]>
  /** Usual duration of a request, in milliseconds; 0 before the first has ended. */
  averageDurationMs: number
}

/** Live requests of all pools. */
export interface PoolLoads {
  /**
   * Finds the load of a pool.
   * @param pool - the pool
   * @returns its load
   */
  getLoad (pool: Pool): PoolLoad
}

/** Weight of the latest request in the usual duration. */
const averageWeight = 0.1

/**
 * Creates limits without load.
 * @returns the limits
 */
export function createPoolLoads (): PoolLoads {
  const loads = new Map<string, PoolLoad>()
  return {
    getLoad (pool) {
      const present = loads.get(pool.name)
      if (present !== undefined) return present
      const created = createPoolLoad()
      loads.set(pool.name, created)
      return created
    }
  }
}

/**
 * Creates the load of an idle pool.
 * @returns the load
 */
export function createPoolLoad (): PoolLoad {
  return { running: 0, waiting: 0, byAccount: new Map(), queues: new Map(), averageDurationMs: 0 }
}

/**
 * Adds a request to the queue of its account.
 * @param load - load of the pool
 * @param waiter - the request
 */
export function enqueue (load: PoolLoad, waiter: Waiter): void {
  const queue = load.queues.get(waiter.account) ?? []
  load.queues.set(waiter.account, queue)
  queue.push(waiter)
  load.waiting++
}

/**
 * Takes a request out of the queue of its account.
 * @param load - load of the pool
 * @param waiter - the request
 */
export function dequeue (load: PoolLoad, waiter: Waiter): void {
  const queue = load.queues.get(waiter.account)
  const position = queue?.indexOf(waiter) ?? -1
  if (queue === undefined || position < 0) return
  queue.splice(position, 1)
  load.waiting--
  if (queue.length === 0) load.queues.delete(waiter.account)
}

/**
 * Gives free places to waiting requests: the oldest of the account next in turn, which then goes to the end of the turn.
 * @param load - load of the pool
 * @param liveConcurrency - places of the pool
 */
export function grantSlots (load: PoolLoad, liveConcurrency: number): void {
  for (const [account, queue] of load.queues) {
    if (load.running >= liveConcurrency) return
    const waiter = queue.shift()
    load.queues.delete(account)
    if (waiter === undefined) continue
    // An account added again is visited again by this loop, after the others.
    if (queue.length > 0) load.queues.set(account, queue)
    load.waiting--
    load.running++
    waiter.end(WaitEnd.Granted)
  }
}

/**
 * Records the end of a request that had a place.
 * @param load - load of the pool
 * @param durationMs - how long it ran, in milliseconds
 */
export function releaseSlot (load: PoolLoad, durationMs: number): void {
  load.running--
  load.averageDurationMs = load.averageDurationMs === 0 ? durationMs : load.averageDurationMs + averageWeight * (durationMs - load.averageDurationMs)
}

/**
 * Counts a request of an account that runs or waits.
 * @param load - load of the pool
 * @param account - the account
 */
export function incrementAccount (load: PoolLoad, account: string): void {
  load.byAccount.set(account, (load.byAccount.get(account) ?? 0) + 1)
}

/**
 * Ends the count of a request of an account.
 * @param load - load of the pool
 * @param account - the account
 */
export function decrementAccount (load: PoolLoad, account: string): void {
  const left = (load.byAccount.get(account) ?? 1) - 1
  if (left === 0) load.byAccount.delete(account)
  else load.byAccount.set(account, left)
}
