/**
 * Time as an explicit dependency, so that tests can control it.
 * @module
 */
import { maxTimerMs } from './units.ts'

/** Source of time. */
export abstract class Clock {
  /**
   * Reads the monotonic clock.
   * @returns milliseconds since an arbitrary origin; never decreases
   */
  abstract now (): number

  /**
   * Reads the wall clock.
   * @returns milliseconds since the Unix epoch
   */
  abstract wallTime (): number

  /**
   * Sleeps for a duration.
   * @param durationMs - the duration in milliseconds
   * @param signal - ends the sleep early without an error
   * @returns a promise that resolves when the duration has elapsed or the signal aborts
   */
  abstract sleep (durationMs: number, signal?: AbortSignal): Promise<void>

  /**
   * Schedules a callback.
   * @param durationMs - the delay in milliseconds
   * @param callback - called once after the delay
   * @returns a function that cancels the callback
   */
  schedule (durationMs: number, callback: () => void): () => void {
    const cancelled = new AbortController()
    this.sleep(durationMs, cancelled.signal).then(() => {
      if (!cancelled.signal.aborted) callback()
    }, () => {})
    return () => cancelled.abort()
  }
}

/** The clock of the operating system. */
class SystemClock extends Clock {
  override now (): number {
    return performance.now()
  }

  override wallTime (): number {
    return Date.now()
  }

  // Avoids the AbortController of the base class: an abort creates an exception with a stack trace, which dominates the cost of a short wait.
  override schedule (durationMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, Math.min(maxTimerMs, durationMs))
    return () => clearTimeout(timer)
  }

  override sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted === true) return resolve()
      const end = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', end)
        resolve()
      }
      const timer = setTimeout(end, Math.min(maxTimerMs, durationMs))
      signal?.addEventListener('abort', end, { once: true })
    })
  }
}

/**
 * Creates the clock of the operating system.
 * @returns the clock
 */
export function createSystemClock (): Clock {
  return new SystemClock()
}
