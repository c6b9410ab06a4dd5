/**
 * Retry budget of a pool: a failing pool sees at most a tenth more requests than it was sent first.
 * @module
 */

/** First attempts that earn one retry: 10 retries in 100 requests. */
export const attemptsForRetry = 10

/** Retries that may be saved up, so that a quiet pool can retry at all. */
export const savedRetryLimit = 10

/** Retry budget of one pool. */
export interface RetryBudget {
  /** Whether a retry is left. */
  readonly hasRetry: boolean
  /** Records a first attempt. */
  earn (): void
  /**
   * Takes one retry out of the budget.
   * @returns false when there is none left
   */
  spend (): boolean
}

/**
 * Creates a budget that allows one retry at first.
 * @returns the budget
 */
export function createRetryBudget (): RetryBudget {
  // Counted in whole first attempts, since tenths add up to less than one.
  let saved = attemptsForRetry
  return {
    get hasRetry () { return saved >= attemptsForRetry },
    earn () {
      saved = Math.min(savedRetryLimit * attemptsForRetry, saved + 1)
    },
    spend () {
      if (saved < attemptsForRetry) return false
      saved -= attemptsForRetry
      return true
    }
  }
}
