/**
 * Decides which client accounts give way when the places at the backend servers are short: which live requests may queue and wait, and in
 * which order items start.
 *
 * Load pattern: an account that sends several times its usual rate, or a loss of servers, fills the servers. Whoever sends the most then finds
 * the most of the places that become free, and requests of the other accounts are refused in proportion to the traffic of the busy one. An
 * account's share is in proportion to its limit. The requests within the share compete as before; those beyond it leave a part of all places free and are
 * refused at once where that is not possible, so that the others find places. Priorities come before shares.
 * @module
 */
import { type AccountCount, recentMs } from './accountLimit.ts'
import { type ItemUrgency, orderByUrgency } from './batchPlan.ts'

/** Live requests that may queue at a backend server beyond its slots; with 8 slots and responses of about 0.7 s, each waits about 90 ms. */
export const maxQueuedPerServer = 2

/** Use of a limit, as a multiple of the mean of all accounts, up to which an account is within its share: traffic comes in waves. */
const shareTolerance = 1.25

/** Share of the places at all servers that requests beyond the share of their account leave free: somewhat more than random arrivals take at once. */
const reservedShare = 0.1

/** Weight of the latest rate of an account against its rate in the window: a busy account must be recognized before it has filled its window. */
const recentWeight = 0.5

/** Share of the waiting items that may become late by urgency alone before accounts compete for slots. Near saturation a few always do. */
const maxLateShare = 0.25

/** Use of the limits of accounts, as shares of the limits. */
export interface AccountLevel {
  /** Use of the account's limit by all hosts; undefined if it is not known to be high. */
  readonly level: number | undefined
  /** Use of the limits of all accounts together; undefined if it is not known. */
  readonly meanLevel: number | undefined
}

/** Live request that competes for a place. */
export interface LiveCompetitor extends AccountLevel {
  /** Number of higher priorities that requests of other accounts may have. */
  readonly higherPriorities: number
  /** Number from 0 to 1 that is distributed evenly over the requests of the account. */
  readonly position: number
}

/** Places that a live request may take. */
export interface LivePlaces {
  /** Live requests of all hosts that may queue at a server before this request, beyond the slots of the server. */
  readonly maxQueued: number
  /** Share of the places at all servers of the service that it leaves free. */
  readonly reservedShare: number
  /** Whether it may wait for a place. */
  readonly mayWait: boolean
  /** Whether it exceeds the share of its account. */
  readonly isBeyondShare: boolean
}

/** Places of a request whose account does not matter. */
export const ordinaryPlaces: LivePlaces = { maxQueued: maxQueuedPerServer, reservedShare: 0, mayWait: true, isBeyondShare: false }

const excessPlaces: LivePlaces = { maxQueued: maxQueuedPerServer, reservedShare, mayWait: false, isBeyondShare: true }

/**
 * Computes how much of its limit an account uses. Most accounts have less than one request in `recentMs`, so that the latest rate counts only
 * where it differs from the window by more than chance.
 * @param count - its requests, at all hosts
 * @param limit - its limit in a window
 * @param windowMs - length of the window, in milliseconds
 * @returns the use as a share of the limit
 */
export function computeLevel ({ admitted, recent }: Pick<AccountCount, 'admitted' | 'recent'>, limit: number, windowMs: number): number {
  if (limit <= 0) return 0
  const noise = Math.sqrt(Math.max(1, recent))
  const rise = Math.max(0, (recent - noise) * windowMs / recentMs - admitted)
  const fall = Math.max(0, admitted - (recent + noise) * windowMs / recentMs)
  return (admitted + (rise - fall) * recentWeight / (1 + recentWeight)) / limit
}

/**
 * Decides on the places of a live request.
 * @param competitor - the request
 * @returns the places that it may take
 */
export function decidePlaces ({ higherPriorities, level, meanLevel, position }: LiveCompetitor): LivePlaces {
  const isWithinShare = level === undefined || meanLevel === undefined || level <= meanLevel * shareTolerance
  const sharePart = isWithinShare ? 1 : meanLevel / level
  // A queue place at every server is left to each higher priority. Priorities are relative: where all are equal, all places are used.
  const maxQueued = Math.max(0, maxQueuedPerServer - higherPriorities)
  return { ...(position >= sharePart ? excessPlaces : ordinaryPlaces), maxQueued }
}

/** Places at all servers of a service. */
export interface PlaceSums {
  readonly slots: number
  /** Slots and queue places. */
  readonly places: number
  /** Live requests of all hosts. */
  readonly live: number
}

/**
 * Checks whether a request leaves as many places free as it has to: of the queue places alone, since nobody waits while slots are free.
 * @param request - the places of the request
 * @param sums - places of the service
 * @returns whether it may take a place
 */
export function hasRoom (request: Pick<LivePlaces, 'reservedShare'>, { slots, places, live }: PlaceSums): boolean {
  return request.reservedShare === 0 || live + 1 <= Math.max(slots, places * (1 - request.reservedShare))
}

/** Item that competes for a slot. */
export interface ItemCompetitor extends ItemUrgency {
  /** Client account of its job; undefined if it has none. */
  readonly account: string | undefined
  /** Priority of the account, or else of the route, 0 being the highest. */
  readonly priority: number
}

/** Items that run already. */
export interface RunningItems {
  /** Number of running items by account. */
  readonly byAccount: ReadonlyMap<string, number>
  /** Slots that live requests leave to items on average: those of the moment say little, since the traffic comes in waves. */
  readonly slots: number
}

/**
 * Orders waiting items. While nearly all of them that are not late yet can be on time by urgency alone, that is their order: to put back the items
 * of an account would make more of them late than it helps. Otherwise items that can still be on time come before the late ones; then the
 * higher priority; then items within the share of their account before those beyond it; then urgency counts. The slots are shared evenly by the
 * accounts that have items. Without any account, only urgency counts.
 * @param items - the waiting items
 * @param running - the running items
 * @returns the items, those to start first at the beginning
 */
export function orderByCompetition (items: readonly ItemCompetitor[], { byAccount, slots }: RunningItems): ItemCompetitor[] {
  const urgent = orderByUrgency(items) as ItemCompetitor[]
  const accounts = new Set(byAccount.keys())
  for (const { account } of items) if (account !== undefined) accounts.add(account)
  // Without accounts, route priorities do not count either: a route never lets another one's items become late.
  if (accounts.size === 0 || countLateByUrgency(urgent, { byAccount, slots }) <= urgent.length * maxLateShare) return urgent
  const share = Math.max(1, slots / accounts.size)
  const taken = new Map(byAccount)
  const ranked: Array<{ readonly item: ItemCompetitor, readonly isLate: boolean, readonly isBeyondShare: boolean }> = []
  // Items of a higher priority take the share of their account first.
  for (const item of sortByPriority(urgent)) {
    const count = item.account === undefined ? 0 : taken.get(item.account) ?? 0
    if (item.account !== undefined) taken.set(item.account, count + 1)
    ranked.push({ item, isLate: item.dueInMs <= item.remainingMs, isBeyondShare: count + 1 > share })
  }
  // The sort is stable, so equal ranks keep the order by urgency.
  ranked.sort((left, right) => Number(left.isLate) - Number(right.isLate) || left.item.priority - right.item.priority || Number(left.isBeyondShare) - Number(right.isBeyondShare))
  return ranked.map(({ item }) => item)
}

// Each item waits until those before it have passed through the slots, and for half of the usual run time of the running ones on average.
function countLateByUrgency (urgent: readonly ItemCompetitor[], { byAccount, slots }: RunningItems): number {
  if (slots === 0) return urgent.length
  let totalMs = 0
  for (const { remainingMs } of urgent) totalMs += remainingMs
  let running = 0
  for (const count of byAccount.values()) running += count
  let waitMs = running / slots * totalMs / Math.max(1, urgent.length) / 2
  let late = 0
  for (const { dueInMs, remainingMs } of urgent) {
    // An item that is late already waits behind all others, and no order brings it back in time.
    if (remainingMs >= dueInMs) continue
    if (waitMs + remainingMs > dueInMs) late++
    waitMs += remainingMs / slots
  }
  return late
}

function sortByPriority (items: readonly ItemCompetitor[]): ItemCompetitor[] {
  return [...items].sort((left, right) => left.priority - right.priority)
}
