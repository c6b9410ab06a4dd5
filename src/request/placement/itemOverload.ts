/**
 * Whether a service has more items than the room that waves of live requests leave can end in time.
 *
 * Load pattern: when servers fail or many jobs come at once, most waiting items would be late in the room beside the waves. Then every free
 * slot counts, and an item that is interrupted again and again ends sooner than one that waits. Changing between the two plans with each
 * wave costs more interruptions than either of them, so an overload counts for some waves.
 * @module
 */
import type { ItemUrgency } from './batchPlan.ts'

/** Share of the waiting items that are late in the room beside the waves from which a service is overloaded. */
const lateShare = 0.2

/** Time for which an overload counts after it was last seen, in milliseconds: two waves and the troughs between them. */
const retentionMs = 12_000

/** Items of a service, and the room beside the waves. */
export interface ItemDemand {
  /** Waiting items, the most urgent first. */
  readonly waiting: readonly ItemUrgency[]
  /** Expected remaining run times of the items in flight, in milliseconds. */
  readonly runningMs: readonly number[]
  /** Slots that are free in a wave as well. */
  readonly places: number
}

/** The overload of one service. */
export interface ItemOverload {
  /**
   * Adds what waits now.
   * @param demand - the items, and the room beside the waves
   * @param now - monotonic time, in milliseconds
   * @returns whether the service is overloaded now or was so recently
   */
  record (demand: ItemDemand, now: number): boolean
}

/**
 * Creates the state of a service that was not overloaded yet.
 * @returns the state
 */
export function createItemOverload (): ItemOverload {
  let seenAt = -Infinity
  return {
    record (demand, now) {
      if (isOverloaded(demand)) seenAt = now
      return now - seenAt < retentionMs
    }
  }
}

function isOverloaded ({ waiting, runningMs, places }: ItemDemand): boolean {
  let work = 0
  for (const remainingMs of runningMs) work += remainingMs
  let late = 0
  for (const { dueInMs, remainingMs } of waiting) {
    // An item starts when all the work before it is done, spread over the places.
    if (work / Math.max(1, places) + remainingMs > dueInMs) late++
    work += remainingMs
  }
  return late > waiting.length * lateShare
}
