/**
 * Conversion factors between units.
 * @module
 */

export const millisecondsPerSecond = 1_000
