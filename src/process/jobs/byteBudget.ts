/**
 * Token bucket that limits the bytes which batch work of one pool transfers between regions.
 * @module
 */

/** Time for which unused bytes accrue, in milliseconds; determines the capacity of the bucket. */
const maxAccrualMs = 1_000

/** Byte budget of one pool. */
export interface ByteBudget {
  /**
   * Withdraws bytes that were sent or received. The balance may become negative, since the size of a response is not
   * known in advance.
   * @param bytes - number of bytes
   */
  spend (bytes: number): void
  /**
   * Adds the bytes accrued since the last call.
   * @param now - monotonic time in milliseconds
   * @param bytesPerSecond - the pool's limit
   * @returns the balance in bytes; items may start only while it is positive
   */
  refill (now: number, bytesPerSecond: number): number
}

/**
 * Creates an empty budget.
 * @returns the budget, with a balance of 0
 */
export function createByteBudget (): ByteBudget {
  let balanceBytes = 0
  let refilledAt: number | undefined
  return {
    spend (bytes) {
      balanceBytes -= bytes
    },
    refill (now, bytesPerSecond) {
      const elapsedMs = now - (refilledAt ?? now)
      refilledAt = now
      balanceBytes = Math.min(balanceBytes + bytesPerSecond * elapsedMs / 1000, bytesPerSecond * maxAccrualMs / 1000)
      return balanceBytes
    }
  }
}
