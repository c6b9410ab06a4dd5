/**
 * Decides how many batch items may run on one backend server at a time.
 * @module
 */
import type { Random } from '../process/program/random.ts'
import type { BatchAllowance, DelayRatio, Preference } from '../version/preference.ts'

/** Mean interval between two growth steps while the measured live delay is within the bound, in milliseconds. */
const growthIntervalMs = 2

/**
 * Mean interval between two growth steps while the live delay exceeds the bound, in milliseconds; short enough to reach the
 * ceiling again within a few idle seconds.
 */
const slowGrowthIntervalMs = 32

/** The last decision for a backend server. */
export interface Growth {
  /** Maximum number of batch items that may run at a time. */
  readonly limit: number
  /** The last allowance of batch items alongside live requests. */
  readonly allowance: BatchAllowance
  /** Monotonic time of the next growth step, in milliseconds. */
  readonly nextStepAt: number
}

/** Values on which the decision depends. */
export interface GrowthInputs {
  readonly last: Growth
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Live requests in flight on the backend server, from all entry hosts. */
  readonly live: number
  /** The pool's limit of batch items in flight on one backend server. */
  readonly concurrency: number
  /** Announced number of requests that the backend server runs well concurrently. */
  readonly capacity: number
  readonly delay: DelayRatio
}

/** The state before the first decision. */
export const initialGrowth: Growth = { limit: 0, allowance: { items: 0, observationsAtDecision: 0 }, nextStepAt: 0 }

/**
 * Decides on the limit: it falls at once when live requests arrive, and grows by the steps of the preference while there
 * are none.
 * @param inputs - values on which the decision depends
 * @param preference - the pool's preference
 * @param random - random source for jitter, so that several backend servers don't grow in lockstep
 * @returns the new limit
 */
export function decideGrowth (inputs: GrowthInputs, preference: Preference, random: Random): Growth {
  const { last, now, live, concurrency, capacity, delay } = inputs
  const ceiling = Math.max(0, Math.min(concurrency, capacity - live))
  if (live > 0) {
    const allowance = preference.allowBatchItems(last.allowance, delay, ceiling)
    return { limit: allowance.items, allowance, nextStepAt: now }
  }
  if (last.limit >= ceiling) return { ...last, limit: ceiling }
  if (now < last.nextStepAt) return last
  const isBoundExceeded = isDelayBoundExceeded(delay, preference)
  const intervalMs = isBoundExceeded ? slowGrowthIntervalMs : growthIntervalMs
  const items = isBoundExceeded ? 1 : preference.growthItems
  return { limit: Math.min(last.limit + items, ceiling), allowance: last.allowance, nextStepAt: now + intervalMs * (0.5 + random.next()) }
}

function isDelayBoundExceeded (delay: DelayRatio, preference: Preference): boolean {
  return delay.ratio !== undefined && delay.ratio > preference.maxDelayRatio
}
