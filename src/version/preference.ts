/**
 * Preference of a pool for live latency or batch throughput. The preferences differ in how many batch items run
 * concurrently with live requests, and in how fast their number grows again.
 * @module
 */
import { PreferenceKind } from './tables.ts'

/** Measured delay of live requests on one backend server, relative to its delay without batch items. */
export interface DelayRatio {
  /** 1 when batch items cause no delay; undefined until there are enough measurements. */
  readonly ratio: number | undefined
  /** Total number of observations; only increases. */
  readonly observations: number
}

/** Last decision on the number of batch items allowed concurrently with live requests. */
export interface BatchAllowance {
  readonly items: number
  /** Number of observations at the time of the decision. */
  readonly observationsAtDecision: number
}

/** Trade-off between live latency and batch throughput. */
export abstract class Preference {
  /** Maximum delay of live requests, relative to the delay without batch items. */
  abstract readonly maxDelayRatio: number

  /** Number of items added in one growth step while the measured delay is within the maximum. */
  abstract readonly growthItems: number

  /**
   * Decides how many items may run concurrently with live requests.
   * @param last - the last decision
   * @param delay - the measured delay of live requests
   * @param maxItems - upper limit of the number of items
   * @returns the new decision
   */
  abstract allowBatchItems (last: BatchAllowance, delay: DelayRatio, maxItems: number): BatchAllowance
}

class LatencyPreference extends Preference {
  override readonly maxDelayRatio = 1.05
  // The first item on an idle engine starts a step that later items must wait for, so adding items one by one would waste
  // complete steps.
  override readonly growthItems = 4

  override allowBatchItems (last: BatchAllowance): BatchAllowance {
    return { items: 0, observationsAtDecision: last.observationsAtDecision }
  }
}

/** Minimum number of observations between two decisions; with fewer, single slow tokens would affect the decision. */
const minObservationsPerDecision = 16

class ThroughputPreference extends Preference {
  override readonly maxDelayRatio = 1.15
  override readonly growthItems = 16

  // Additive increase and multiplicative decrease, so that the delay returns to the permitted range quickly.
  override allowBatchItems (last: BatchAllowance, delay: DelayRatio, maxItems: number): BatchAllowance {
    // The delay cannot be measured unless at least one item runs concurrently with live requests.
    if (delay.ratio === undefined) return { items: Math.min(1, maxItems), observationsAtDecision: last.observationsAtDecision }
    if (delay.observations - last.observationsAtDecision < minObservationsPerDecision) return { items: Math.min(last.items, maxItems), observationsAtDecision: last.observationsAtDecision }
    const items = delay.ratio <= this.maxDelayRatio ? last.items + 1 : Math.floor(last.items / 2)
    return { items: Math.min(items, maxItems), observationsAtDecision: delay.observations }
  }
}

const preferences: Readonly<Record<PreferenceKind, Preference>> = {
  [PreferenceKind.Latency]: new LatencyPreference(),
  [PreferenceKind.Throughput]: new ThroughputPreference()
}

/**
 * Finds the preference of a pool.
 * @param kind - the kind set in the pools table
 * @returns the preference
 */
export function findPreference (kind: PreferenceKind): Preference {
  return preferences[kind]
}
