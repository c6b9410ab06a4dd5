/**
 * Sums of the use of client accounts over all hosts, at the leader. They are kept in memory: a new leader rebuilds them from one round of
 * reports.
 * @module
 */
import { decideAllotment } from '../../request/placement/accountAllotment.ts'
import { type AccountCount, computeUnboundPart, createWindowLimit, isNearLimit, type QuotaBounds } from '../../request/placement/accountLimit.ts'
import type { ClientAccount } from '../../version/accounts.ts'
import { type AccountUse, type AllotmentRequest, describeCount, readCount } from './accountUse.ts'

/** Minimum interval between two selections of the accounts near their limits, in milliseconds. With hundreds of hosts, a report arrives every few milliseconds. */
const selectionIntervalMs = 40

/** Windows for which the use of a host without contact counts: the host may continue to accept as many requests for as long as it accepts keys. */
const lostHostWindows = 2

/**
 * Time from the first report to a leader until it describes sums, in milliseconds: until then, it lacks what most hosts have admitted, and hosts keep
 * to what the leader before has named.
 */
const settlingMs = 600

/** Sums in the response to a load report. */
export interface AccountTotals {
  /** Use of the accounts near their limits, by all hosts; undefined if the report had none. */
  readonly accountUse?: AccountUse | undefined
  /** Number of gateways whose use the leader has; undefined where `accountUse` is. */
  readonly gateways?: number | undefined
  /** Use of the limited accounts with requests in the window together, as a share of their limits; undefined where `accountUse` is. */
  readonly accountLevel?: number | undefined
  /**
   * Requests that the reporting host may have admitted in any window, by name of the account. An account of `accountUse` that is missing has 0, any other has none.
   * Undefined for a leader of an earlier version of the program.
   */
  readonly allotments?: Readonly<Record<string, number>> | undefined
  /** Identifies the leadership under which the sums were made; undefined for a leader of an earlier version of the program. */
  readonly leadership?: string | undefined
}

/** The last sums of an earlier leader, as a host knows them. */
export interface EarlierUse {
  /** The leadership under which they were made. */
  readonly leadership: string
  /** Time since the host received them, in milliseconds. */
  readonly ageMs: number
  /** Requests admitted in the window by name of the account: by all hosts, and by this host as it had reported. */
  readonly use: Readonly<Record<string, readonly [total: number, own: number]>>
}

/** Share of the part of a host without an allotment up to which a host gives its allotment back. */
const unboundUseShare = 0.5

const noRequests = readCount([])

/** Decimal places of the level in messages. */
const levelDigits = 3

/** Sums over all hosts. */
export interface AccountUseSums {
  /**
   * Replaces the use of a host.
   * @param holder - identifies the host's process start
   * @param use - what the host reports
   * @param sequence - number of the report; an outdated one is ignored
   */
  record (holder: string, use: AccountUse, sequence?: number): void
  /**
   * Adds the last sums of an earlier leader. The part of them that no reporting host has admitted counts for one window: it is that of hosts
   * that have ended, or have not contacted this leader yet.
   * @param holder - identifies the host's process start
   * @param earlier - the sums; only the first ones of a host count
   * @param windowMs - length of the window, in milliseconds
   * @param now - monotonic time in milliseconds
   */
  recordEarlier (holder: string, earlier: EarlierUse, windowMs: number, now: number): void
  /**
   * Keeps the use of a host that reports no more until it has left the window.
   * @param holder - identifies the host's process start
   * @param isRestarted - whether its process has ended for certain
   * @param now - monotonic time in milliseconds
   */
  retire (holder: string, isRestarted: boolean, now: number): void
  /**
   * Describes the sums for the response to a report.
   * @param accounts - accounts of the tables in force; undefined if they have none
   * @param bounds - tolerances
   * @param now - monotonic time in milliseconds
   * @returns the sums of the accounts near their limits
   */
  describe (accounts: readonly ClientAccount[] | undefined, bounds: QuotaBounds, now: number): AccountTotals
  /**
   * Names the allotments of a host for the accounts near their limits.
   * @param holder - identifies the host's process start
   * @param accounts - accounts of the tables in force
   * @param bounds - tolerances
   * @param now - monotonic time in milliseconds
   * @returns the allotments by name of the account; undefined while the leader is new and lacks reports
   */
  allot (holder: string, accounts: readonly ClientAccount[], bounds: QuotaBounds, now: number): Readonly<Record<string, number>> | undefined
  /**
   * Names the allotment for which a host asks.
   * @param request - the request of the host
   * @param account - the account
   * @param bounds - tolerances
   * @param now - monotonic time in milliseconds
   * @returns the allotment; undefined if the host is unknown, or has reported since
   */
  allotRequested (request: AllotmentRequest, account: ClientAccount, bounds: QuotaBounds, now: number): number | undefined
  /** Removes everything. */
  clear (): void
}

/** Requests of an account before this leader. */
interface EarlierCount {
  /** The largest sums that a host has named. */
  total: number
  /** What the hosts that have named sums had admitted. */
  known: number
  /** Monotonic time at which the requests have left the window, in milliseconds. */
  until: number
}

/** Requests of an account at the hosts with an allotment. */
interface BoundUse {
  readonly holders: Set<string>
  /** Requests that may be in a window at most. */
  committed: number
}

interface RetiredUse {
  readonly since: number
  readonly windows: number
}

/**
 * Creates empty sums.
 * @returns the sums
 */
export function createAccountUseSums (): AccountUseSums {
  const useByHolder = new Map<string, Map<string, AccountCount>>()
  const retired = new Map<string, RetiredUse>()
  // Changed by the difference of each report, as the sums of the load are.
  const sums = new Map<string, AccountCount>()
  const earlierCounts = new Map<string, EarlierCount>()
  const earlierHolders = new Set<string>()
  // Hosts with an allotment by name of the account.
  const boundUse = new Map<string, BoundUse>()
  const sequences = new Map<string, number>()
  let settledAt = Infinity
  let selection: AccountTotals = {}
  let selectedAt = -Infinity

  function setCount (holder: string, use: Map<string, AccountCount>, name: string, count: AccountCount | undefined): void {
    const previous = use.get(name) ?? noRequests
    const next = count ?? noRequests
    if (count === undefined) use.delete(name)
    else use.set(name, count)
    const bound = boundUse.get(name)
    if (bound?.holders.has(holder) === true) bound.committed += next.committed - previous.committed
    const sum = sums.get(name) ?? noRequests
    const changed = {
      admitted: sum.admitted + next.admitted - previous.admitted,
      recent: sum.recent + next.recent - previous.recent,
      ending: sum.ending + next.ending - previous.ending,
      refused: sum.refused + next.refused - previous.refused,
      committed: sum.committed + next.committed - previous.committed
    }
    if (changed.committed > 0 || changed.refused > 0) sums.set(name, changed)
    else sums.delete(name)
  }

  function replace (holder: string, use: AccountUse): void {
    const known = useByHolder.get(holder) ?? new Map<string, AccountCount>()
    useByHolder.set(holder, known)
    for (const name of [...known.keys()]) if (!Object.hasOwn(use, name)) setCount(holder, known, name, undefined)
    for (const [name, numbers] of Object.entries(use)) setCount(holder, known, name, readCount(numbers))
  }

  function removeExpired (windowMs: number, now: number): void {
    for (const [holder, { since, windows }] of retired) {
      if (now - since <= windowMs * windows) continue
      retired.delete(holder)
      replace(holder, {})
      useByHolder.delete(holder)
    }
  }

  // Requests admitted before this leader by hosts that have not reported their use to it.
  function countUnreported (name: string, now: number): number {
    const earlier = earlierCounts.get(name)
    if (earlier === undefined || now >= earlier.until) return 0
    return Math.max(0, earlier.total - earlier.known)
  }

  function select (accounts: readonly ClientAccount[], bounds: QuotaBounds, now: number): AccountTotals {
    const near = new Map<string, readonly number[]>()
    let used = 0
    let limits = 0
    for (const { name, ratePerSecond, burst } of accounts) {
      if (ratePerSecond <= 0) continue
      const unreported = countUnreported(name, now)
      const reported = sums.get(name)
      if (reported === undefined && unreported === 0) continue
      const known = reported ?? noRequests
      const count = { ...known, admitted: unreported + known.admitted, committed: unreported + known.committed }
      const limit = createWindowLimit(ratePerSecond, burst, bounds)
      used += count.admitted
      limits += limit.limit
      if (isNearLimit(count, limit)) near.set(name, describeCount(count))
    }
    return { accountUse: Object.fromEntries(near), gateways: countReporters(), accountLevel: limits === 0 ? 0 : Number((used / limits).toFixed(levelDigits)) }
  }

  function countReporters (): number {
    let restarted = 0
    for (const { windows } of retired.values()) if (windows !== lostHostWindows) restarted++
    return useByHolder.size - restarted
  }

  function countOwn (holder: string, name: string): AccountCount {
    return useByHolder.get(holder)?.get(name) ?? noRequests
  }

  function bind (holder: string, name: string): BoundUse {
    const bound = boundUse.get(name) ?? { holders: new Set<string>(), committed: 0 }
    boundUse.set(name, bound)
    if (bound.holders.has(holder)) return bound
    bound.holders.add(holder)
    bound.committed += countOwn(holder, name).committed
    return bound
  }

  function unbind (holder: string, name: string): void {
    const bound = boundUse.get(name)
    if (bound?.holders.delete(holder) !== true) return
    bound.committed -= countOwn(holder, name).committed
    if (bound.holders.size === 0) boundUse.delete(name)
  }

  // Far from the limit, a host that needs no more than the part of one without an allotment gets along with it.
  function needsAllotment (holder: string, { name, ratePerSecond, burst }: ClientAccount, near: AccountUse, bounds: QuotaBounds): boolean {
    if (Object.hasOwn(near, name)) return true
    if (boundUse.get(name)?.holders.has(holder) !== true) return false
    return countOwn(holder, name).admitted > computeUnboundPart(createWindowLimit(ratePerSecond, burst, bounds), countReporters()) * unboundUseShare
  }

  function allotAccount (holder: string, { name, ratePerSecond, burst }: ClientAccount, wanted: number, bounds: QuotaBounds, now: number): number {
    const use = useByHolder.get(holder)
    const own = countOwn(holder, name)
    const bound = bind(holder, name)
    const hosts = countReporters()
    const allotment = decideAllotment({
      own,
      total: sums.get(name) ?? own,
      unreported: countUnreported(name, now),
      bound,
      unboundHosts: Math.max(0, hosts - bound.holders.size),
      hosts,
      wanted,
      limit: createWindowLimit(ratePerSecond, burst, bounds),
      windowMs: bounds.windowMs
    })
    // Until the host names what it has, it may have either.
    if (use !== undefined && allotment > own.committed) setCount(holder, use, name, { ...own, committed: allotment })
    return allotment
  }

  return {
    record (holder, use, sequence) {
      if (sequence !== undefined) {
        if (sequence < (sequences.get(holder) ?? 0)) return
        sequences.set(holder, sequence)
      }
      retired.delete(holder)
      replace(holder, use)
    },
    allot (holder, accounts, bounds, now) {
      settledAt = Math.min(settledAt, now + settlingMs)
      if (now < settledAt) return undefined
      const { accountUse: near = {} } = selection
      const allotments = new Map<string, number>()
      for (const account of accounts) {
        if (account.ratePerSecond <= 0) continue
        if (!needsAllotment(holder, account, near, bounds)) {
          unbind(holder, account.name)
          continue
        }
        const allotment = allotAccount(holder, account, 0, bounds, now)
        if (allotment > 0) allotments.set(account.name, allotment)
      }
      return Object.fromEntries(allotments)
    },
    allotRequested ({ holder, sequence, use, wanted }, account, bounds, now) {
      const known = useByHolder.get(holder)
      if (known === undefined || retired.has(holder) || now < settledAt || sequence < (sequences.get(holder) ?? 0)) return undefined
      sequences.set(holder, sequence)
      setCount(holder, known, account.name, readCount(use))
      return allotAccount(holder, account, wanted, bounds, now)
    },
    recordEarlier (holder, { ageMs, use }, windowMs, now) {
      if (earlierHolders.has(holder)) return
      earlierHolders.add(holder)
      for (const [name, [total, own]] of Object.entries(use)) {
        const earlier = earlierCounts.get(name) ?? { total: 0, known: 0, until: -Infinity }
        earlier.total = Math.max(earlier.total, total)
        earlier.known += own
        earlier.until = Math.max(earlier.until, now + windowMs - ageMs)
        earlierCounts.set(name, earlier)
      }
    },
    retire (holder, isRestarted, now) {
      const use = useByHolder.get(holder)
      if (use === undefined) return
      sequences.delete(holder)
      for (const name of [...boundUse.keys()]) unbind(holder, name)
      retired.set(holder, { since: now, windows: isRestarted ? 1 : lostHostWindows })
      for (const [name, count] of use) setCount(holder, use, name, keepCommitted(count))
    },
    describe (accounts, bounds, now) {
      if (accounts === undefined) return {}
      if (now - selectedAt < selectionIntervalMs) return selection
      removeExpired(bounds.windowMs, now)
      selectedAt = now
      selection = select(accounts, bounds, now)
      return selection
    },
    clear () {
      useByHolder.clear()
      retired.clear()
      sums.clear()
      earlierCounts.clear()
      earlierHolders.clear()
      boundUse.clear()
      sequences.clear()
      settledAt = Infinity
      selection = {}
      selectedAt = -Infinity
    }
  }
}

// What a host sent most recently says nothing about what comes after its end.
function keepCommitted ({ admitted, committed }: AccountCount): AccountCount {
  return { admitted, recent: 0, ending: 0, refused: 0, committed }
}
