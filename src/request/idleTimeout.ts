/**
 * A limit on the silence of a backend server during an attempt.
 * @module
 */

/** Gives an attempt up after a silence. */
export interface IdleTimeout {
  /**
   * Begins a new wait.
   * @param timeoutMs - the longest silence, in milliseconds
   */
  restart (timeoutMs: number): void
  /** Ends the waiting. */
  stop (): void
}

/**
 * Creates a limit and begins the first wait.
 * @param initialTimeoutMs - the longest silence before the first event, in milliseconds; Infinity for no limit at all
 * @param onTimeout - gives the attempt up
 * @returns the limit
 */
export function createIdleTimeout (initialTimeoutMs: number, onTimeout: () => void): IdleTimeout {
  if (initialTimeoutMs === Infinity) return { restart () {}, stop () {} }
  let timer = setTimeout(onTimeout, initialTimeoutMs)
  let currentTimeoutMs = initialTimeoutMs
  return {
    restart (timeoutMs) {
      if (timeoutMs === currentTimeoutMs) {
        timer.refresh()
        return
      }
      clearTimeout(timer)
      currentTimeoutMs = timeoutMs
      timer = setTimeout(onTimeout, timeoutMs)
    },
    stop () {
      clearTimeout(timer)
    }
  }
}
