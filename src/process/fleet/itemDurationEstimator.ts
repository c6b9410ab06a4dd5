/**
 * How long items usually take, learned from those that ended.
 * @module
 */

/** Weight of a new item in the usual length and pace. */
const smoothingFactor = 0.1

/** The usual length and pace of items. */
export interface ItemDurationEstimator {
  /**
   * Learns from an item that ended.
   * @param events - its events
   * @param runTimeMs - the time of all its runs, in milliseconds
   */
  addSample (events: number, runTimeMs: number): void
  /**
   * Estimates the time that an item takes yet.
   * @param events - its events so far
   * @returns milliseconds; 0 before the first item has ended
   */
  estimateRemainingMs (events: number): number
}

/**
 * Creates the pace before the first item has ended.
 * @returns the pace
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
