/**
 * Sums of the use of client accounts over all hosts, at the leader. They are kept in memory: a new leader rebuilds them from one round of
 * reports.
 * @module
 */
import { type AccountCount, createWindowLimit, isNearLimit, type QuotaBounds } from '../../request/placement/accountQuota.ts'
import type { ClientAccount } from '../../version/accounts.ts'
import { type AccountUse, describeCount, readCount } from './accountQuotas.ts'

/** Minimum interval between two selections of the accounts near their limits, in milliseconds. With hundreds of hosts, a report arrives every few milliseconds. */
const selectionIntervalMs = 40

/** Windows for which the use of a host without contact counts: the host may continue to accept as many requests for as long as it accepts keys. */
const lostHostWindows = 2

/** Share of the window, at its end, in which requests from before this leader are taken to leave it evenly. */
const earlierDecayShare = 2 / 3

/** Sums in the response to a load report. */
export interface AccountTotals {
  /** Use of the accounts near their limits, by all hosts; undefined if the report had none. */
  readonly accountUse?: AccountUse | undefined
  /** Number of gateways whose use the leader has; undefined where `accountUse` is. */
  readonly gateways?: number | undefined
  /** Use of the limited accounts with requests in the window together, as a share of their limits; undefined where `accountUse` is. */
  readonly accountLevel?: number | undefined
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

/** Decimal places of the level in messages. */
const levelDigits = 3

/** Sums over all hosts. */
export interface AccountUseSums {
  /**
   * Replaces the use of a host.
   * @param holder - identifies the host's process start
   * @param use - what the host reports
   */
  record (holder: string, use: AccountUse): void
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

interface RetiredUse {
  readonly since: number
  readonly windows: number
}

/**
 * Creates empty sums.
 * @returns the sums
 */
export function createAccountUseSums (): AccountUseSums {
  const useByHolder = new Map<string, AccountUse>()
  const retired = new Map<string, RetiredUse>()
  // Changed by the difference of each report, as the sums of the load are.
  const sums = new Map<string, AccountCount>()
  const earlierCounts = new Map<string, EarlierCount>()
  const earlierHolders = new Set<string>()
  let selection: AccountTotals = {}
  let selectedAt = -Infinity

  function add (use: AccountUse, sign: 1 | -1): void {
    for (const [name, numbers] of Object.entries(use)) {
      const sum = sums.get(name) ?? readCount([])
      const { admitted, recent, ending, refused } = readCount(numbers)
      const changed = { admitted: sum.admitted + sign * admitted, recent: sum.recent + sign * recent, ending: sum.ending + sign * ending, refused: sum.refused + sign * refused }
      if (changed.admitted > 0 || changed.refused > 0) sums.set(name, changed)
      else sums.delete(name)
    }
  }

  function replace (holder: string, use: AccountUse | undefined): void {
    add(useByHolder.get(holder) ?? {}, -1)
    if (use === undefined) useByHolder.delete(holder)
    else useByHolder.set(holder, use)
    add(use ?? {}, 1)
  }

  function removeExpired (windowMs: number, now: number): void {
    for (const [holder, { since, windows }] of retired) {
      if (now - since <= windowMs * windows) continue
      retired.delete(holder)
      replace(holder, undefined)
    }
  }

  // Requests admitted before this leader by hosts that have not reported their use to it.
  function countUnreported (name: string, windowMs: number, now: number): number {
    const earlier = earlierCounts.get(name)
    if (earlier === undefined || now >= earlier.until) return 0
    return Math.ceil(Math.max(0, earlier.total - earlier.known) * Math.min(1, (earlier.until - now) / (windowMs * earlierDecayShare)))
  }

  function select (accounts: readonly ClientAccount[], bounds: QuotaBounds, now: number): AccountTotals {
    const near = new Map<string, readonly number[]>()
    let used = 0
    let limits = 0
    for (const { name, ratePerSecond, burst } of accounts) {
      if (ratePerSecond <= 0) continue
      const unreported = countUnreported(name, bounds.windowMs, now)
      const reported = sums.get(name)
      if (reported === undefined && unreported === 0) continue
      const count = { ...reported ?? readCount([]), admitted: unreported + (reported?.admitted ?? 0) }
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

  return {
    record (holder, use) {
      retired.delete(holder)
      replace(holder, use)
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
      retired.set(holder, { since: now, windows: isRestarted ? 1 : lostHostWindows })
      // What it sent most recently says nothing about what comes next.
      replace(holder, Object.fromEntries(Object.entries(use).map(([name, numbers]) => [name, [readCount(numbers).admitted]])))
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
      selection = {}
      selectedAt = -Infinity
    }
  }
}
