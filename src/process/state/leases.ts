/**
 * Batch dispatch leases, as applied from the replicated log. The leader decides when a holder expires, see sessions.ts.
 * @module
 */
import { type CommandOf, done, type Holder, type Outcome, OutcomeKind } from './commands.ts'
import { requeueUnreceivedGrants } from '../jobs/grants.ts'
import type { Jobs } from '../jobs/jobRecords.ts'

/** The batch dispatch lease of one backend server. */
export interface Lease {
  readonly holder: Holder | undefined
  /** Incremented each time the lease is granted; serves as the fencing number. */
  readonly number: number
}

/** Leases by address of the backend server, and the jobs whose items are granted under them. */
export interface Leases {
  readonly leases: Map<string, Lease>
  readonly jobs: Jobs
}

/**
 * Grants a lease if the command contains its current number. The leader has checked that the current holder expired.
 * @param state - all leases
 * @param command - the command
 * @returns holder and number of the lease, and whether it was granted
 */
export function acquireLease (state: Leases, command: CommandOf<'acquire lease'>): Outcome {
  const { backendServer, holder } = command
  const lease = state.leases.get(backendServer) ?? { holder: undefined, number: 0 }
  if (lease.number !== command.expected) {
    return { kind: OutcomeKind.Lease, holder: lease.holder ?? '', number: lease.number, granted: lease.holder === holder }
  }
  if (lease.holder === holder) requeueUnreceivedGrants(state.jobs, backendServer, lease.number, command.received)
  const next: Lease = { holder, number: lease.number + 1 }
  state.leases.set(backendServer, next)
  return { kind: OutcomeKind.Lease, holder, number: next.number, granted: true }
}

/**
 * Releases a lease.
 * @param state - all leases
 * @param command - the command; has no effect with another holder or number
 * @returns done
 */
export function releaseLease (state: Leases, command: CommandOf<'release lease'>): Outcome {
  const lease = state.leases.get(command.backendServer)
  if (lease === undefined || lease.number !== command.number || lease.holder !== command.holder) return done
  requeueUnreceivedGrants(state.jobs, command.backendServer, lease.number, command.received)
  state.leases.set(command.backendServer, { holder: undefined, number: lease.number })
  return done
}

/**
 * Releases every lease of an expired holder.
 * @param state - all leases
 * @param holder - the holder
 */
export function releaseHolderLeases (state: Leases, holder: Holder): void {
  for (const [backendServer, lease] of state.leases) {
    if (lease.holder === holder) state.leases.set(backendServer, { holder: undefined, number: lease.number })
  }
}

/**
 * Checks whether a claim is made under the current lease.
 * @param state - all leases
 * @param command - the claim
 * @returns false if the lease has another holder or number
 */
export function isUnderLease (state: Leases, command: CommandOf<'claim'>): boolean {
  const lease = state.leases.get(command.backendServer)
  return lease?.holder === command.holder && lease.number === command.lease
}
