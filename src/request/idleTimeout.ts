/**
 * Idle timeout of an attempt on a backend server.
 * @module
 */
import { maxTimerMs } from '../process/program/units.ts'

/** Aborts an attempt when nothing arrives within the timeout. */
export interface IdleTimeout {
  /**
   * Restarts the timeout after something has arrived.
   * @param timeoutMs - the timeout until the next arrival, in milliseconds
   */
  restart (timeoutMs: number): void
  /** Stops the timeout until it is restarted. */
  stop (): void
}

/**
 * Creates an idle timeout and starts it.
 * @param initialTimeoutMs - the timeout until the first arrival, in milliseconds; Infinity disables the timeout for good
 * @param onTimeout - aborts the attempt
 * @returns the idle timeout
 */
export function createIdleTimeout (initialTimeoutMs: number, onTimeout: () => void): IdleTimeout {
  if (initialTimeoutMs === Infinity) return { restart () {}, stop () {} }
  let timer = setTimeout(onTimeout, Math.min(maxTimerMs, initialTimeoutMs))
  let currentTimeoutMs: number | undefined = initialTimeoutMs
  return {
    restart (timeoutMs) {
      if (timeoutMs === currentTimeoutMs) {
        timer.refresh()
        return
      }
      clearTimeout(timer)
      currentTimeoutMs = timeoutMs
      timer = setTimeout(onTimeout, Math.min(maxTimerMs, timeoutMs))
    },
    stop () {
      clearTimeout(timer)
      currentTimeoutMs = undefined
    }
  }
}
