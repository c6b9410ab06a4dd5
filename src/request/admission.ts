/**
 * Admission control of live requests: run, queue or refuse.
 * @module
 */
import type { PoolLoad, Waiter } from '../process/state/poolLoads.ts'
import type { Pool } from '../version/tables.ts'
import { RefusalReason } from './refusal.ts'

/** Kinds of admission decision. */
export const AdmissionKind = { Run: 'run', Wait: 'wait', Refuse: 'refuse' } as const
export type AdmissionKind = typeof AdmissionKind[keyof typeof AdmissionKind]

/** Admission decision. */
export type AdmissionDecision =
  | { readonly kind: typeof AdmissionKind.Run }
  | {
    readonly kind: typeof AdmissionKind.Wait
    /** The waiting request to refuse in favour of the new one, if the queue is full. */
    readonly displaced?: Waiter
  }
  | { readonly kind: typeof AdmissionKind.Refuse, readonly reason: RefusalReason, readonly retryAfterMs: number }

/** Minimum retry delay suggested to a refused caller, in milliseconds. */
const minRetryAfterMs = 1_000

/**
 * Decides whether a new live request runs, waits or is refused.
 * @param pool - limits of the pool
 * @param load - live requests of the pool on this entry host
 * @param account - account of the request
 * @param remainingMs - time left until its deadline, in milliseconds
 * @returns the decision
 */
export function decideAdmission (pool: Pool, load: PoolLoad, account: string, remainingMs: number): AdmissionDecision {
  if ((load.byAccount.get(account) ?? 0) >= pool.accountConcurrency) return createRefusalDecision(RefusalReason.AccountLimit, load.averageDurationMs)
  if (load.running < pool.liveConcurrency && load.waiting === 0) return { kind: AdmissionKind.Run }
  const waitMs = estimateQueueMs(pool, load, account)
  if (waitMs >= remainingMs) return createRefusalDecision(RefusalReason.Overloaded, waitMs)
  if (load.waiting < pool.liveWaiting) return { kind: AdmissionKind.Wait }
  const displaced = findWaiterToDisplace(load, account)
  if (displaced === undefined) return createRefusalDecision(RefusalReason.Overloaded, waitMs)
  return { kind: AdmissionKind.Wait, displaced }
}

/**
 * Estimates the queueing time of a new request under round-robin service of the accounts.
 * @param pool - limits of the pool
 * @param load - live requests of the pool
 * @param account - account of the request
 * @returns the estimate, in milliseconds
 */
export function estimateQueueMs (pool: Pool, load: PoolLoad, account: string): number {
  const ownWaiting = load.queues.get(account)?.length ?? 0
  let waitingAhead = ownWaiting
  for (const [other, queue] of load.queues) {
    // Before the new request gets its turn, each other account is served at most once more than its own account.
    if (other !== account) waitingAhead += Math.min(queue.length, ownWaiting + 1)
  }
  return (waitingAhead + 1) * load.averageDurationMs / pool.liveConcurrency
}

// The newest request of the longest queue is displaced by one of an account with a shorter queue, so that no single account
// can occupy the whole queue.
function findWaiterToDisplace (load: PoolLoad, account: string): Waiter | undefined {
  const ownWaiting = load.queues.get(account)?.length ?? 0
  let longest: readonly Waiter[] = []
  for (const queue of load.queues.values()) {
    if (queue.length > longest.length) longest = queue
  }
  return longest.length > ownWaiting + 1 ? longest.at(-1) : undefined
}

function createRefusalDecision (reason: RefusalReason, estimatedDelayMs: number): AdmissionDecision {
  return { kind: AdmissionKind.Refuse, reason, retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(estimatedDelayMs)) }
}
