/**
 * Decides which engines are ordered to load a model. The pools table says what each pool needs, announcements say what
 * each engine has.
 * @module
 */
import { Fencing, type Pool } from '../../version/tables.ts'
import type { Announcement } from '../../connection/share.ts'
import { sessionTimeoutMs } from './sessions.ts'

/** Longest time for one order, in milliseconds. */
export const orderTimeoutMs = 1_000

/**
 * Wait of a new issuer where engines ignore the fencing number, in milliseconds. The old issuer sends nothing once its
 * session has expired, and its last order is given up after the limit of one order; the rest is for clocks that differ.
 */
export const takeoverDelayMs = sessionTimeoutMs + orderTimeoutMs + 2_000

/** Loads under way at once in one pool, so that they keep to the rate of the weight store. */
export const concurrentLoadLimit = 2

/** Time after which a load that was never announced counts as failed and is ordered again, in milliseconds. */
export const loadTimeoutMs = 600_000

/** An order to load a model. */
export interface LoadOrder {
  readonly backendServer: string
  readonly incarnation: string
  readonly model: string
}

/** A load that was ordered and is not announced yet. */
export interface LoadInProgress extends LoadOrder {
  /** Monotonic time of the order, in milliseconds. */
  readonly orderedAt: number
}

/** What the decision depends on. */
export interface OrderQuestion {
  readonly pool: Pool
  readonly announcements: readonly Announcement[]
  readonly underWay: readonly LoadInProgress[]
  /** Monotonic time in milliseconds. */
  readonly now: number
}

/** The decision. */
export interface OrderDecision {
  /** Loads that still count. */
  readonly underWay: readonly LoadInProgress[]
  readonly orders: readonly LoadOrder[]
}

/**
 * Decides on orders. Engines come by address, so that a new issuer begins with those that the old one has ordered.
 * @param question - what the decision depends on
 * @returns the loads that still count and the orders to send
 */
export function decideOrders (question: OrderQuestion): OrderDecision {
  const { pool, now } = question
  const engines = question.announcements.filter(engine => engine.pool === pool.name && !engine.leaving)
  const underWay = question.underWay.filter(load => now - load.orderedAt < loadTimeoutMs && engines.some(engine => isLacking(engine, load)))
  const orders: LoadOrder[] = []
  for (const engine of engines.sort((left, right) => left.address < right.address ? -1 : 1)) {
    for (const model of pool.models) {
      const order: LoadOrder = { backendServer: engine.address, incarnation: engine.incarnation, model }
      if (!isLacking(engine, order) || underWay.some(load => isSame(load, order))) continue
      if (underWay.length + orders.length >= concurrentLoadLimit) return { underWay, orders }
      orders.push(order)
    }
  }
  return { underWay, orders }
}

function isLacking (engine: Announcement, order: LoadOrder): boolean {
  return engine.address === order.backendServer && engine.incarnation === order.incarnation && !engine.models.includes(order.model)
}

function isSame (left: LoadOrder, right: LoadOrder): boolean {
  return left.backendServer === right.backendServer && left.incarnation === right.incarnation && left.model === right.model
}

/**
 * Tells how long a new issuer waits before its first order.
 * @param pool - the pool
 * @param announcements - its engines
 * @param number - the fencing number of the new issuer
 * @returns milliseconds; 0 where every engine checks the number, or where nobody issued before
 */
export function computeTakeoverDelayMs (pool: Pool, announcements: readonly Announcement[], number: number): number {
  if (number === 1) return 0
  const ignored = pool.fencing === Fencing.Ignored || announcements.some(engine => engine.pool === pool.name && !engine.fencingChecked)
  return ignored ? takeoverDelayMs : 0
}
