/**
 * Decides when a refused caller may try again.
 * @module
 */

/** Share of its remaining time after which a caller that tries again can still be served. */
const usefulShare = 0.5

/** Bounds of the time after which a refused caller may try again, in milliseconds. */
export interface ReturnBounds {
  /** Time before which a further request would be refused too. */
  readonly minimumMs?: number | undefined
  /** Time in which there is room for all callers that are refused now. They return evenly over it: together, most would be refused again. */
  readonly spreadMs?: number | undefined
  /** Time that the caller has left. */
  readonly remainingMs?: number | undefined
}

/** Delay suggested to a refused caller, in milliseconds; a random jitter of up to the same length is added. */
export const returnBaseMs = 700

/**
 * Returns the time after which a refused caller may try again.
 * @param baseMs - the shortest delay, in milliseconds
 * @param position - random number from 0 to 1
 * @param bounds - bounds of the time
 * @returns the time, in milliseconds
 */
export function chooseReturnMs (baseMs: number, position: number, { minimumMs = 0, spreadMs = 0, remainingMs = Infinity }: ReturnBounds): number {
  const usefulMs = Math.min(spreadMs, remainingMs * usefulShare - baseMs)
  return Math.max(baseMs + position * Math.max(baseMs, usefulMs), minimumMs)
}
