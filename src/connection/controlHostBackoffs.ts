/**
 * Backoffs of a caller for control hosts that did not respond.
 * @module
 */
import { maxElectionTimeoutMs } from '../process/log/election.ts'
import type { Clock } from '../process/program/clock.ts'

/** Backoff for a control host that did not respond or refused the connection, in milliseconds; when all have failed, each is tried again. */
const failedHostBackoffMs = 2_000

/** The backoffs. */
export interface ControlHostBackoffs {
  /** Checks whether a host has failed recently. */
  has (address: string): boolean
  /**
   * Starts the backoff of a host.
   * @param address - internal address of the host
   * @param sentAt - monotonic time at which the call that failed was sent, in milliseconds
   */
  start (address: string, sentAt: number): void
  /**
   * Ends the backoff of a leader once every other control host names it.
   * @param address - internal address of the leader
   * @param namingHost - the host that named it
   * @param hosts - internal addresses of all control hosts
   */
  recordNamedLeader (address: string, namingHost: string, hosts: readonly string[]): void
}

/**
 * Creates the backoffs.
 * @param clock - source of time
 * @returns the backoffs, all of which have ended
 */
export function createControlHostBackoffs (clock: Clock): ControlHostBackoffs {
  const failedAt = new Map<string, number>()
  // Monotonic time at which the call that failed last was sent, in milliseconds, by host.
  const failedCallSentAt = new Map<string, number>()
  // Hosts that named a failed leader although it can't have been silent since then, by that leader.
  const namedBy = new Map<string, Set<string>>()

  function has (address: string): boolean {
    return clock.now() - (failedAt.get(address) ?? -Infinity) < failedHostBackoffMs
  }

  return {
    has,
    start (address, sentAt) {
      failedAt.set(address, clock.now())
      failedCallSentAt.set(address, sentAt)
      namedBy.delete(address)
    },
    // A leader that was silent once is used again when every other control host names it. Followers name a silent leader until their
    // election timeout, so only later names count.
    recordNamedLeader (address, namingHost, hosts) {
      if (!has(address) || clock.now() - (failedCallSentAt.get(address) ?? 0) < maxElectionTimeoutMs) return
      const names = namedBy.get(address) ?? new Set<string>()
      namedBy.set(address, names)
      names.add(namingHost)
      if (hosts.every(host => host === address || names.has(host) || has(host))) failedAt.delete(address)
    }
  }
}
