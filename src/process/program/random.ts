/**
 * Random numbers as an explicit dependency, so that a run can be reproduced from its seed.
 * @module
 */

/** Source of random numbers. */
export abstract class Random {
  /**
   * Draws a uniformly distributed number.
   * @returns a number from 0 (inclusive) to 1 (exclusive)
   */
  abstract next (): number

  /**
   * Draws a uniformly distributed integer.
   * @param bound - the exclusive upper bound
   * @returns an integer from 0 (inclusive) to `bound` (exclusive)
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

/** The mulberry32 generator: small and fast; its quality suffices for jitter and tests. */
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
 * Creates an unseeded source of random numbers.
 * @returns the source
 */
export function createSystemRandom (): Random {
  return new SystemRandom()
}

/**
 * Creates a deterministic source of random numbers.
 * @param seed - the seed, any integer; its low 32 bits are used
 * @returns the source
 */
export function createSeededRandom (seed: number): Random {
  return new SeededRandom(seed)
}
