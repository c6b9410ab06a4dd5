/**
 * Decides which share of the requests of a client account a host may admit by an estimate of what the others admit: under a leader of an earlier
 * version, which names no allotments, and before the first sums.
 *
 * A host knows sums that are some hundred milliseconds old. If hosts admitted everything below the limit and nothing above it, all of them would do
 * so at once, for as long as the sums are old. So they admit the share of the requests that brings the sum near to a target between the limit
 * and the tolerated maximum. A rise that is faster than the sums can exceed the maximum.
 *
 * Without recent sums a host keeps to its own part of the tolerated maximum: what it used as of the last sums is not known to be typical, so each
 * host has the same part.
 * @module
 */
import { type AccountCount, type AccountKnowledge, type AccountSums, areOutdated, assumedGateways, computePartShare, computeUnboundPart, endingMs, lateIntervals, type QuotaBounds, type QuotaShare, recentMs, type WindowLimit } from './accountLimit.ts'

/** Factor of the delay of the sums in which the target is approached: a shorter time makes the hosts overreact to old sums. */
const approachFactor = 1.5

/** Time from which a rate is not extended by its random part, in milliseconds: a single request is no rate that lasts a second. */
const steadyMs = 1_000

/** Shortest time in which the target is approached, in milliseconds. */
const minApproachMs = 300

/** Longest such time, in milliseconds: with a longer one, ordinary waves are refused. */
const maxApproachMs = 600

/**
 * Computes the share of the requests of an account that a host may admit.
 * @param knowledge - what the host knows of the account
 * @param limit - limit of the account
 * @param bounds - tolerances
 * @returns the share
 */
export function decideByEstimate (knowledge: AccountKnowledge, limit: WindowLimit, bounds: QuotaBounds): QuotaShare {
  const { sums } = knowledge
  if (sums === undefined || areOutdated(sums)) return decideAlone(knowledge, limit, bounds)
  // These may be the last sums for a while. They don't show that all hosts admit more than before; each keeping to its part bounds the total.
  if (sums.ageMs > sums.intervalMs * lateIntervals && sums.ownSince >= countAllowed(knowledge, limit, bounds)) return { admittedShare: 0, retryMs: sums.intervalMs, mayAsk: false }
  return approachTarget(knowledge.own, sums, limit, bounds)
}

function approachTarget (own: AccountCount, { count, isListed, reported, previousDemand, ageMs, intervalMs }: AccountSums, { target: usualTarget, maximum }: WindowLimit, { windowMs }: QuotaBounds): QuotaShare {
  // Sums that are assumed are mostly too high. Up to the maximum the host relies on the next sums, which list an account that comes near.
  const target = isListed ? usualTarget : maximum
  const others = {
    admitted: Math.max(0, count.admitted - reported.admitted),
    recent: Math.max(0, count.recent - reported.recent),
    ending: Math.max(0, count.ending - reported.ending),
    refused: Math.max(0, count.refused - reported.refused)
  }
  // The reports in the sums are half an interval old on average.
  const delayMs = ageMs + intervalMs / 2
  const demand = count.recent + count.refused
  const noise = Math.sqrt(demand) * Math.min(1, delayMs / steadyMs)
  // The counts follow a rise over an interval and `recentMs`. Its slope tells where it leads before they have got there.
  const risePerMs = previousDemand === undefined ? 0 : Math.max(0, demand - noise - previousDemand) / Math.max(1, intervalMs)
  const rise = risePerMs * (delayMs + recentMs / 2)
  const admittedBefore = count.refused > 0 ? count.recent / demand : 1
  const othersGrowth = ((Math.max(0, others.recent - noise) + rise * admittedBefore / 2) / recentMs - others.ending / endingMs) * delayMs
  const used = own.admitted + Math.max(0, others.admitted + othersGrowth)
  const endingPerMs = (others.ending + own.ending) / endingMs
  const demandPerMs = (others.recent + others.refused + own.recent + own.refused) / recentMs
  const approachMs = Math.min(maxApproachMs, Math.max(minApproachMs, intervalMs * approachFactor))
  const admittedPerMs = endingPerMs + (target - used) / approachMs
  const admittedShare = admittedPerMs >= demandPerMs ? 1 : Math.max(0, admittedPerMs / demandPerMs)
  const excess = used + 1 - target
  const retryMs = excess > 0 ? excess / Math.max(endingPerMs, 1 / windowMs) : 1 / Math.max(admittedPerMs, 1 / windowMs)
  return { admittedShare, retryMs: Math.min(windowMs, retryMs), mayAsk: false }
}

function decideAlone (knowledge: AccountKnowledge, limit: WindowLimit, bounds: QuotaBounds): QuotaShare {
  const { own, sums } = knowledge
  const admittedBefore = sums === undefined ? own.admitted : sums.ownSince
  return { admittedShare: admittedBefore < countAllowed(knowledge, limit, bounds) ? 1 : 0, retryMs: bounds.windowMs / Math.max(1, own.admitted), mayAsk: false }
}

// Returns how many requests a host may admit since the last sums, or in a window without any, so that all hosts stay within the maximum.
function countAllowed ({ sums, gateways = assumedGateways, rounding }: AccountKnowledge, limit: WindowLimit, { windowMs }: QuotaBounds): number {
  const part = sums === undefined ? computeUnboundPart(limit, gateways) : estimateRoom(sums, limit.maximum, windowMs) * computePartShare(sums, gateways)
  // The roundings of all hosts must not add up. But while the sums may still hold, a host with a part of less than one request does not refuse
  // the only one that it gets in a window.
  const isOneAdmitted = sums === undefined || sums.ageMs <= windowMs
  return Math.max(isOneAdmitted ? 1 : 0, Math.floor(part + rounding))
}

// Returns how many requests all hosts may have admitted since the sums: what was left then, and what has left the window since.
function estimateRoom ({ count, ageMs, intervalMs }: AccountSums, maximum: number, windowMs: number): number {
  const growth = Math.max(0, (count.recent / recentMs - count.ending / endingMs) * intervalMs / 2)
  const used = count.admitted + growth
  return Math.max(0, maximum - used) + used * Math.min(1, ageMs / windowMs)
}
