/**
 * Retry budget of a pool: a failing pool sees at most a tenth more requests than it was sent first.
 * @module
 */

/** First attempts that earn one retry: 10 retries in 100 requests. */
export const attemptsPerRetry = 10

/** Retries that may be saved up, so that a quiet pool can retry at all. */
export const savedLimit = 10

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
  let savedAttempts = attemptsPerRetry
  return {
    get hasRetry () { return savedAttempts >= attemptsPerRetry },
    earn () {
      savedAttempts = Math.min(savedLimit * attemptsPerRetry, savedAttempts + 1)
    },
    spend () {
      if (savedAttempts < attemptsPerRetry) return false
      savedAttempts -= attemptsPerRetry
      return true
    }
  }
}
