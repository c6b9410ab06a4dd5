/**
 * Retry budget of a pool: a failing pool sees at most a tenth more requests than it was sent first.
 * @module
 */

/** Retries for each first attempt. */
export const retryShare = 0.1

/** Retries that may be saved up, so that a quiet pool can retry at all. */
const savedLimit = 10

/** Retry budget of one pool. */
export interface RetryBudget {
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
  let saved = 1
  return {
    earn () {
      saved = Math.min(savedLimit, saved + retryShare)
    },
    spend () {
      if (saved < 1) return false
      saved--
      return true
    }
  }
}
