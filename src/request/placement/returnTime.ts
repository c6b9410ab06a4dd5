/**
 * Decides when a refused caller may try again.
 * @module
 */

/** Delay suggested to a refused caller, in milliseconds; a random jitter of up to the same length is added. */
export const returnBaseMs = 700

/**
 * Returns the time after which a refused caller may try again.
 * @param baseMs - the shortest delay, in milliseconds
 * @param position - random number from 0 to 1
 * @param minimumMs - time before which a further request would be refused too, in milliseconds
 * @returns the time, in milliseconds
 */
export function chooseReturnMs (baseMs: number, position: number, minimumMs: number): number {
  return Math.max(baseMs + position * baseMs, minimumMs)
}
