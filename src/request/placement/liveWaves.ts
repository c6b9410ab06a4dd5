/**
 * The recent course of the live requests in flight of a service.
 *
 * Load pattern: live traffic comes in waves of a few seconds. A wave rises within the duration of a request, which is hardly longer than it
 * takes to learn of it and to interrupt items. So the next wave is expected to be as high as the last one, and its beginning is told by
 * the rise above the trough.
 * @module
 */

/** Time over which values count, in milliseconds; longer than a trough between two waves. */
const retentionMs = 6_000

/** Time over which values are averaged, in milliseconds; the mean of so many values has hardly any noise. */
const intervalMs = 500

/** Time over which a rise is measured, in milliseconds: about the time until items are interrupted for it. */
const riseMs = 500

/** Deviations of a count of independent requests that are no sign of a change. */
const noiseDeviations = 2

/** Deviations of a count of independent requests by which the highest mean exceeds the lowest only in waves. */
const waveDeviations = 5

/** Part of the height of a wave above the trough from which the wave has begun. */
const beginningShare = 0.3

/** Part of the height of a wave above the trough below which the wave has ended. */
const endShare = 0.7

/** Time before the expected beginning of a wave from which items give way to it, in milliseconds: about the time that a plan takes to have an effect. */
const onsetMs = 200

/** Height of the next wave, as a multiple of that of the last one: they differ by chance. */
const waveMargin = 1.05

/** Number of troughs by which the length of the next one is judged. */
const rememberedTroughs = 3

interface Interval {
  readonly startedAt: number
  sum: number
  count: number
  lowest: number
  highest: number
}

/** Live requests in flight of a service, by their recent course. */
export interface LiveCourse {
  /** Number now. */
  readonly live: number
  /** Mean at the height of the recent past; with waves, what the next one may reach. */
  readonly peak: number
  /** Mean at the lowest of the recent past. */
  readonly low: number
  /** Number that is expected by the time at which an interruption has an effect. */
  readonly expected: number
  /** Whether the traffic comes in waves. */
  readonly hasWaves: boolean
  /** Whether a wave has begun or is about to. */
  readonly isWave: boolean
  /** Time until the next wave is expected, in milliseconds; 0 during a wave, without waves, and as long as no trough has been measured. */
  readonly waveInMs: number
}

/** The recent course of one service. */
export interface LiveWaves {
  /**
   * Adds a measurement.
   * @param live - live requests in flight on all servers of the service
   * @param now - monotonic time, in milliseconds
   * @returns the recent course, up to this measurement
   */
  record (live: number, now: number): LiveCourse
}

/**
 * Creates a course without measurements.
 * @returns the course
 */
export function createLiveWaves (): LiveWaves {
  let intervals: Interval[] = []
  let troughs: number[] = []
  // Undefined until the first wave has ended, and after troughs that are too long to tell of a wave.
  let troughStartedAt: number | undefined
  let isWave = false

  function describe (live: number, now: number): LiveCourse {
    let [peak, low, earlierPeak, recentLowest, recentHighest] = [0, live, 0, live, live]
    for (const { startedAt, sum, count, lowest, highest } of intervals) {
      const mean = sum / count
      peak = Math.max(peak, mean)
      low = Math.min(low, mean)
      if (now - startedAt > riseMs + intervalMs) earlierPeak = Math.max(earlierPeak, mean)
      else {
        recentLowest = Math.min(recentLowest, lowest)
        recentHighest = Math.max(recentHighest, highest)
      }
    }
    const noise = noiseDeviations * Math.sqrt(live)
    const rise = live - recentLowest > noise ? live - recentLowest : 0
    const isFalling = recentHighest - live > Math.max(noise, rise)
    const hasWaves = peak - low > waveDeviations * Math.sqrt(peak)
    const height = hasWaves ? (live - low) / (peak - low) : 0
    const hasBegun = (height > beginningShare && rise > 0) || height > endShare
    const hasEnded = height < beginningShare || (height < endShare && isFalling)
    trackTroughs(isWave ? hasWaves && !hasEnded : hasBegun && !isFalling, hasWaves, now)
    const troughMs = troughs.length === 0 || isWave || !hasWaves ? 0 : Math.min(...troughs)
    const waveInMs = Math.max(0, troughMs - (now - (troughStartedAt ?? now)))
    return {
      live,
      hasWaves,
      isWave: isWave || (troughMs > 0 && waveInMs <= onsetMs),
      peak: hasWaves ? peak * waveMargin : peak,
      low,
      // A wave is not expected to exceed the last one, but a rise above it goes on.
      expected: live < earlierPeak ? Math.min(live + rise, earlierPeak) : live + Math.min(rise, live - earlierPeak),
      waveInMs
    }
  }

  function trackTroughs (isInWave: boolean, hasWaves: boolean, now: number): void {
    if (!hasWaves) {
      troughs = []
      troughStartedAt = undefined
    } else if (isInWave && !isWave && troughStartedAt !== undefined) {
      troughs = [...troughs, now - troughStartedAt].slice(-rememberedTroughs)
    } else if (!isInWave && isWave) troughStartedAt = now
    isWave = isInWave
  }

  return {
    record (live, now) {
      const latest = intervals.at(-1)
      if (latest === undefined || now - latest.startedAt >= intervalMs) intervals.push({ startedAt: now, sum: live, count: 1, lowest: live, highest: live })
      else Object.assign(latest, { sum: latest.sum + live, count: latest.count + 1, lowest: Math.min(latest.lowest, live), highest: Math.max(latest.highest, live) })
      intervals = intervals.filter(interval => now - interval.startedAt <= retentionMs)
      return describe(live, now)
    }
  }
}
