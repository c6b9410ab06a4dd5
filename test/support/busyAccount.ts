/**
 * Replays of a client account that becomes busy, whose refused callers try once more.
 * @module
 */
import { expect } from 'chai'
import { defaultQuotaBounds } from '../../src/process/accounts/accountQuotas.ts'
import { createSeededRandom } from '../../src/process/program/random.ts'
import { createWindowLimit } from '../../src/request/placement/accountLimit.ts'
import { createAccounts, isWithin, limitFactor, waveAt } from './quotaAccounts.ts'
import { findLargestWindow, playQuotas, type QuotaReplay } from './quotaReplay.ts'

const hotFromMs = 8_000
const hotUntilMs = 14_500
const hotFactor = 7.5
const durationMs = 24_000
const callerTimeMs = 5_057

/** A fleet, and the positions by size of the accounts that become busy. */
export interface BusyFleet {
  readonly hosts: number
  readonly accounts: number
  readonly perSecond: number
  /** Interval between two reports that a host has beside its other work, in milliseconds. */
  readonly reportMs: number
  readonly positions: readonly number[]
}

/** What fails while the account is busy. */
export interface BusyScenario extends Pick<QuotaReplay, 'isReached' | 'leaderStarts' | 'isRestarted'> {
  readonly name: string
}

/** Result of a replay. */
export interface BusyResult {
  /** The fullest window of each account, by size of the accounts. */
  readonly windows: ReadonlyArray<{ readonly name: string, readonly largest: number, readonly maximum: number }>
  /** Requests that an exact limiter would have admitted earlier, as a share of all that it admits. */
  readonly shortfall: number
  /** Requests for allotments, a second and fleet. */
  readonly askedPerSecond: number
}

export const busyFleets: readonly BusyFleet[] = [
  { hosts: 28, accounts: 30, perSecond: 90, reportMs: 200, positions: [0, 2] },
  { hosts: 80, accounts: 87, perSecond: 261, reportMs: 300, positions: [0, 2, 10] }
]

export const busyScenarios: readonly BusyScenario[] = [
  { name: 'without a fault' },
  { name: 'when the leader is lost for 1.3 s', isReached: (_host, at) => !isWithin(at, 10_600, 11_900), leaderStarts: [11_900] },
  { name: 'when the leader is lost for 4 s as hosts restart one by one', isReached: (_host, at) => !isWithin(at, 11_500, 15_500), leaderStarts: [15_500], isRestarted: (host, from, until) => isWithin(hotFromMs + host * 250, from, until) }
]

/** Replays an account that is busy from 8 s on. */
export function replayBusyAccount ({ hosts, accounts: count, perSecond, reportMs }: BusyFleet, position: number, { name: _name, ...faults }: BusyScenario, seed: number): BusyResult {
  const accounts = createAccounts(count, perSecond)
  const { outcomes, askedPerSecond } = playQuotas({
    hosts,
    accounts,
    reportMs,
    callerTimeMs,
    durationMs,
    random: createSeededRandom(seed),
    rateOf: ({ name, ratePerSecond }, at) => ratePerSecond / limitFactor * (name === `account-${position}` && isWithin(at, hotFromMs, hotUntilMs) ? hotFactor : waveAt(at)),
    ...faults
  })
  let exact = 0
  let shortfall = 0
  const windows = []
  for (const { name, ratePerSecond } of accounts) {
    const outcome = outcomes.get(name) ?? expect.fail(name)
    windows.push({ name, largest: findLargestWindow(outcome), maximum: createWindowLimit(ratePerSecond, 0, defaultQuotaBounds).maximum })
    exact += outcome.exactAt.length
    shortfall += outcome.shortfall
  }
  return { windows, shortfall: shortfall / exact, askedPerSecond }
}
