/**
 * Backend servers that get no batch items for a while, because of what happened to the last ones there.
 * @module
 */
import type { Clock } from '../program/clock.ts'

/** Pause of a server that could not be reached, in milliseconds: about one heartbeat on the first sites, 1.2 s. */
const unreachableMs = 1_000

/**
 * Pause of a server where an item was interrupted for live work, in milliseconds. Without it 298 of 608 interrupted runs of
 * incident inc-5589 ended within 0.2 s, each for a whole prompt; 300 ms was the only value of the trials (commit 3723dc4).
 */
const interruptedMs = 300

/**
 * Pause of a server whose run failed, in milliseconds; twice as long after each further failure without a success. With the
 * limit, the only values of the trials (commit 3723dc4).
 */
const failedMs = 500

/** Longest pause after failures, in milliseconds: failures of servers on the sites' days last 3.6 to 6.6 s. */
const failedLimitMs = 4_000

/** Pauses by server; each call names the server by its id. */
export interface ServerPauses {
  noteUnreachable (id: string): void
  /** Notes that an item was interrupted there for live work. */
  noteInterruption (id: string): void
  /** Notes that a run failed there. */
  noteFailure (id: string): void
  /** Notes that a run ended with a whole output there. */
  noteSuccess (id: string): void
  isPaused (id: string): boolean
  clear (): void
}

interface Pause {
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
export function createServerPauses (clock: Clock): ServerPauses {
  const pauses = new Map<string, Pause>()

  function pauseOf (id: string): Pause {
    const present = pauses.get(id)
    if (present !== undefined) return present
    const created: Pause = { until: -Infinity, failures: 0 }
    pauses.set(id, created)
    return created
  }

  function pause (id: string, durationMs: number): void {
    const found = pauseOf(id)
    found.until = Math.max(found.until, clock.now() + durationMs)
  }

  return {
    noteUnreachable: id => pause(id, unreachableMs),
    noteInterruption: id => pause(id, interruptedMs),
    noteFailure (id) {
      const found = pauseOf(id)
      pause(id, Math.min(failedLimitMs, failedMs * 2 ** found.failures))
      found.failures++
    },
    noteSuccess (id) {
      pauseOf(id).failures = 0
    },
    isPaused: id => (pauses.get(id)?.until ?? -Infinity) > clock.now(),
    clear: () => pauses.clear()
  }
}
