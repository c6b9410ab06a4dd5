/**
 * The highest live load of a service in the recent past.
 *
 * Load pattern: live traffic comes in waves of a few seconds. Items that fill every slot in a trough are in the way of the next
 * wave, which waits until they are interrupted; what they did since their progress was last saved is lost.
 * @module
 */

/** Time for which a peak counts, in milliseconds; longer than a trough between two waves. */
const peakRetentionMs = 6_000

/** Time over which the highest value is kept as one, in milliseconds. */
const intervalMs = 500

interface Interval {
  readonly startedAt: number
  highest: number
}

/** The recent peak of one service. */
export interface LivePeak {
  /**
   * Adds a measurement.
   * @param live - live requests in flight on all servers of the service
   * @param now - monotonic time, in milliseconds
   */
  record (live: number, now: number): void
  /**
   * Returns the highest value of the recent past.
   * @param now - monotonic time, in milliseconds
   * @returns the number of live requests; 0 without a measurement
   */
  find (now: number): number
}

/**
 * Creates a peak without measurements.
 * @returns the peak
 */
export function createLivePeak (): LivePeak {
  let intervals: Interval[] = []
  return {
    record (live, now) {
      const latest = intervals.at(-1)
      if (latest !== undefined && now - latest.startedAt < intervalMs) latest.highest = Math.max(latest.highest, live)
      else intervals.push({ startedAt: now, highest: live })
      intervals = intervals.filter(interval => now - interval.startedAt <= peakRetentionMs)
    },
    find (now) {
      let peak = 0
      for (const { startedAt, highest } of intervals) {
        if (now - startedAt <= peakRetentionMs) peak = Math.max(peak, highest)
      }
      return peak
    }
  }
}
