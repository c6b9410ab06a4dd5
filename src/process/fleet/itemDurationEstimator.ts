/**
 * Estimates the run time of items from moving averages over completed items.
 * @module
 */

/** Weight of a new sample in the moving averages. */
const smoothingFactor = 0.1

/** Estimator of the run time of items. */
export interface ItemDurationEstimator {
  /**
   * Adds a completed item to the averages.
   * @param events - number of its events
   * @param runTimeMs - total time of its runs, in milliseconds
   */
  addSample (events: number, runTimeMs: number): void
  /**
   * Estimates the remaining run time of an item.
   * @param events - number of its events so far
   * @returns the estimate, in milliseconds; 0 before the first sample
   */
  estimateRemainingMs (events: number): number
}

/**
 * Creates an estimator without samples.
 * @returns the estimator
 */
export function createItemDurationEstimator (): ItemDurationEstimator {
  let averageEvents = 0
  let averageEventMs = 0
  return {
    addSample (events, runTimeMs) {
      if (events === 0) return
      const weight = averageEvents === 0 ? 1 : smoothingFactor
      averageEvents += (events - averageEvents) * weight
      averageEventMs += (runTimeMs / events - averageEventMs) * weight
    },
    estimateRemainingMs: events => Math.max(0, averageEvents - events) * averageEventMs
  }
}
