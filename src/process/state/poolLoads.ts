/**
 * Live requests of one entry host by pool and account, for its concurrency limits. Waiting requests are queued by
 * account, and the accounts are served round-robin.
 * @module
 */
import type { Pool } from '../../version/tables.ts'

/** How the wait for a slot ended. */
export const WaitEnd = { Granted: 'granted', Displaced: 'displaced', Deadline: 'deadline', CallerDisconnected: 'caller gone' } as const
export type WaitEnd = typeof WaitEnd[keyof typeof WaitEnd]

/** A request that waits for a slot. */
export interface Waiter {
  readonly account: string
  /** Ends the wait; only the first call has an effect. */
  readonly end: (end: WaitEnd) => void
}

/** Live requests of one pool. */
export interface PoolLoad {
  running: number
  waiting: number
  /** Number of running and waiting requests, by account. */
  readonly byAccount: Map<string, number>
  /** Waiting requests by account, oldest first. The accounts are in round-robin order: the first is served next. */
  readonly queues: Map<string, Waiter[]>
  /** Exponential moving average of the request duration, in milliseconds; 0 before the first request has ended. */
  averageDurationMs: number
}

/** Live requests of all pools. */
export interface PoolLoads {
  /**
   * Returns the load of a pool, creating it on first use.
   * @param pool - the pool
   * @returns its load
   */
  getLoad (pool: Pool): PoolLoad
}

/** Weight of the latest request in the moving average of the duration. */
const averageSmoothingFactor = 0.1

/**
 * Creates the loads of all pools, initially idle.
 * @returns the loads
 */
export function createPoolLoads (): PoolLoads {
  const loads = new Map<string, PoolLoad>()
  return {
    getLoad (pool) {
      const existing = loads.get(pool.name)
      if (existing !== undefined) return existing
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
 * Removes a request from the queue of its account.
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
 * Grants free slots to waiting requests round-robin over accounts: the oldest request of the first account is granted,
 * then that account moves to the end.
 * @param load - load of the pool
 * @param liveConcurrency - number of slots of the pool
 */
export function grantSlots (load: PoolLoad, liveConcurrency: number): void {
  for (const [account, queue] of load.queues) {
    if (load.running >= liveConcurrency) return
    const waiter = queue.shift()
    load.queues.delete(account)
    if (waiter === undefined) continue
    // A Map iterator visits keys that are added again, so this loop returns to the account after the others.
    if (queue.length > 0) load.queues.set(account, queue)
    load.waiting--
    load.running++
    waiter.end(WaitEnd.Granted)
  }
}

/**
 * Releases the slot of a request that has ended and updates the average duration.
 * @param load - load of the pool
 * @param durationMs - duration of the request, in milliseconds
 */
export function releaseSlot (load: PoolLoad, durationMs: number): void {
  load.running--
  load.averageDurationMs = load.averageDurationMs === 0 ? durationMs : load.averageDurationMs + averageSmoothingFactor * (durationMs - load.averageDurationMs)
}

/**
 * Adds one to the running and waiting requests of an account.
 * @param load - load of the pool
 * @param account - the account
 */
export function incrementAccount (load: PoolLoad, account: string): void {
  load.byAccount.set(account, (load.byAccount.get(account) ?? 0) + 1)
}

/**
 * Subtracts one from the running and waiting requests of an account.
 * @param load - load of the pool
 * @param account - the account
 */
export function decrementAccount (load: PoolLoad, account: string): void {
  const remaining = (load.byAccount.get(account) ?? 1) - 1
  if (remaining === 0) load.byAccount.delete(account)
  else load.byAccount.set(account, remaining)
}
