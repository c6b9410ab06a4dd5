/**
 * Conversion factors between units, and the range of timers.
 * @module
 */

export const millisecondsPerSecond = 1_000

export const bytesPerMebibyte = 1024 * 1024

/** Longest time of a timer of Node.js, in milliseconds; a timer for a longer time fires at once. */
export const maxTimerMs = 2 ** 31 - 1
