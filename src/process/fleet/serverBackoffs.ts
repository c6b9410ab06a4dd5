/**
 * Backend servers that get no batch items for a while, because of what happened to the last ones there.
 * @module
 */
import type { Clock } from '../program/clock.ts'

/** Pause of a server that could not be reached, in milliseconds: about one heartbeat on the first sites, 1.2 s. */
const unreachableBackoffMs = 1_000

/**
 * Pause of a server where an item was interrupted for live work, in milliseconds. Without it 298 of 608 interrupted runs of
 * incident inc-5589 ended within 0.2 s, each for a whole prompt; 300 ms was the only value of the trials (commit 3723dc4).
 */
const interruptionBackoffMs = 300

/**
 * Pause of a server whose run failed, in milliseconds; twice as long after each further failure without a success. With the
 * limit, the only values of the trials (commit 3723dc4).
 */
const initialFailureBackoffMs = 500

/** Longest pause after failures, in milliseconds: failures of servers on the sites' days last 3.6 to 6.6 s. */
const maxFailureBackoffMs = 4_000

/** Pauses by server; each call names the server by its id. */
export interface ServerBackoffs {
  recordUnreachable (id: string): void
  /** Notes that an item was interrupted there for live work. */
  recordInterruption (id: string): void
  /** Notes that a run failed there. */
  recordFailure (id: string): void
  /** Notes that a run ended with a whole output there. */
  recordSuccess (id: string): void
  isBackingOff (id: string): boolean
  clear (): void
}

interface Backoff {
  /** Monotonic time in milliseconds. */
  until: number
  /** Failed runs since the last that ended well. */
  failures: number
}

/**
 * Creates the record without pauses.
 * @param clock - time
 * @returns the record
 */
export function createServerBackoffs (clock: Clock): ServerBackoffs {
  const backoffs = new Map<string, Backoff>()

  function getOrCreateBackoff (id: string): Backoff {
    const existing = backoffs.get(id)
    if (existing !== undefined) return existing
    const created: Backoff = { until: -Infinity, failures: 0 }
    backoffs.set(id, created)
    return created
  }

  function extendBackoff (id: string, durationMs: number): void {
    const backoff = getOrCreateBackoff(id)
    backoff.until = Math.max(backoff.until, clock.now() + durationMs)
  }

  return {
    recordUnreachable: id => extendBackoff(id, unreachableBackoffMs),
    recordInterruption: id => extendBackoff(id, interruptionBackoffMs),
    recordFailure (id) {
      const backoff = getOrCreateBackoff(id)
      extendBackoff(id, Math.min(maxFailureBackoffMs, initialFailureBackoffMs * 2 ** backoff.failures))
      backoff.failures++
    },
    recordSuccess (id) {
      getOrCreateBackoff(id).failures = 0
    },
    isBackingOff: id => (backoffs.get(id)?.until ?? -Infinity) > clock.now(),
    clear: () => backoffs.clear()
  }
}
