/**
 * A limit on the silence of a backend server during an attempt.
 * @module
 */

/** Gives an attempt up after a silence. */
export interface SilenceLimit {
  /**
   * Begins a new wait.
   * @param limitMs - the longest silence, in milliseconds
   */
  restart (limitMs: number): void
  /** Ends the waiting. */
  stop (): void
}

/**
 * Creates a limit and begins the first wait.
 * @param firstMs - the longest silence before the first event, in milliseconds; Infinity for no limit at all
 * @param expire - gives the attempt up
 * @returns the limit
 */
export function createSilenceLimit (firstMs: number, expire: () => void): SilenceLimit {
  if (firstMs === Infinity) return { restart () {}, stop () {} }
  let timer = setTimeout(expire, firstMs)
  let currentMs = firstMs
  return {
    restart (limitMs) {
      if (limitMs === currentMs) {
        timer.refresh()
        return
      }
      clearTimeout(timer)
      currentMs = limitMs
      timer = setTimeout(expire, limitMs)
    },
    stop () {
      clearTimeout(timer)
    }
  }
}
