/**
 * Factors between units.
 * @module
 */

/** Milliseconds in a second. */
export const millisecondsPerSecond = 1_000
