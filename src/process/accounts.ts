/**
 * Live limits of one entry host, for each pool and account.
 * @module
 */
import type { Pool } from '../version/tables.ts'
import { type Condition, createCondition } from './condition.ts'

/** Live requests of one pool. */
export interface PoolLoad {
  running: number
  waiting: number
  readonly byAccount: Map<string, number>
  /** Notified when a request ends. */
  readonly ended: Condition
}

/** Live requests of all pools. */
export interface Accounts {
  /**
   * Finds the load of a pool.
   * @param pool - the pool
   * @returns its load
   */
  loadOf (pool: Pool): PoolLoad
}

/**
 * Creates limits without load.
 * @returns the limits
 */
export function createAccounts (): Accounts {
  const loads = new Map<string, PoolLoad>()
  return {
    loadOf (pool) {
      const present = loads.get(pool.name)
      if (present !== undefined) return present
      const created: PoolLoad = { running: 0, waiting: 0, byAccount: new Map(), ended: createCondition() }
      loads.set(pool.name, created)
      return created
    }
  }
}
