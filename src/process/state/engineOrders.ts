/**
 * Decides which engines are ordered to load a model: those that do not announce a model of their pool.
 * @module
 */
import { Fencing, type Pool } from '../../version/tables.ts'
import type { Announcement } from '../../connection/share.ts'
import { sessionTimeoutMs } from './sessions.ts'

/** Timeout of one order, in milliseconds. */
export const orderTimeoutMs = 1_000

/**
 * Delay before the first order of a new issuer when engines ignore the fencing number, in milliseconds. The previous
 * issuer sends nothing after its session has expired, and its last order ends within one order timeout. The remaining
 * two seconds allow for clock drift.
 */
export const takeoverDelayMs = sessionTimeoutMs + orderTimeoutMs + 2_000

/** Maximum number of concurrent model loads in one pool, limited by the throughput of the weight store. */
export const concurrentLoadLimit = 2

/** Time after which a load that was not announced counts as failed and is ordered again, in milliseconds. */
export const loadTimeoutMs = 600_000

/** An order to load a model. */
export interface LoadOrder {
  readonly backendServer: string
  readonly incarnation: string
  readonly model: string
}

/** A load that was ordered and has not been announced yet. */
export interface LoadInProgress extends LoadOrder {
  /** Monotonic time of the order, in milliseconds. */
  readonly orderedAt: number
}

/** State on which a decision is based. */
export interface OrderDecisionInputs {
  readonly pool: Pool
  readonly announcements: readonly Announcement[]
  readonly underWay: readonly LoadInProgress[]
  /** Monotonic time in milliseconds. */
  readonly now: number
}

/** Result of a decision. */
export interface OrderDecision {
  /** Loads that are still in progress. */
  readonly underWay: readonly LoadInProgress[]
  readonly orders: readonly LoadOrder[]
}

/**
 * Decides which orders to send. Engines are processed by address, so a new issuer starts with the engines that the
 * previous issuer has already ordered.
 * @param inputs - the pool, its engines and the loads in progress
 * @returns the loads that are still in progress and the orders to send
 */
export function decideOrders (inputs: OrderDecisionInputs): OrderDecision {
  const { pool, now } = inputs
  const engines = inputs.announcements.filter(engine => engine.pool === pool.name && !engine.leaving)
  const underWay = inputs.underWay.filter(load => now - load.orderedAt < loadTimeoutMs && engines.some(engine => isUnfulfilled(engine, load)))
  const orders: LoadOrder[] = []
  for (const engine of engines.sort((left, right) => left.address < right.address ? -1 : 1)) {
    for (const model of pool.models) {
      const order: LoadOrder = { backendServer: engine.address, incarnation: engine.incarnation, model }
      if (!isUnfulfilled(engine, order) || underWay.some(load => isSameOrder(load, order))) continue
      if (underWay.length + orders.length >= concurrentLoadLimit) return { underWay, orders }
      orders.push(order)
    }
  }
  return { underWay, orders }
}

function isUnfulfilled (engine: Announcement, order: LoadOrder): boolean {
  return engine.address === order.backendServer && engine.incarnation === order.incarnation && !engine.models.includes(order.model)
}

function isSameOrder (left: LoadOrder, right: LoadOrder): boolean {
  return left.backendServer === right.backendServer && left.incarnation === right.incarnation && left.model === right.model
}

/**
 * Computes how long a new issuer waits before its first order.
 * @param pool - the pool
 * @param announcements - the announced engines
 * @param number - fencing number of the new issuer
 * @returns milliseconds; 0 if every engine checks the fencing number or there was no previous issuer
 */
export function computeTakeoverDelayMs (pool: Pool, announcements: readonly Announcement[], number: number): number {
  if (number === 1) return 0
  const isFencingIgnored = pool.fencing === Fencing.Ignored || announcements.some(engine => engine.pool === pool.name && !engine.fencingChecked)
  return isFencingIgnored ? takeoverDelayMs : 0
}
