/**
 * Random numbers as an explicit input, so that a run can be repeated from its seed.
 * @module
 */

/** Source of random numbers. */
export abstract class Random {
  /**
   * Draws a number.
   * @returns a number from 0 (included) to 1 (excluded)
   */
  abstract next (): number

  /**
   * Draws a whole number.
   * @param bound - the upper bound, excluded
   * @returns a whole number from 0 to `bound` (excluded)
   */
  below (bound: number): number {
    return Math.floor(this.next() * bound)
  }
}

class SystemRandom extends Random {
  override next (): number {
    return Math.random()
  }
}

/** The mulberry32 generator: small, fast, and good enough for jitter and tests. */
class SeededRandom extends Random {
  private state: number

  constructor (seed: number) {
    super()
    this.state = seed >>> 0
  }

  override next (): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/**
 * Creates a source without a seed.
 * @returns the source
 */
export function createSystemRandom (): Random {
  return new SystemRandom()
}

/**
 * Creates a source whose numbers follow from a seed.
 * @param seed - any whole number
 * @returns the source
 */
export function createSeededRandom (seed: number): Random {
  return new SeededRandom(seed)
}
