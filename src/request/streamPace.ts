/**
 * Measures the pace at which a backend server sends the events of a stream.
 * @module
 */

/** Events after the first chunk from which the mean time between them counts. */
const minEvents = 4

/** Share of the duration of a stream for which the caller may have kept the server waiting; above it, the measured pace is the caller's. */
const maxWaitShare = 0.1

/** The pace of one stream. */
export interface StreamPace {
  /**
   * Records that events have arrived.
   * @param events - number of events that arrived together
   * @param now - monotonic time, in milliseconds
   */
  recordEvents (events: number, now: number): void
  /**
   * Records that the events were passed on.
   * @param waitMs - time until the caller took them, in milliseconds
   */
  recordWrite (waitMs: number): void
  /** Returns the mean time between two events, in milliseconds; undefined if it is not the server's, or not known. */
  getEventMs (): number | undefined
}

/**
 * Creates the pace of a stream without events.
 * @returns the pace
 */
export function createStreamPace (): StreamPace {
  let firstAt: number | undefined
  let lastAt = 0
  let laterEvents = 0
  let waitMs = 0
  return {
    recordEvents (events, now) {
      if (firstAt === undefined) firstAt = now
      else laterEvents += events
      lastAt = now
    },
    recordWrite (durationMs) {
      waitMs += durationMs
    },
    getEventMs () {
      if (firstAt === undefined || laterEvents < minEvents || lastAt <= firstAt) return undefined
      return waitMs > (lastAt - firstAt) * maxWaitShare ? undefined : (lastAt - firstAt) / laterEvents
    }
  }
}
