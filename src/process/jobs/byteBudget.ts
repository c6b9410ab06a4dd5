/**
 * Token bucket for the bytes that batch work of one pool may send between regions.
 * @module
 */

/** Time for which unused bytes are saved up, in milliseconds. */
const savedMs = 1_000

/** Bytes of one pool. */
export interface ByteBudget {
  /**
   * Spends bytes that were sent or received. The balance may become negative, since an answer's size is not known ahead.
   * @param bytes - how many
   */
  spend (bytes: number): void
  /**
   * Reads the balance.
   * @param now - monotonic time in milliseconds
   * @param bytesPerSecond - the pool's limit
   * @returns bytes left; no item may start unless it is positive
   */
  refill (now: number, bytesPerSecond: number): number
}

/**
 * Creates a budget.
 * @returns the budget, with nothing saved up
 */
export function createByteBudget (): ByteBudget {
  let bytesLeft = 0
  let countedAt: number | undefined
  return {
    spend (bytes) {
      bytesLeft -= bytes
    },
    refill (now, bytesPerSecond) {
      const elapsedMs = now - (countedAt ?? now)
      countedAt = now
      bytesLeft = Math.min(bytesLeft + bytesPerSecond * elapsedMs / 1000, bytesPerSecond * savedMs / 1000)
      return bytesLeft
    }
  }
}
