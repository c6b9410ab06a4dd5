/**
 * Limits of client accounts, and what a host knows of their use: the figures that the decisions on their requests are based on.
 * @module
 */
import { millisecondsPerSecond } from '../../process/program/units.ts'

/** Time over which the latest rate of an account is counted, in milliseconds: long enough for a count, short enough to see a rise. */
export const recentMs = 250

/** Time until the end of their window within which admitted requests are counted as ending, in milliseconds. */
export const endingMs = 500

/** Part of the tolerated overshoot up to which the hosts aim; the remainder covers what they see too late. */
const targetShare = 0.1

/** Part of the tolerated overshoot that is allotted to hosts; the remainder covers the time from the admission of a request until it is sent. */
const allottedOvershootShare = 0.6

/** Share of the target from which the sums of an account are distributed. Below it, one window cannot reach the target before the next sums. */
const listedShare = 0.6

/** Time for which the latest rate is taken to last when the leader selects the sums to distribute, in milliseconds. */
const listedAheadMs = 1_000

/** Usual intervals after which the next sums are late, and a host keeps to its part beside the rate that they allow. */
export const lateIntervals = 1.75

/** Usual intervals after which sums are outdated: a report was lost, or the leader is. */
const outdatedIntervals = 2.5

/** Shortest time after which sums are outdated, in milliseconds. */
const minOutdatedMs = 600

/** Share of the maximum that hosts without an allotment may have admitted together in a window. */
const unboundShare = 0.5

/** Weight of a host's part of the last sums against an even part: the callers of an account may use a few hosts only. */
const usedShareWeight = 0.5

/** Number of gateways that a host assumes before its first sums. */
export const assumedGateways = 100

/** Tolerances of the limits of all accounts. */
export interface QuotaBounds {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number
  /** Tolerated overshoot, as a share of the limit. */
  readonly overshootShare: number
  /** Tolerated overshoot in addition, in requests. */
  readonly overshootRequests: number
}

/** Limit of one account in a window. */
export interface WindowLimit {
  /** Requests that the account may send. */
  readonly limit: number
  /** Requests at which the hosts aim when the account sends more. */
  readonly target: number
  /** Requests that the allotments of all hosts add up to at most. */
  readonly allotted: number
  /** Requests that no window may exceed. */
  readonly maximum: number
}

/** Requests of an account, of one host or of all. */
export interface AccountCount {
  /** Requests admitted in the latest window. */
  readonly admitted: number
  /** Requests admitted in the latest `recentMs`. */
  readonly recent: number
  /** Requests admitted in the window that leave it within `endingMs`. */
  readonly ending: number
  /** Requests refused in the latest `recentMs` since the limit was used up. */
  readonly refused: number
  /** Requests that may be in a window at most: those admitted, and those that allotments allow beyond. */
  readonly committed: number
}

/** Sums of the counts of all hosts. */
export interface AccountSums {
  readonly count: AccountCount
  /** Whether the leader has distributed the sums; otherwise they are the largest that the account may have had. */
  readonly isListed: boolean
  /** What the deciding host had contributed. */
  readonly reported: AccountCount
  /** Requests, admitted and refused, in `recentMs` as of the sums before; undefined if they were not distributed. */
  readonly previousDemand: number | undefined
  /** Time since the sums were received, in milliseconds. */
  readonly ageMs: number
  /** Requests that the host has admitted since the report in the sums. */
  readonly ownSince: number
  /** Usual time between two receptions of sums, in milliseconds. */
  readonly intervalMs: number
  /** Whether a request to the leader has remained without an answer since the sums. */
  readonly isUnanswered: boolean
  /** Whether the leader names allotments. */
  readonly isAllotting: boolean
  /** Requests that the host may have admitted in any window; undefined if the leader has named no allotment. */
  readonly allotment: number | undefined
}

/** What a host knows of an account. */
export interface AccountKnowledge {
  readonly own: AccountCount
  /** The last sums; undefined before the first ones. */
  readonly sums: AccountSums | undefined
  /** Number of gateways as of the last sums; undefined before the first ones. */
  readonly gateways: number | undefined
  /** Number from 0 to 1 that is distributed evenly over the hosts, for the rounding of a host's part. */
  readonly rounding: number
}

/** Share of the requests to admit. */
export interface QuotaShare {
  /** From 0 for none to 1 for all. */
  readonly admittedShare: number
  /** Time after which a further request is likely to be admitted, in milliseconds. */
  readonly retryMs: number
  /** Whether the leader may allot more to a host that asks. */
  readonly mayAsk: boolean
}

/**
 * Computes the limit of an account in one window.
 * @param ratePerSecond - requests per second
 * @param burst - requests in addition to the rate
 * @param bounds - tolerances
 * @returns the limit, the target and the maximum
 */
export function createWindowLimit (ratePerSecond: number, burst: number, { windowMs, overshootShare, overshootRequests }: QuotaBounds): WindowLimit {
  const limit = ratePerSecond * windowMs / millisecondsPerSecond + burst
  const overshoot = limit * overshootShare + overshootRequests
  return { limit, target: limit + overshoot * targetShare, allotted: limit + overshoot * allottedOvershootShare, maximum: limit + overshoot }
}

/**
 * Checks whether an account is so near to its limit that the hosts need its sums.
 * @param count - sums of all hosts
 * @param limit - limit of the account
 * @returns whether the sums are to be distributed; for all other accounts, `assumeUnlisted` is valid
 */
export function isNearLimit ({ admitted, recent, refused }: AccountCount, { target }: WindowLimit): boolean {
  return admitted + (recent + refused) * listedAheadMs / recentMs >= target * listedShare
}

/**
 * Returns the largest sums that an account may have whose sums were not distributed.
 * @param limit - limit of the account
 * @returns the sums
 */
export function assumeUnlisted ({ target }: WindowLimit): AccountCount {
  return { admitted: target * listedShare, recent: 0, ending: 0, refused: 0, committed: target * listedShare }
}

/**
 * Returns whether sums are so old that a report was lost, or the leader is.
 * @param sums - the sums
 * @returns whether the host must do without
 */
export function areOutdated ({ ageMs, intervalMs }: AccountSums): boolean {
  return ageMs > Math.max(minOutdatedMs, intervalMs * outdatedIntervals)
}

/**
 * Returns how many requests a host without an allotment may have admitted in a window.
 * @param limit - limit of the account
 * @param gateways - number of hosts
 * @returns the number; each host rounds it to at least one request
 */
export function computeUnboundPart ({ maximum }: WindowLimit, gateways: number): number {
  return maximum * unboundShare / Math.max(1, gateways)
}

/**
 * Returns a host's share of what all hosts may admit without a leader.
 * @param sums - the last sums
 * @param gateways - number of hosts
 * @returns the share, from 0 to 1
 */
export function computePartShare ({ count, reported }: AccountSums, gateways: number): number {
  const evenShare = 1 / Math.max(1, gateways)
  const usedShare = count.admitted > 0 ? Math.min(1, reported.admitted / count.admitted) : evenShare
  return evenShare * (1 - usedShareWeight) + usedShare * usedShareWeight
}
