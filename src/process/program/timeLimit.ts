/**
 * Limits the time of a wait.
 * @module
 */
import type { Clock } from './clock.ts'

/**
 * Creates a signal that aborts after a time, or with another signal. `AbortSignal.any` holds its sources weakly in Node.js 20, so that the garbage
 * collector removes an `AbortSignal.timeout` among them, and the combined signal never aborts.
 * @param limitMs - the time, in milliseconds
 * @param signal - aborts the created signal early
 * @param clock - source of time
 * @returns the signal
 */
export function createTimeLimit (limitMs: number, signal: AbortSignal, clock: Clock): AbortSignal {
  const controller = new AbortController()
  clock.sleep(limitMs, signal).then(() => controller.abort(), () => {})
  return controller.signal
}
