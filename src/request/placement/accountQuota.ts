/**
 * Decides which requests of a client account a host may admit, so that all hosts together stay within the account's limit in every sliding
 * window.
 *
 * Load pattern: tens of accounts, a few of them large, spread over tens to hundreds of hosts. At most hosts an account has less than one
 * request in a window, so no host can distinguish a busy account from an idle one by itself, and the first request of an account must be admitted
 * without asking. Most accounts stay far below their limit, in waves; a busy one sends several times its usual rate for some seconds, and its
 * refused callers return together.
 *
 * Near the limit, the leader names each host an allotment, the requests that it may have admitted in any window. A host without one has a fixed part.
 * Both are counted by the leader, so the sum holds whatever arrives. A host that needs more asks the leader. Under a leader that names no
 * allotments, hosts estimate (`accountEstimate.ts`).
 *
 * Without a leader, hosts also divide what it had left to allot. An account that was at its limit then gets nothing more.
 * @module
 */
import { millisecondsPerSecond } from '../../process/program/units.ts'
import { decideByEstimate } from './accountEstimate.ts'
import { type AccountCount, type AccountKnowledge, type AccountSums, areOutdated, assumedGateways, computePartShare, computeUnboundPart, lateIntervals, type QuotaBounds, type QuotaShare, recentMs, type WindowLimit } from './accountLimit.ts'

/**
 * Computes the share of the requests of an account that a host may admit.
 * @param knowledge - what the host knows of the account
 * @param limit - limit of the account
 * @param bounds - tolerances
 * @returns the share
 */
export function decideQuota (knowledge: AccountKnowledge, limit: WindowLimit, bounds: QuotaBounds): QuotaShare {
  const { sums } = knowledge
  if (sums?.isAllotting === true) return sums.allotment === undefined ? decideUnbound(knowledge, sums, limit, bounds) : decideByAllotment(knowledge, sums.allotment, sums, limit, bounds)
  return decideByEstimate(knowledge, limit, bounds)
}

function decideByAllotment (knowledge: AccountKnowledge, allotment: number, sums: AccountSums, limit: WindowLimit, { windowMs }: QuotaBounds): QuotaShare {
  const { own } = knowledge
  const late = isLate(sums)
  // What was allotted may be given to others once the leader counts the host as lost.
  const isAdmitted = own.admitted < allotment + (late ? computeLatePart(knowledge, sums, limit) : 0) && sums.ageMs <= windowMs
  return { admittedShare: isAdmitted ? 1 : 0, retryMs: computeReturnMs(sums.count, limit, windowMs), mayAsk: !late }
}

// Returns the time in which there is room for those that all hosts refuse in one second.
function computeReturnMs ({ refused }: AccountCount, { limit }: WindowLimit, windowMs: number): number {
  return Math.min(windowMs, refused * millisecondsPerSecond / recentMs * windowMs / Math.max(1, limit))
}

// Without a leader, the hosts divide what was left at the last sums, unless the account was at its limit then. A host without a part does not refuse the
// only request that it gets in a window.
function computeLatePart ({ gateways = assumedGateways, rounding }: AccountKnowledge, sums: AccountSums, { limit, target }: WindowLimit): number {
  const { admitted, committed, refused } = sums.count
  if (refused > 0 || admitted >= limit) return 0
  const room = areOutdated(sums) ? Math.max(0, target - committed) : 0
  return Math.max(1, Math.floor(room * computePartShare(sums, gateways) + rounding))
}

// The parts of hosts without an allotment are fixed, so that the leader can count them before it has their reports. A host whose callers need more asks.
function decideUnbound (knowledge: AccountKnowledge, sums: AccountSums, limit: WindowLimit, bounds: QuotaBounds): QuotaShare {
  const { own, gateways = assumedGateways, rounding } = knowledge
  if (own.admitted < Math.max(1, Math.floor(computeUnboundPart(limit, gateways) + rounding))) return { admittedShare: 1, retryMs: 0, mayAsk: false }
  // Without a leader, the hosts divide what it may allot.
  const isAdmitted = areOutdated(sums) && own.admitted < Math.max(1, Math.floor(limit.target * computePartShare(sums, gateways) + rounding))
  return { admittedShare: isAdmitted ? 1 : 0, retryMs: bounds.windowMs / Math.max(1, own.admitted), mayAsk: !isLate(sums) }
}

function isLate ({ isUnanswered, ageMs, intervalMs }: AccountSums): boolean {
  return isUnanswered || ageMs > intervalMs * lateIntervals
}
