/**
 * Backoff of backend servers: after an interruption or a failure, a server receives no batch items for some time.
 * @module
 */
import type { Clock } from '../program/clock.ts'

/** Backoff of an unreachable server, in milliseconds; about one heartbeat interval on the first sites (1.2 s). */
const unreachableBackoffMs = 1_000

/**
 * Backoff of a server on which an item was interrupted for live requests, in milliseconds. Without it, 298 of the 608
 * interrupted runs in incident inc-5589 ended within 0.2 s, each after processing a complete prompt (see commit 3723dc4).
 */
const interruptionBackoffMs = 300

/**
 * Backoff of a server after a failed run, in milliseconds; doubles with each further failure until a run succeeds (see
 * commit 3723dc4).
 */
const initialFailureBackoffMs = 500

/** Backoff of a server after the second refused run in succession, in milliseconds; doubles with each further one, so that it soon exceeds the delay of the item. */
const initialRefusalBackoffMs = 400

/** Longest backoff after failed and refused runs, in milliseconds; above the longest delay of a refused item, so that it reaches another server. Server failures in the sites' recorded days last 3.6 to 6.6 s. */
const maxFailureBackoffMs = 4_000

/** Backoffs by server; `id` is the id of the backend server. */
export interface ServerBackoffs {
  /** Records that a server could not be reached. */
  recordUnreachable (id: string): void
  /** Records that an item was interrupted for live requests. */
  recordInterruption (id: string): void
  /** Records a failed run. */
  recordFailure (id: string): void
  /** Records a run that the server refused, or that broke off before its first event; a backoff follows from the second one in succession on. */
  recordRefusal (id: string): void
  /** Records a run with output, which ends the succession of refusals. */
  recordOutput (id: string): void
  /** Records a run with complete output; resets the growth of the failure backoff. */
  recordSuccess (id: string): void
  /** Checks whether a server is to receive no batch items yet. */
  isBackingOff (id: string): boolean
  /** Removes all backoffs and failure counts. */
  clear (): void
}

interface Backoff {
  /** Monotonic time at which the backoff ends, in milliseconds. */
  until: number
  /** Failed runs since the last successful one. */
  failures: number
  /** Runs without output since the last one with output, those during a backoff excepted. */
  refusals: number
}

/**
 * Creates an empty set of backoffs.
 * @param clock - source of time
 * @returns the backoffs
 */
export function createServerBackoffs (clock: Clock): ServerBackoffs {
  const backoffs = new Map<string, Backoff>()

  function getOrCreateBackoff (id: string): Backoff {
    const existing = backoffs.get(id)
    if (existing !== undefined) return existing
    const created: Backoff = { until: -Infinity, failures: 0, refusals: 0 }
    backoffs.set(id, created)
    return created
  }

  function extendBackoff (id: string, durationMs: number): void {
    const backoff = getOrCreateBackoff(id)
    backoff.until = Math.max(backoff.until, clock.now() + durationMs)
  }

  function isBackingOff (id: string): boolean {
    return (backoffs.get(id)?.until ?? -Infinity) > clock.now()
  }

  function recordFailure (id: string): void {
    const backoff = getOrCreateBackoff(id)
    extendBackoff(id, Math.min(maxFailureBackoffMs, initialFailureBackoffMs * 2 ** backoff.failures))
    backoff.failures++
  }

  return {
    recordUnreachable: id => extendBackoff(id, unreachableBackoffMs),
    recordInterruption: id => extendBackoff(id, interruptionBackoffMs),
    recordFailure,
    recordRefusal (id) {
      // A full server refuses several runs at once; these count as one.
      if (isBackingOff(id)) return
      const backoff = getOrCreateBackoff(id)
      if (backoff.refusals > 0) extendBackoff(id, Math.min(maxFailureBackoffMs, initialRefusalBackoffMs * 2 ** (backoff.refusals - 1)))
      backoff.refusals++
    },
    recordOutput (id) {
      getOrCreateBackoff(id).refusals = 0
    },
    recordSuccess (id) {
      getOrCreateBackoff(id).failures = 0
    },
    isBackingOff,
    clear: () => backoffs.clear()
  }
}
