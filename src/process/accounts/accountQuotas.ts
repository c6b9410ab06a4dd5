/**
 * Quotas of client accounts at a gateway: requests of an account over all hosts together, in sliding windows. The state lives for the
 * process; the hosts exchange what they have admitted within the load reports.
 * @module
 */
import { createHash } from 'node:crypto'
import { type AccountCount, type AccountSums, assumeUnlisted, createWindowLimit, type QuotaBounds, type QuotaShare, type WindowLimit } from '../../request/placement/accountLimit.ts'
import { decideQuota } from '../../request/placement/accountQuota.ts'
import { type AccountLevel, computeLevel } from '../../request/placement/competition.ts'
import type { ClientAccount } from '../../version/accounts.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import type { AccountTotals, EarlierUse } from './accountUseSums.ts'
import { type AccountUse, type AllotmentRequest, type AllotmentResponse, describeCount, readCount } from './accountUse.ts'
import { type AdmissionSummary, createAdmissionSummary } from './admissionSummary.ts'
import { createRequestLog, type RequestLog } from './requestLog.ts'

/** Tolerances of a host whose settings name none. */
export const defaultQuotaBounds: QuotaBounds = { windowMs: 5_000, overshootShare: 0.1, overshootRequests: 20 }

/** Minimum interval between two reports of use, in milliseconds. */
const minReportIntervalMs = 100

/** Interval between two reports of use for each account in a report and its response, in milliseconds; bounds the bytes for them. */
const reportIntervalPerAccountMs = 4

/** Interval between sums that a host assumes before it knows one, in milliseconds. */
const assumedIntervalMs = 1_000

/** Share of the gateways known before that sums must contain; with fewer, the leader is new and lacks reports. */
const minReporterShare = 0.6

/** Time after which sums of fewer gateways are believed, in milliseconds: hosts contact a new leader within a second and report soon after. */
const believedAfterMs = 3_000

/** Weight of the latest interval in the moving average of the intervals between sums. */
const intervalSmoothingFactor = 0.3

/** Longest time for which a report waits for requests for allotments, in milliseconds; calls end earlier. */
const maxExchangeMs = 500

/** Difference of two consecutive numbers of an evenly distributed sequence from 0 to 1: the golden ratio. */
const sequenceStep = 0.618_033_988_75

/** Decision on one request. */
export interface QuotaDecision {
  readonly isAdmitted: boolean
  /** Time after which a further request is likely to be admitted, in milliseconds; 0 for an admitted one. */
  readonly retryMs: number
  /** Monotonic time at which the request was counted, in milliseconds; undefined if it was refused or has no limit. */
  readonly countedAt?: number
  /** Whether the leader is to be asked first; the request is then neither admitted nor refused. */
  readonly isUndecided?: boolean
}

/** Decision on a request that is not counted. */
export interface QuotaPreview extends QuotaDecision {
  /** Share of the requests of the account that this host admits at present, from 0 to 1. */
  readonly admittedShare: number
  /** Requests that the account may send in a window. */
  readonly limit: number
  /** Requests of all hosts that were admitted in the latest window, as of the last sums; undefined before the first ones. */
  readonly used: number | undefined
  /** Age of these sums, in milliseconds; undefined before the first ones. */
  readonly ageMs: number | undefined
}

/** The quotas at a gateway. */
export interface AccountQuotas {
  /**
   * Decides on a live request, and counts it if it is admitted.
   * @param account - the account; undefined if the request needs none
   * @param mayWait - whether the request can wait for an answer of the leader; otherwise it is decided in any case
   * @returns whether it may run
   */
  admit (account: ClientAccount | undefined, mayWait?: boolean): QuotaDecision
  /** Notified when an exchange with the leader has ended. */
  readonly exchanged: Condition
  /**
   * Begins to ask the leader for an allotment.
   * @param account - the account
   * @returns the request; undefined while another exchange may change what the host has of the account
   */
  describeRequest (account: ClientAccount): AllotmentRequest | undefined
  /**
   * Ends a request for an allotment.
   * @param request - the request
   * @param response - the response; undefined if there was none
   */
  applyAllotment (request: AllotmentRequest, response: AllotmentResponse | undefined): void
  /**
   * Waits for the requests for allotments that are under way, and begins no other until the report has ended. Without it, a host that asks all the
   * time would never report.
   * @param signal - ends the wait
   * @returns a promise that resolves when the use may be described
   */
  prepareReport (signal: AbortSignal): Promise<void>
  /** Ends a report without a response. */
  cancelReport (): void
  /** Number of the latest report of use or request for an allotment. */
  readonly sequence: number
  /**
   * Decides on a live request as `admit` would, and counts nothing. A request for which the leader would be asked counts as admitted.
   * @param account - the account
   * @returns the decision and the figures that it is based on; undefined if the account has no limit
   */
  preview (account: ClientAccount): QuotaPreview | undefined
  /**
   * Takes back an admission: no server has run the request.
   * @param account - the account; undefined if the request needed none
   * @param decision - the admission
   */
  release (account: ClientAccount | undefined, decision: QuotaDecision): void
  /** Returns what this host has admitted, for the next load report; undefined if it was reported just now. */
  describeUse (): AccountUse | undefined
  /** Returns the last sums of an earlier leader for the next report to a new one; undefined without any that are recent. */
  describeEarlierUse (): EarlierUse | undefined
  /**
   * Applies the sums of all hosts in the response to a load report.
   * @param totals - the sums; nothing happens if the response has none
   * @param reported - what this host had reported
   * @param earlierUse - the sums of an earlier leader that this host had reported
   */
  applyTotals (totals: AccountTotals, reported: AccountUse | undefined, earlierUse?: EarlierUse): void
  /**
   * Returns how much of its limit an account uses, for the decision who gives way when places are short.
   * @param account - the account; undefined if the request needs none
   * @returns the level of the account and that of all
   */
  getLevel (account: ClientAccount | undefined): AccountLevel
}

const unlimited: QuotaDecision = { isAdmitted: true, retryMs: 0 }

/** Counts by name of the account. */
type AccountCounts = ReadonlyMap<string, AccountCount>

/** Sums as they were received, with what this host had contributed. */
interface ReceivedSums {
  readonly leadership: string
  readonly sums: AccountCounts
  readonly reportedUse: AccountCounts
  /** Monotonic time at which they were received, in milliseconds. */
  readonly receivedAt: number
}

/** Requests of one account at this host. */
interface AccountState {
  readonly requests: RequestLog
  readonly summary: AdmissionSummary
  /** Monotonic time of the latest refusal, in milliseconds. */
  refusedAt: number
  /** Whether the leader is being asked for an allotment. */
  isAsking: boolean
  /** Monotonic time at which the leader last had nothing to allot, in milliseconds. */
  deniedAt: number
  /** Position in the evenly distributed sequence that selects the requests to admit. */
  position: number
  /** Rounding of this host's part of the limit, from 0 to 1. */
  readonly rounding: number
}

interface AccountDecision extends QuotaShare {
  readonly own: AccountCount
  readonly limit: WindowLimit
  readonly accountSums: AccountSums | undefined
  readonly position: number
  readonly isAdmitted: boolean
}

/**
 * Creates quotas without any use.
 * @param clock - source of time
 * @param logger - receives an event when the limit of an account begins to be used up
 * @param bounds - returns the tolerances
 * @param host - differs between hosts, so that their roundings do
 * @param holder - identifies this process start to the leader
 * @returns the quotas
 */
export function createAccountQuotas (clock: Clock, logger: Logger, bounds: () => QuotaBounds, host: string, holder = host): AccountQuotas {
  const states = new Map<string, AccountState>()
  // By name of the account. Not the objects of the messages: these have further properties, and names are the operator's choice.
  let sums: AccountCounts = new Map()
  let previousSums: AccountCounts = new Map()
  let reportedUse: AccountCounts = new Map()
  // Gateways whose use the sums contain.
  let gateways: number | undefined
  let receivedAt = -Infinity
  // Times at which the host described its use: the latest, and the one that the sums contain.
  let describedAt = -Infinity
  let reportedAt = -Infinity
  let intervalMs: number | undefined
  let meanLevel: number | undefined
  let incompleteSince = Infinity
  let nextReportAt = -Infinity
  // The leadership of the last sums.
  let leadership: string | undefined
  let earlier: ReceivedSums | undefined
  // Whether the leader names allotments; one of an earlier version of the program does not.
  let isAllotting = false
  // By name of the account.
  let allotments = new Map<string, number>()
  // Monotonic time at which a call to the leader has last ended without an answer, in milliseconds.
  let unansweredAt = -Infinity
  let isReporting = false
  let sequence = 0
  const exchanged = createCondition()

  function createState (name: string): AccountState {
    const rounding = computeRounding(name, host)
    return { requests: createRequestLog(), summary: createAdmissionSummary(), refusedAt: -Infinity, isAsking: false, deniedAt: -Infinity, position: rounding, rounding }
  }

  function findState (name: string): AccountState {
    const known = states.get(name)
    if (known !== undefined) return known
    const state = createState(name)
    states.set(name, state)
    return state
  }

  function decide ({ name, ratePerSecond, burst }: ClientAccount, state: AccountState, now: number): AccountDecision {
    const own = describeOwn(name, state, now)
    const limit = createWindowLimit(ratePerSecond, burst, bounds())
    const accountSums = findSums(name, limit, state)
    const share = decideQuota({ own, sums: accountSums, gateways, rounding: state.rounding }, limit, bounds())
    const position = (state.position + sequenceStep) % 1
    return { own, limit, accountSums, ...share, position, isAdmitted: position < share.admittedShare }
  }

  function previousDemand (name: string): number | undefined {
    const count = previousSums.get(name)
    return count === undefined ? undefined : count.recent + count.refused
  }

  function findSums (name: string, limit: WindowLimit, { requests }: AccountState): AccountSums | undefined {
    if (receivedAt === -Infinity) return undefined
    return {
      count: sums.get(name) ?? assumeUnlisted(limit),
      isListed: sums.has(name),
      reported: reportedUse.get(name) ?? readCount([]),
      previousDemand: previousDemand(name),
      ownSince: requests.countAfter(reportedAt),
      ageMs: clock.now() - receivedAt,
      intervalMs: intervalMs ?? assumedIntervalMs,
      isUnanswered: unansweredAt >= receivedAt,
      isAllotting,
      allotment: findAllotment(name)
    }
  }

  // A leader that lists an account without an allotment for this host allots nothing.
  function findAllotment (name: string): number | undefined {
    return allotments.get(name) ?? (sums.has(name) ? 0 : undefined)
  }

  function describeOwn (name: string, { requests }: AccountState, now: number): AccountCount {
    const count = requests.count(now, bounds().windowMs)
    return { ...count, committed: Math.max(count.admitted, allotments.get(name) ?? 0) }
  }

  function isAsking (): boolean {
    for (const state of states.values()) if (state.isAsking) return true
    return false
  }

  function endReport (): void {
    isReporting = false
    exchanged.notify()
  }

  // After a denial, only the next sums can show that there is room.
  function canAsk ({ deniedAt }: AccountState): boolean {
    return deniedAt < receivedAt
  }

  return {
    exchanged,
    get sequence () { return sequence },
    admit (account, mayWait = false) {
      if (account === undefined || account.ratePerSecond <= 0) return unlimited
      const now = clock.now()
      const state = findState(account.name)
      const { own, limit, accountSums, admittedShare, retryMs, mayAsk, position, isAdmitted } = decide(account, state, now)
      if (!isAdmitted && mayWait && mayAsk && canAsk(state)) return { isAdmitted, retryMs, isUndecided: true }
      state.position = position
      state.requests.add(now, isAdmitted)
      state.summary.add(now, { isAdmitted, used: accountSums?.count.admitted, ageMs: accountSums?.ageMs, retryMs: isAdmitted ? 0 : retryMs, limit: limit.limit })
      if (isAdmitted) return { isAdmitted, retryMs: 0, countedAt: now }
      // One event for each time that the account is limited: with an event for each request, a busy account would fill the log.
      if (now - state.refusedAt > bounds().windowMs) {
        logger.write(LogEvents.accountLimited, { detail: account.name, value: Math.round(limit.limit), inputs: { used: accountSums?.count.admitted ?? -1, own: own.admitted, ageMs: Math.round(accountSums?.ageMs ?? -1), admittedShare, gateways: gateways ?? 0 } })
      }
      state.refusedAt = now
      return { isAdmitted, retryMs }
    },
    preview (account) {
      if (account.ratePerSecond <= 0) return undefined
      const state = states.get(account.name) ?? createState(account.name)
      const { limit, accountSums, admittedShare, retryMs, mayAsk, isAdmitted: isAdmittedHere } = decide(account, state, clock.now())
      const isAdmitted = isAdmittedHere || (mayAsk && canAsk(state))
      return { isAdmitted, admittedShare, retryMs: isAdmitted ? 0 : retryMs, limit: limit.limit, used: accountSums?.count.admitted, ageMs: accountSums?.ageMs }
    },
    release (account, { countedAt }) {
      if (account !== undefined && countedAt !== undefined) states.get(account.name)?.requests.remove(countedAt)
    },
    describeRequest (account) {
      const state = findState(account.name)
      if (isReporting || state.isAsking) return undefined
      state.isAsking = true
      sequence++
      return { holder, sequence, account: account.name, use: describeCount(describeOwn(account.name, state, clock.now())), wanted: 1 }
    },
    applyAllotment ({ account }, response) {
      const state = findState(account)
      const now = clock.now()
      state.isAsking = false
      if (response === undefined) unansweredAt = now
      if (response?.allotment !== undefined) allotments.set(account, response.allotment)
      if (state.requests.count(now, bounds().windowMs).admitted >= (response?.allotment ?? 0)) state.deniedAt = now
      exchanged.notify()
    },
    async prepareReport (signal) {
      if (clock.now() < nextReportAt) return
      isReporting = true
      while (isAsking() && !signal.aborted) await exchanged.wait(maxExchangeMs, signal)
    },
    cancelReport () {
      unansweredAt = clock.now()
      endReport()
    },
    describeUse () {
      const now = clock.now()
      // A report beside a request for an allotment would reach the leader without what it has just named.
      if (now < nextReportAt || isAsking()) return undefined
      const use = new Map<string, number[]>()
      describedAt = now
      isReporting = true
      sequence++
      for (const [name, state] of states) {
        const { summary, refusedAt } = state
        const figures = summary.take(now)
        if (figures !== undefined) logger.write(LogEvents.accountAdmissions, { detail: name, value: figures.admitted, inputs: { ...figures } })
        const count = describeOwn(name, state, now)
        if (count.committed > 0 || count.refused > 0) use.set(name, describeCount(count))
        else if (now - refusedAt > bounds().windowMs) states.delete(name)
      }
      nextReportAt = now + Math.max(minReportIntervalMs, reportIntervalPerAccountMs * (use.size + sums.size))
      return Object.fromEntries(use)
    },
    describeEarlierUse () {
      const now = clock.now()
      // The next report may reach another leader.
      if (leadership !== undefined && now - receivedAt > (intervalMs ?? assumedIntervalMs)) earlier = { leadership, sums, reportedUse, receivedAt }
      if (earlier === undefined || now - earlier.receivedAt >= bounds().windowMs) return undefined
      const use = new Map<string, readonly [number, number]>()
      for (const [name, { committed }] of earlier.sums) use.set(name, [committed, earlier.reportedUse.get(name)?.committed ?? 0])
      return { leadership: earlier.leadership, ageMs: now - earlier.receivedAt, use: Object.fromEntries(use) }
    },
    applyTotals ({ accountUse: use, gateways: newGateways, accountLevel, leadership: newLeadership, allotments: newAllotments }, reported, earlierUse) {
      if (reported !== undefined) endReport()
      if (use === undefined || newGateways === undefined) return
      const now = clock.now()
      // The sums of a new leader lack what its predecessor knew until this host has reported that.
      if (leadership !== undefined && newLeadership !== leadership && earlierUse === undefined && now - receivedAt < bounds().windowMs) {
        earlier = { leadership, sums, reportedUse, receivedAt }
        return
      }
      earlier = undefined
      const isComplete = newGateways >= (gateways ?? 0) * minReporterShare
      incompleteSince = isComplete ? Infinity : Math.min(incompleteSince, now)
      if (now - incompleteSince < believedAfterMs && !isComplete) return
      incompleteSince = Infinity
      if (receivedAt !== -Infinity) intervalMs = (intervalMs ?? now - receivedAt) * (1 - intervalSmoothingFactor) + (now - receivedAt) * intervalSmoothingFactor
      previousSums = sums
      sums = readCounts(use)
      meanLevel = accountLevel
      reportedUse = readCounts(reported ?? {})
      gateways = newGateways
      leadership = newLeadership
      receivedAt = now
      reportedAt = describedAt
      isAllotting = newAllotments !== undefined
      allotments = new Map(Object.entries(newAllotments ?? {}))
    },
    getLevel (account) {
      const used = account === undefined ? undefined : sums.get(account.name)
      if (account === undefined || account.ratePerSecond <= 0 || used === undefined) return { level: undefined, meanLevel }
      const { limit } = createWindowLimit(account.ratePerSecond, account.burst, bounds())
      return { level: computeLevel(used, limit, bounds().windowMs), meanLevel }
    }
  }
}

function readCounts (use: AccountUse): AccountCounts {
  return new Map(Object.entries(use).map(([name, numbers]) => [name, readCount(numbers)]))
}

function computeRounding (account: string, host: string): number {
  return createHash('sha256').update(`${host}\n${account}`).digest().readUInt32BE(0) / 2 ** 32
}
