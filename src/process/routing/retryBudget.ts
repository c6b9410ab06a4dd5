/**
 * Retry budget of a pool, which limits retries to one tenth of the first attempts so that they do not overload a
 * failing pool.
 * @module
 */

/** Number of first attempts that earn one retry: 10 retries per 100 requests. */
export const attemptsPerRetry = 10

/** Maximum number of saved retries. Saving allows a pool with little traffic to retry at all. */
export const savedRetryLimit = 10

/** Retry budget of one pool. */
export interface RetryBudget {
  /** Whether at least one retry is left. */
  readonly hasRetry: boolean
  /** Records a first attempt. */
  earn (): void
  /**
   * Withdraws one retry from the budget.
   * @returns false if none is left
   */
  spend (): boolean
}

/**
 * Creates a budget with one initial retry.
 * @returns the budget
 */
export function createRetryBudget (): RetryBudget {
  // Counted in first attempts rather than in fractions of a retry: ten times 0.1 adds up to less than 1.
  let savedAttempts = attemptsPerRetry
  return {
    get hasRetry () { return savedAttempts >= attemptsPerRetry },
    earn () {
      savedAttempts = Math.min(savedRetryLimit * attemptsPerRetry, savedAttempts + 1)
    },
    spend () {
      if (savedAttempts < attemptsPerRetry) return false
      savedAttempts -= attemptsPerRetry
      return true
    }
  }
}
