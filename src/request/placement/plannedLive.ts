/**
 * The live load that a plan of batch items assumes on each server.
 *
 * Load pattern: a live request that arrives at a server full of items waits until its load is reported, planned for, and an item
 * has been interrupted. So the plan leaves room for the requests that arrive meanwhile. With many hosts, the live requests of one
 * server change faster than the reports about them arrive. A plan that follows the reports of single servers interrupts items where
 * requests have just ended and starts them where requests arrive. The sum over all servers changes only with the traffic.
 * @module
 */

/** Interval of reports up to which the count of a single server is followed, in milliseconds; a small part of the duration of a request. */
const maxFollowedIntervalMs = 100

/** Room for requests that arrive before the plan can follow, on each server, as a share of the mean of the live requests. */
const headroomShare = 0.2

/**
 * Computes the live requests to plan for.
 * @param live - reported live requests of each server of a service
 * @param reportIntervalMs - interval between two reports of a host, in milliseconds
 * @returns the live requests to leave slots for, of each server
 */
export function planLive (live: readonly number[], reportIntervalMs: number): number[] {
  if (live.length === 0) return []
  let sum = 0
  for (const count of live) sum += count
  const mean = sum / live.length
  const isFollowed = reportIntervalMs <= maxFollowedIntervalMs
  return live.map(count => Math.round((isFollowed ? count : mean) + mean * headroomShare))
}
