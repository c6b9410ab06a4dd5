/**
 * Backend servers that get no batch items for a while, because of what happened to the last ones there.
 * @module
 */
import type { Clock } from '../program/clock.ts'

/** Pause of a server that could not be reached, in milliseconds: gateways see within this time whether it is back. */
const unreachableMs = 1_000

/**
 * Pause of a server where an item was interrupted for live work, in milliseconds. Live requests come and go within this
 * time; without a pause, half of the runs on a busy day ended within 0.2 s and cost a prompt each.
 */
const interruptedMs = 300

/** Pause of a server whose run failed, in milliseconds; twice as long after each further failure without a success. */
const failedMs = 500

/** Longest pause after failures, in milliseconds: a server that recovers is tried again soon enough to count. */
const failedLimitMs = 4_000

/** Pauses by server. */
export interface ServerPauses {
  /** Notes that a server could not be reached. */
  unreachable (id: string): void
  /** Notes that an item was interrupted for live work. */
  interrupted (id: string): void
  /** Notes that a run failed at its server. */
  failed (id: string): void
  /** Notes that a run ended well. */
  succeeded (id: string): void
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
    unreachable: id => pause(id, unreachableMs),
    interrupted: id => pause(id, interruptedMs),
    failed (id) {
      const found = pauseOf(id)
      pause(id, Math.min(failedLimitMs, failedMs * 2 ** found.failures))
      found.failures++
    },
    succeeded (id) {
      pauseOf(id).failures = 0
    },
    isPaused: id => (pauses.get(id)?.until ?? -Infinity) > clock.now(),
    clear: () => pauses.clear()
  }
}
