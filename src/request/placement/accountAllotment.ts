/**
 * Decides how many requests of a client account a host may have admitted in any window: its allotment. The leader names one to each host that
 * uses an account near its limit.
 *
 * Load pattern: an account near its limit sends to most hosts, several times what its limit allows or a little less than that, and what arrives at a
 * host within one interval between two reports differs from one request to many times the mean, since refused callers return. An estimate of
 * what the others admit is too low exactly when many hosts admit at once. Allotments do not depend on one: their sum stays below the maximum,
 * whatever arrives and whoever is lost. A host uses its part again as its own requests leave the window.
 *
 * Most of what is left is kept for hosts that ask, since an unused part of a host is missing elsewhere.
 * @module
 */
import { type AccountCount, computeUnboundPart, recentMs, type WindowLimit } from './accountLimit.ts'

/** Time for which an allotment shall last without a further message, in milliseconds. */
const horizonMs = 500

/** Share of the limit that reports leave to hosts that ask. */
const askedShare = 0.1

/** What the leader knows when it names an allotment. */
export interface AllotmentInputs {
  /** Requests of the host. */
  readonly own: AccountCount
  /** Requests of all hosts, the deciding one included. */
  readonly total: AccountCount
  /** Requests that hosts may have admitted of which the leader has no report. */
  readonly unreported: number
  /** Requests of the hosts with an allotment, the deciding one included. */
  readonly bound: Pick<AccountCount, 'committed'>
  /** Number of hosts without an allotment. */
  readonly unboundHosts: number
  /** Number of all hosts. */
  readonly hosts: number
  /** Requests for which the host asks; 0 for a report. */
  readonly wanted: number
  readonly limit: WindowLimit
  /** Length of the window, in milliseconds. */
  readonly windowMs: number
}

/**
 * Computes the allotment of a host.
 * @param inputs - what the leader knows
 * @returns requests that the host may have admitted in any window
 */
export function decideAllotment ({ own, total, unreported, bound, unboundHosts, hosts, wanted, limit, windowMs }: AllotmentInputs): number {
  const admitted = total.admitted + unreported
  // Hosts that keep to what they have replace what leaves the window, so the excess would last.
  if (admitted > limit.allotted) return Math.floor(own.admitted * limit.allotted / admitted)
  const unbound = Math.max(computeUnboundPart(limit, hosts) * unboundHosts, total.committed - bound.committed)
  const room = limit.allotted - (bound.committed - own.committed) - unbound - unreported - own.admitted
  const ownNeed = countNeed(own, windowMs)
  const share = Math.min(1, ownNeed / Math.max(ownNeed, countNeed(total, windowMs)))
  const reported = Math.min(Math.ceil(ownNeed), (room - limit.limit * askedShare) * share)
  const added = Math.max(reported, Math.min(wanted, room))
  return own.admitted + Math.max(0, Math.floor(added))
}

function countNeed ({ admitted, recent, refused }: AccountCount, windowMs: number): number {
  return Math.max(admitted / windowMs, (recent + refused) / recentMs) * horizonMs
}
