/**
 * Times of the latest requests of one client account at one host.
 * @module
 */
import { type AccountCount, endingMs, recentMs } from '../../request/placement/accountLimit.ts'

/** Requests as the log counts them; it knows no allotment. */
export type RequestCount = Omit<AccountCount, 'committed'>

/** Times of requests; those older than a window are discarded. */
export interface RequestLog {
  /**
   * Adds a request.
   * @param now - monotonic time in milliseconds, not before that of an earlier call
   * @param isAdmitted - whether it is admitted
   */
  add (now: number, isAdmitted: boolean): void
  /**
   * Removes an admitted request, if it is still in the log.
   * @param time - time at which it was added, in milliseconds
   */
  remove (time: number): void
  /**
   * Counts the requests.
   * @param now - monotonic time in milliseconds, not before that of an earlier call
   * @param windowMs - length of the window, in milliseconds
   * @returns the requests in the window that ends now
   */
  count (now: number, windowMs: number): RequestCount
  /**
   * Counts the admitted requests after a time within the latest window.
   * @param time - monotonic time in milliseconds
   * @returns the number of requests
   */
  countAfter (time: number): number
}

/**
 * Creates an empty log.
 * @returns the log
 */
export function createRequestLog (): RequestLog {
  const admittedAt: number[] = []
  const refusedAt: number[] = []
  return {
    add (now, isAdmitted) {
      if (isAdmitted) admittedAt.push(now)
      else refusedAt.push(now)
    },
    remove (time) {
      const index = admittedAt.lastIndexOf(time)
      if (index >= 0) admittedAt.splice(index, 1)
    },
    count (now, windowMs) {
      discardUntil(admittedAt, now - windowMs)
      discardUntil(refusedAt, now - recentMs)
      const ending = admittedAt.length - countAfter(admittedAt, now - windowMs + endingMs)
      return { admitted: admittedAt.length, recent: countAfter(admittedAt, now - recentMs), ending, refused: refusedAt.length }
    },
    countAfter: time => countAfter(admittedAt, time)
  }
}

function discardUntil (times: number[], until: number): void {
  let expired = 0
  for (const time of times) {
    if (time > until) break
    expired++
  }
  if (expired > 0) times.splice(0, expired)
}

function countAfter (times: readonly number[], after: number): number {
  const first = times.findLastIndex(time => time <= after)
  return times.length - 1 - first
}
