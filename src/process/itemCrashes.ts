/**
 * Batch items whose requests crashed backend servers. The interface is the part of the quarantine (section 9 of the
 * design page) that batch dispatch needs; the records here are those of one entry host.
 * @module
 */
import { createHash } from 'node:crypto'
import type { Clock } from './clock.ts'

/** Crashes after which a request is not run any more. */
export const crashLimit = 2

/** Time after which a crash no longer counts, in milliseconds. */
export const crashMemoryMs = 600_000

/** What batch dispatch needs of the quarantine. */
export interface CrashRule {
  /** Tells whether the request crashed so many backend servers that it must not run again. */
  isQuarantined (fingerprint: string): boolean
  /** Tells whether a crash is on record, so that the request must not run beside another suspect. */
  isSuspect (fingerprint: string): boolean
  /**
   * Records a crash. When exactly one request in flight was a suspect, only that one is blamed.
   * @param inFlight - fingerprints of the requests that ran on the backend server
   */
  reportCrash (inFlight: readonly string[]): void
}

/**
 * Computes what identifies a request across repeated submissions.
 * @param account - the account
 * @param route - the route
 * @param input - the input
 * @returns the fingerprint
 */
export function fingerprintOf (account: string, route: string, input: string): string {
  return createHash('sha256').update(JSON.stringify([account, route, input])).digest('base64')
}

/**
 * Creates the rule without records.
 * @param clock - the clock
 * @returns the rule
 */
export function createCrashRule (clock: Clock): CrashRule {
  const crashes = new Map<string, { count: number, at: number }>()

  function countOf (fingerprint: string): number {
    const found = crashes.get(fingerprint)
    if (found === undefined) return 0
    if (clock.now() - found.at < crashMemoryMs) return found.count
    crashes.delete(fingerprint)
    return 0
  }

  return {
    isQuarantined: fingerprint => countOf(fingerprint) >= crashLimit,
    isSuspect: fingerprint => countOf(fingerprint) > 0,
    reportCrash (inFlight) {
      const suspects = inFlight.filter(fingerprint => countOf(fingerprint) > 0)
      const blamed = suspects.length === 1 ? suspects : inFlight
      for (const fingerprint of blamed) crashes.set(fingerprint, { count: countOf(fingerprint) + 1, at: clock.now() })
    }
  }
}
