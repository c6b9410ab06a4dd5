/**
 * Time as an explicit input, so that tests can drive it.
 * @module
 */

/** Source of time. */
export abstract class Clock {
  /**
   * Reads the monotonic time.
   * @returns milliseconds since an arbitrary start; never goes back
   */
  abstract now (): number

  /**
   * Reads the time of day.
   * @returns milliseconds since the epoch
   */
  abstract wallTime (): number

  /**
   * Waits.
   * @param durationMs - how long, in milliseconds
   * @param signal - ends the wait early without an error
   * @returns a promise that resolves at the end of the wait
   */
  abstract sleep (durationMs: number, signal?: AbortSignal): Promise<void>

  /**
   * Calls a function after a time.
   * @param durationMs - how long, in milliseconds
   * @param callback - the function
   * @returns cancels the call
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

  // An abort creates an exception with its stack, which costs more than all else of a short wait.
  override schedule (durationMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, durationMs)
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
      const timer = setTimeout(end, durationMs)
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
