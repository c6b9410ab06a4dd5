/**
 * Whether a live request runs, waits or is refused.
 * @module
 */
import type { PoolLoad } from '../process/accounts.ts'
import type { Pool } from '../version/tables.ts'
import { RefusalReason } from './refusal.ts'

/** Kinds of decision. */
export const AdmissionKind = { Run: 'run', Wait: 'wait', Refuse: 'refuse' } as const
export type AdmissionKind = typeof AdmissionKind[keyof typeof AdmissionKind]

/** The decision. */
export type AdmissionDecision =
  | { readonly kind: typeof AdmissionKind.Run }
  | { readonly kind: typeof AdmissionKind.Wait }
  | { readonly kind: typeof AdmissionKind.Refuse, readonly reason: RefusalReason }

/**
 * Decides on a new live request.
 * @param pool - limits of the pool
 * @param load - live requests of the pool on this entry host
 * @param account - who sent the request
 * @returns the decision
 */
export function decideAdmission (pool: Pool, load: PoolLoad, account: string): AdmissionDecision {
  if ((load.byAccount.get(account) ?? 0) >= pool.accountConcurrency) {
    return { kind: AdmissionKind.Refuse, reason: RefusalReason.AccountLimit }
  }
  if (load.running < pool.liveConcurrency) return { kind: AdmissionKind.Run }
  if (load.waiting < pool.liveWaiting) return { kind: AdmissionKind.Wait }
  return { kind: AdmissionKind.Refuse, reason: RefusalReason.Overloaded }
}
