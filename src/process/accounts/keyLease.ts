/**
 * Lease under which a host accepts keys of client accounts: it holds only while the tables of the host were the newest a short time ago.
 * A host out of touch thus stops accepting keys before a withdrawal, of which it cannot know, has to be in effect. Lives for the process.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { fleetLongPollMs } from '../fleet/fleetMessages.ts'

/**
 * Duration of the lease as a share of the time within which withdrawals have to be in effect. The rest covers steady clocks that run at
 * different rates, and the time from a check of the lease to the use of its result.
 */
const leaseShare = 0.9

/**
 * Age of a confirmation up to which a key may be called unknown, in milliseconds. The leader acknowledges a version only once each host
 * has it that was in contact for this long (`sessionTimeoutMs`), so until then no later version was acknowledged.
 */
const newestMs = 3 * fleetLongPollMs

/**
 * Computes the duration of the lease.
 * @param revocationMs - time from the acknowledgement of a version within which the keys that it withdraws have to be refused everywhere, in
 *   milliseconds; 0 if there is no such bound
 * @returns the duration, in milliseconds; 0 for no lease
 */
export function getKeyLeaseMs (revocationMs: number): number {
  return revocationMs * leaseShare
}

/** The leader's statement that no version above one was acknowledged before a time. */
export interface TablesConfirmation {
  readonly version: number
  /** Monotonic time at which this host sent the poll that the leader answered, in milliseconds. */
  readonly sentAt: number
  /** Age of the statement when the leader answered, in milliseconds. */
  readonly ageMs: number
}

/** Lease of one host. */
export interface KeyLease {
  /**
   * Records a confirmation of the leader.
   * @param confirmation - the confirmation
   */
  record (confirmation: TablesConfirmation): void
  /**
   * Checks whether keys may be accepted.
   * @param version - version of the tables that this host has
   * @returns whether the lease holds, or there is none
   */
  isHeld (version: number): boolean
  /**
   * Checks whether a key that the tables lack is unknown for certain.
   * @param version - version of the tables that this host has
   * @returns whether no later version can have been acknowledged to an operator
   */
  isNewest (version: number): boolean
}

/**
 * Creates a lease without a confirmation.
 * @param clock - source of time
 * @param leaseMs - returns the duration of the lease, in milliseconds; 0 for no lease
 * @returns the lease
 */
export function createKeyLease (clock: Clock, leaseMs: () => number): KeyLease {
  // Latest time at which each version was the newest, on this host's monotonic clock, in milliseconds. Confirmations of versions that the
  // host is still fetching count once it has them.
  const newestAt = new Map<number, number>()

  function isConfirmed (version: number, maxAgeMs: number): boolean {
    const expired = clock.now() - maxAgeMs
    for (const [known, time] of newestAt) {
      if (known <= version && time > expired) return true
    }
    return false
  }

  return {
    record ({ version, sentAt, ageMs }) {
      // The answer was made after the poll was sent, so that the statement is younger than this if anything.
      const confirmedAt = sentAt - ageMs
      if (confirmedAt > (newestAt.get(version) ?? -Infinity)) newestAt.set(version, confirmedAt)
      const expired = clock.now() - Math.max(leaseMs(), newestMs)
      for (const [known, time] of newestAt) {
        if (time <= expired) newestAt.delete(known)
      }
    },
    isHeld: version => leaseMs() === 0 || isConfirmed(version, leaseMs()),
    isNewest: version => isConfirmed(version, newestMs)
  }
}
