/**
 * What a pool weighs higher. The preferences differ in how much batch work stays beside live work, and in how fast it
 * grows back.
 * @module
 */
import { PreferenceKind } from './tables.ts'

/** Live delay as measured on one backend server, relative to its delay without batch work. */
export interface DelayRatio {
  /** 1 means no harm; undefined until enough was measured. */
  readonly ratio: number | undefined
  /** Observations so far; grows. */
  readonly observations: number
}

/** Batch items that may run beside live work, as last decided. */
export interface BatchAllowance {
  readonly items: number
  /** Observations when it was last changed. */
  readonly decidedAt: number
}

/** Weighs live latency against batch throughput. */
export abstract class Preference {
  /** Highest live delay relative to the delay without batch work. */
  abstract readonly maxDelayRatio: number

  /** Items in one growth step while the measured delay is within the bound. */
  abstract readonly growthItems: number

  /**
   * Decides how many items may run beside live work.
   * @param last - the last decision
   * @param delay - the live delay measured
   * @param maxItems - the most that may run
   * @returns the new decision
   */
  abstract allowBatchItems (last: BatchAllowance, delay: DelayRatio, maxItems: number): BatchAllowance
}

class LatencyPreference extends Preference {
  override readonly maxDelayRatio = 1.05
  // The first item of an idle engine starts a step that later ones wait for, so single items would waste whole steps.
  override readonly growthItems = 4

  override allowBatchItems (last: BatchAllowance): BatchAllowance {
    return { items: 0, decidedAt: last.decidedAt }
  }
}

/** Observations between two changes; fewer would follow single slow tokens. */
const observationsPerDecision = 16

class ThroughputPreference extends Preference {
  override readonly maxDelayRatio = 1.15
  override readonly growthItems = 16

  // Additive increase and multiplicative decrease, so that a bound that was passed is left quickly.
  override allowBatchItems (last: BatchAllowance, delay: DelayRatio, maxItems: number): BatchAllowance {
    // One item beside live work is needed to measure the harm at all.
    if (delay.ratio === undefined) return { items: Math.min(1, maxItems), decidedAt: last.decidedAt }
    if (delay.observations - last.decidedAt < observationsPerDecision) return { items: Math.min(last.items, maxItems), decidedAt: last.decidedAt }
    const items = delay.ratio <= this.maxDelayRatio ? last.items + 1 : Math.floor(last.items / 2)
    return { items: Math.min(items, maxItems), decidedAt: delay.observations }
  }
}

const preferences: Readonly<Record<PreferenceKind, Preference>> = {
  [PreferenceKind.Latency]: new LatencyPreference(),
  [PreferenceKind.Throughput]: new ThroughputPreference()
}

/**
 * Finds the preference of a pool.
 * @param kind - as the pools table says
 * @returns the preference
 */
export function findPreference (kind: PreferenceKind): Preference {
  return preferences[kind]
}
