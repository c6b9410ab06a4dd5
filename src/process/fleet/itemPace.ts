/**
 * How long items usually take, learned from those that ended.
 * @module
 */

/** Weight of a new item in the usual length and pace. */
const learningShare = 0.1

/** The usual length and pace of items. */
export interface ItemPace {
  /**
   * Learns from an item that ended.
   * @param events - its events
   * @param ranMs - the time of all its runs, in milliseconds
   */
  learn (events: number, ranMs: number): void
  /**
   * Estimates the time that an item takes yet.
   * @param events - its events so far
   * @returns milliseconds; 0 before the first item has ended
   */
  remainingMs (events: number): number
}

/**
 * Creates the pace before the first item has ended.
 * @returns the pace
 */
export function createItemPace (): ItemPace {
  let usualEvents = 0
  let usualEventMs = 0
  return {
    learn (events, ranMs) {
      if (events === 0) return
      const share = usualEvents === 0 ? 1 : learningShare
      usualEvents += (events - usualEvents) * share
      usualEventMs += (ranMs / events - usualEventMs) * share
    },
    remainingMs: events => Math.max(0, usualEvents - events) * usualEventMs
  }
}
