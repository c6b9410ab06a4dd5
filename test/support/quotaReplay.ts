/**
 * A replay of requests of client accounts over many gateways. The gateways and the leader are those of the product; messages take time, and
 * hosts and leader can be lost. It keeps the time of each admitted request, from which the windows are counted.
 * @module
 */
import { type AccountQuotas, createAccountQuotas, defaultQuotaBounds } from '../../src/process/accounts/accountQuotas.ts'
import type { AccountUse } from '../../src/process/accounts/accountUse.ts'
import { FleetRole, type FleetWatchRequest } from '../../src/process/fleet/fleetMessages.ts'
import type { EarlierUse } from '../../src/process/accounts/accountUseSums.ts'
import { createHostSessions } from '../../src/process/fleet/hostSessions.ts'
import { createSilentLogger } from '../../src/process/program/logger.ts'
import type { Random } from '../../src/process/program/random.ts'
import { createWindowLimit } from '../../src/request/placement/accountLimit.ts'
import { chooseReturnMs, returnBaseMs } from '../../src/request/placement/returnTime.ts'
import type { ClientAccount } from '../../src/version/accounts.ts'
import { FakeClock } from './fakeClock.ts'

/** Steps of the replay, in milliseconds. */
const stepMs = 5
/** One way between a host and the leader, in milliseconds. */
const messageMs = 20
/** Time before the first request, in milliseconds: hosts report before they serve. */
const startMs = 3_000
/** Time until a call without an answer ends, in milliseconds. */
const exchangeTimeoutMs = 200
/** Exchanges with the leader for which a request waits. */
const maxExchanges = 2
/** Share of its time for which a caller waits before it tries again. */
const maxWaitShare = 1 / 3
const { windowMs } = defaultQuotaBounds

/** Admitted requests of an account, beside those of an exact limiter. */
export interface AccountOutcome {
  readonly admittedAt: number[]
  /** Times of the requests that an exact limiter would have admitted. */
  readonly exactAt: number[]
  /** Requests that wait for an answer of the leader. */
  waiting: number
  /** Largest number of requests by which the exact limiter was ahead; those that wait are not refused. */
  shortfall: number
}

/** What happens in a replay. Times are in milliseconds from its start. */
export interface QuotaReplay {
  readonly hosts: number
  readonly accounts: readonly ClientAccount[]
  readonly durationMs: number
  readonly random: Random
  /** Returns the requests per second of an account at a time. */
  rateOf (account: ClientAccount, at: number): number
  /** Returns the account as a host knows it at a time; by default it does not change. */
  describe? (account: ClientAccount, at: number): ClientAccount
  /** Number of hosts that the callers of each account use; all by default. */
  readonly hostsPerAccount?: number
  /** Returns whether a host reaches the leader. */
  isReached? (host: number, at: number): boolean
  /** Times at which the leader loses its state, and another one begins. */
  readonly leaderStarts?: readonly number[]
  /** Interval between two reports of a host, in milliseconds; by default that of a fleet without other work. */
  readonly reportMs?: number
  /** Time that a caller has for its request, in milliseconds; a refused one tries once more within it. By default callers don't return. */
  readonly callerTimeMs?: number
  /** Returns whether a host restarts within the step that ends at a time. */
  isRestarted? (host: number, from: number, until: number): boolean
}

interface SimulatedHost {
  readonly index: number
  quotas: AccountQuotas
  start: number
  nextReportAt: number
}

/** The result of a replay. */
export interface ReplayResult {
  readonly outcomes: ReadonlyMap<string, AccountOutcome>
  /** Bytes of the use of accounts in reports and responses, encoded as JSON, a second and host. */
  readonly bytesPerSecond: number
  /** Requests for allotments, a second and fleet. */
  readonly askedPerSecond: number
}

/** Plays a replay from its start to its end. */
export function playQuotas (replay: QuotaReplay): ReplayResult {
  const { random } = replay
  const clock = new FakeClock()
  const sessions = createHostSessions()
  const outcomes = new Map<string, AccountOutcome>()
  let leadership = 0
  const pending: Array<{ at: number, run: () => void }> = []
  const reportMs = replay.reportMs ?? Math.max(40, replay.hosts * 2.5)
  const maxChangeMs = Math.max(500 - reportMs, 1.5 * reportMs)
  let bytes = 0
  let asked = 0
  const createQuotas = (index: number, start = 0): AccountQuotas => createAccountQuotas(clock, createSilentLogger(), () => defaultQuotaBounds, `g-${index}`, `g-${index}/${start}`)
  const hosts: SimulatedHost[] = Array.from({ length: replay.hosts }, (_, index) => ({ index, quotas: createQuotas(index), start: 0, nextReportAt: random.next() * reportMs }))
  for (const account of replay.accounts) outcomes.set(account.name, { admittedAt: [], exactAt: [], waiting: 0, shortfall: 0 })

  function describe (account: ClientAccount): ClientAccount {
    return replay.describe?.(account, clock.now()) ?? account
  }

  function arrive (account: ClientAccount, isReturn = false): void {
    const outcome = outcomes.get(account.name) as AccountOutcome
    const first = replay.hostsPerAccount === undefined ? 0 : replay.accounts.indexOf(account) * replay.hostsPerAccount
    const host = hosts[(first + random.below(replay.hostsPerAccount ?? hosts.length)) % hosts.length] as SimulatedHost
    const known = describe(account)
    const { limit } = createWindowLimit(known.ratePerSecond, known.burst, defaultQuotaBounds)
    admit(host, account, isReturn, maxExchanges)
    if (countInWindow(outcome.exactAt, clock.now()) + 1 <= limit) outcome.exactAt.push(clock.now())
    outcome.shortfall = Math.max(outcome.shortfall, outcome.exactAt.length - outcome.admittedAt.length - outcome.waiting)
  }

  // As the admission of the product, without its tasks.
  function admit (host: SimulatedHost, account: ClientAccount, isReturn: boolean, exchanges: number): void {
    const { quotas } = host
    const known = describe(account)
    const { isAdmitted, isUndecided, retryMs } = quotas.admit(known, exchanges > 0)
    if (isAdmitted) (outcomes.get(account.name) as AccountOutcome).admittedAt.push(clock.now())
    else if (isUndecided === true) waitForExchange(host, account, isReturn, exchanges - 1)
    else if (!isReturn && replay.callerTimeMs !== undefined) scheduleReturn(account, retryMs, replay.callerTimeMs)
  }

  function waitForExchange (host: SimulatedHost, account: ClientAccount, isReturn: boolean, exchanges: number): void {
    const { quotas, start } = host
    const outcome = outcomes.get(account.name) as AccountOutcome
    outcome.waiting++
    const decideAgain = (): void => {
      outcome.waiting--
      if (host.start === start) admit(host, account, isReturn, exchanges)
    }
    const request = quotas.describeRequest(describe(account))
    if (request === undefined) {
      quotas.exchanged.once(decideAgain)
      return
    }
    asked++
    pending.push({
      at: clock.now() + messageMs,
      run: () => {
        const isAnswered = replay.isReached?.(host.index, clock.now()) !== false
        const allotment = isAnswered ? sessions.accountUse.allotRequested(request, describe(account), defaultQuotaBounds, clock.now()) : undefined
        pending.push({
          at: clock.now() + (isAnswered ? messageMs : exchangeTimeoutMs),
          run: () => {
            quotas.applyAllotment(request, isAnswered ? { allotment } : undefined)
            decideAgain()
          }
        })
      }
    })
  }

  function scheduleReturn (account: ClientAccount, retryMs: number, callerTimeMs: number): void {
    const returnMs = Math.min(chooseReturnMs(returnBaseMs, random.next(), { spreadMs: retryMs, remainingMs: callerTimeMs }), callerTimeMs * maxWaitShare)
    pending.push({ at: clock.now() + returnMs, run: () => { arrive(account, true) } })
  }

  function report (host: SimulatedHost): void {
    const use = host.quotas.describeUse()
    const earlierUse = host.quotas.describeEarlierUse()
    // As the task of load reports: an interval, and then until the next request begins or ends.
    const changesPerMs = 2 * replay.accounts.reduce((sum, account) => sum + replay.rateOf(account, clock.now()), 0) / replay.hosts / 1_000
    host.nextReportAt = clock.now() + 2 * messageMs + reportMs + Math.min(maxChangeMs, drawExponential(random) / changesPerMs)
    if (use === undefined) return
    bytes += JSON.stringify({ accountUse: use, earlierUse }).length
    const { start } = host
    const accountUseSequence = host.quotas.sequence
    pending.push({ at: clock.now() + messageMs, run: () => { if (host.start === start) receive(host, use, accountUseSequence, earlierUse) } })
  }

  function receive (host: SimulatedHost, use: AccountUse, accountUseSequence: number, earlierUse: EarlierUse | undefined): void {
    const { quotas } = host
    if (replay.isReached?.(host.index, clock.now()) === false) {
      pending.push({ at: clock.now() + exchangeTimeoutMs, run: () => { quotas.cancelReport() } })
      return
    }
    const holder = `g-${host.index}/${host.start}`
    sessions.renew(createPoll(`g-${host.index}`, holder), 0, clock.now())
    sessions.report({ holder, live: {}, suspects: [], accountUse: use, accountUseSequence })
    if (earlierUse !== undefined && earlierUse.leadership !== String(leadership)) sessions.accountUse.recordEarlier(holder, earlierUse, windowMs, clock.now())
    const accounts = replay.accounts.map(describe)
    const described = sessions.accountUse.describe(accounts, defaultQuotaBounds, clock.now())
    const allotments = sessions.accountUse.allot(holder, accounts, defaultQuotaBounds, clock.now())
    const totals = allotments === undefined ? {} : { ...described, allotments, leadership: String(leadership) }
    bytes += JSON.stringify(totals).length
    pending.push({ at: clock.now() + messageMs, run: () => { quotas.applyTotals(totals, use, earlierUse) } })
  }

  function runStep (from: number): void {
    // As the poll that each host keeps at the leader.
    for (const { index, start } of hosts) if (replay.isReached?.(index, clock.now()) !== false) sessions.touch(`g-${index}/${start}`, clock.now())
    sessions.expire(clock.now())
    for (const at of replay.leaderStarts ?? []) {
      if (at < from || at >= clock.now()) continue
      sessions.clear()
      leadership++
    }
    for (const host of hosts) {
      if (replay.isRestarted?.(host.index, from, clock.now()) !== true) continue
      host.start++
      host.quotas = createQuotas(host.index, host.start)
    }
    for (const [position, message] of [...pending.entries()].reverse()) {
      if (message.at > clock.now()) continue
      pending.splice(position, 1)
      message.run()
    }
    for (const account of clock.now() < startMs ? [] : replay.accounts) {
      const expected = replay.rateOf(account, clock.now()) * stepMs / 1_000
      for (let sum = drawExponential(random); sum < expected; sum += drawExponential(random)) arrive(account)
    }
    for (const host of hosts) if (host.nextReportAt <= clock.now()) report(host)
  }

  while (clock.now() < replay.durationMs) {
    const from = clock.now()
    clock.jump(stepMs)
    runStep(from)
  }
  return { outcomes, bytesPerSecond: bytes / replay.hosts / (replay.durationMs / 1_000), askedPerSecond: asked / (replay.durationMs / 1_000) }
}

/** Returns the most admitted requests of any window, of those windows that begin at or after a time. */
export function findLargestWindow ({ admittedAt }: AccountOutcome, from = 0): number {
  let largest = 0
  let first = 0
  for (const [last, at] of admittedAt.entries()) {
    while ((admittedAt[first] ?? 0) < Math.max(from, at - windowMs + stepMs)) first++
    largest = Math.max(largest, last - first + 1)
  }
  return largest
}

function countInWindow (times: readonly number[], now: number): number {
  return times.length - 1 - times.findLastIndex(time => time <= now - windowMs)
}

function drawExponential (random: Random): number {
  return -Math.log(1 - random.next())
}

function createPoll (name: string, holder: string): FleetWatchRequest {
  const host = { name, holder, role: FleetRole.Gateway, availabilityZone: 'z1', region: 'r1', callerAddress: undefined, ready: true }
  return { host, leadership: '', tablesVersion: 0, serversRevision: 0, hostsRevision: 0, isSettled: true }
}
