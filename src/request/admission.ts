/**
 * Whether a live request runs, waits or is refused.
 * @module
 */
import type { PoolLoad, Waiter } from '../process/state/poolLoads.ts'
import type { Pool } from '../version/tables.ts'
import { RefusalReason } from './refusal.ts'

/** Kinds of decision. */
export const AdmissionKind = { Run: 'run', Wait: 'wait', Refuse: 'refuse' } as const
export type AdmissionKind = typeof AdmissionKind[keyof typeof AdmissionKind]

/** The decision. */
export type AdmissionDecision =
  | { readonly kind: typeof AdmissionKind.Run }
  | {
    readonly kind: typeof AdmissionKind.Wait
    /** The waiting request that is refused to make room, if one is. */
    readonly displaced?: Waiter
  }
  | { readonly kind: typeof AdmissionKind.Refuse, readonly reason: RefusalReason, readonly retryAfterMs: number }

/** Shortest advice to a refused caller, in milliseconds. */
const minRetryAfterMs = 1_000

/**
 * Decides on a new live request.
 * @param pool - limits of the pool
 * @param load - live requests of the pool on this entry host
 * @param account - who sent the request
 * @param remainingMs - time left until its deadline, in milliseconds
 * @returns the decision
 */
export function decideAdmission (pool: Pool, load: PoolLoad, account: string, remainingMs: number): AdmissionDecision {
  if ((load.byAccount.get(account) ?? 0) >= pool.accountConcurrency) return createRefuseDecision(RefusalReason.AccountLimit, load.averageDurationMs)
  if (load.running < pool.liveConcurrency && load.waiting === 0) return { kind: AdmissionKind.Run }
  const waitMs = estimateQueueMs(pool, load, account)
  if (waitMs >= remainingMs) return createRefuseDecision(RefusalReason.Overloaded, waitMs)
  if (load.waiting < pool.liveWaiting) return { kind: AdmissionKind.Wait }
  const displaced = findWaiterToDisplace(load, account)
  if (displaced === undefined) return createRefuseDecision(RefusalReason.Overloaded, waitMs)
  return { kind: AdmissionKind.Wait, displaced }
}

/**
 * Estimates how long a new request of an account waits when accounts are served in turn.
 * @param pool - limits of the pool
 * @param load - live requests of the pool
 * @param account - who sent the request
 * @returns milliseconds
 */
export function estimateQueueMs (pool: Pool, load: PoolLoad, account: string): number {
  const own = load.queues.get(account)?.length ?? 0
  let ahead = own
  for (const [other, queue] of load.queues) {
    // By the turn of the new request, each other account was served at most once more than the own one was.
    if (other !== account) ahead += Math.min(queue.length, own + 1)
  }
  return (ahead + 1) * load.averageDurationMs / pool.liveConcurrency
}

// The longest queue gives up its newest request to an account that would have fewer, so no account fills the waiting room.
function findWaiterToDisplace (load: PoolLoad, account: string): Waiter | undefined {
  const own = load.queues.get(account)?.length ?? 0
  let longest: readonly Waiter[] = []
  for (const queue of load.queues.values()) {
    if (queue.length > longest.length) longest = queue
  }
  return longest.length > own + 1 ? longest.at(-1) : undefined
}

function createRefuseDecision (reason: RefusalReason, waitMs: number): AdmissionDecision {
  return { kind: AdmissionKind.Refuse, reason, retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(waitMs)) }
}
