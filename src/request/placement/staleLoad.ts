/**
 * Estimates the current load of backend servers from sums that are some time old.
 *
 * Load pattern: hundreds of hosts before tens of servers, each of which sees the others only through sums that are as old as a
 * request is long. If all of them choose the server with the lowest sum, they choose the same few servers until the next sums,
 * fill their queues and are refused there. So a host assumes that the requests in the sums end at the usual rate, that as many
 * new ones and some more have arrived meanwhile, and that these have gone where the load was low.
 * @module
 */

/** Requests that may have arrived since the sums were made, as a multiple of those that arrive in steady traffic: a wave may have begun. */
const growthFactor = 1.5

/** What a host knows of the load of all servers of a service. */
export interface LoadKnowledge {
  /** Live requests of other hosts in flight on all servers together, as of the sums. */
  readonly remoteLive: number
  /** Age of the sums, in milliseconds. */
  readonly ageMs: number
  /** Usual duration of a request, in milliseconds. */
  readonly requestMs: number
}

/** How sums are to be read. */
export interface LoadEstimate {
  /** Share of the live requests in the sums that are still in flight, from 0 to 1. */
  readonly remainingShare: number
  /** Live requests of other hosts that arrived after the sums were made, on all servers together. */
  readonly unseenRequests: number
}

/**
 * Estimates what has changed since the sums were made.
 * @param knowledge - the sums and their age
 * @returns the share of requests that remain, and the number of new ones
 */
export function estimateLoad ({ remoteLive, ageMs, requestMs }: LoadKnowledge): LoadEstimate {
  const remainingShare = Math.exp(-Math.max(0, ageMs) / Math.max(1, requestMs))
  return { remainingShare, unseenRequests: remoteLive * (1 - remainingShare) * growthFactor }
}
