/**
 * How many batch items may run on one backend server.
 * @module
 */
import type { Random } from '../process/program/random.ts'
import type { Beside, DelayRatio, Preference } from '../version/preference.ts'

/** Time between two growth steps while the measured delay is within the bound, in milliseconds. */
const minGrowthIntervalMs = 2

/** Longest time between two growth steps, in milliseconds, so that a few idle seconds are enough to grow back. */
const maxGrowthIntervalMs = 32

/** What was decided last for a backend server. */
export interface Growth {
  /** Batch items that may run. */
  readonly limit: number
  readonly beside: Beside
  /** Monotonic time of the next growth step, in milliseconds. */
  readonly nextStepAt: number
}

/** What the decision depends on. */
export interface GrowthInputs {
  readonly last: Growth
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Live requests that run on the backend server, from all entry hosts. */
  readonly live: number
  /** The pool's limit of batch items on one backend server. */
  readonly concurrency: number
  /** Requests that the backend server runs well at once. */
  readonly capacity: number
  readonly delay: DelayRatio
}

/** The state before the first decision. */
export const initialGrowth: Growth = { limit: 0, beside: { items: 0, decidedAt: 0 }, nextStepAt: 0 }

/**
 * Decides on the limit: down at once when live work arrives, up in the preference's steps while there is none.
 * @param inputs - what the decision depends on
 * @param preference - the pool's preference
 * @param random - random numbers, so that several backend servers don't grow in step
 * @returns the new limit
 */
export function decideGrowth (inputs: GrowthInputs, preference: Preference, random: Random): Growth {
  const { last, now, live, concurrency, capacity, delay } = inputs
  const ceiling = Math.max(0, Math.min(concurrency, capacity - live))
  if (live > 0) {
    const beside = preference.allowBeside(last.beside, delay, ceiling)
    return { limit: beside.items, beside, nextStepAt: now }
  }
  if (last.limit >= ceiling) return { ...last, limit: ceiling }
  if (now < last.nextStepAt) return last
  const isHarmful = isDelayBoundExceeded(delay, preference)
  const intervalMs = isHarmful ? maxGrowthIntervalMs : minGrowthIntervalMs
  const items = isHarmful ? 1 : preference.growthItems
  return { limit: Math.min(last.limit + items, ceiling), beside: last.beside, nextStepAt: now + intervalMs * (0.5 + random.next()) }
}

function isDelayBoundExceeded (delay: DelayRatio, preference: Preference): boolean {
  return delay.ratio !== undefined && delay.ratio > preference.delayBound
}
