/**
 * The two tables that operators edit, under one version number.
 * @module
 */
import * as z from 'zod'

/** How a pool's backend servers are spoken to. */
export const ProtocolKind = { Engine: 'engine', Service: 'service' } as const
export type ProtocolKind = typeof ProtocolKind[keyof typeof ProtocolKind]

/** What a pool weighs higher: the live tail latency or the batch throughput. */
export const PreferenceKind = { Latency: 'latency', Throughput: 'throughput' } as const
export type PreferenceKind = typeof PreferenceKind[keyof typeof PreferenceKind]

/** Whether a pool's backend servers check the fencing number of an order. */
export const Fencing = { Checked: 'checked', Ignored: 'ignored' } as const
export type Fencing = typeof Fencing[keyof typeof Fencing]

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits and hyphens')
const duration = z.number().int().min(1).max(3_600_000)

/** Schema of a route. */
export const routeSchema = z.strictObject({
  name,
  pool: name,
  idempotent: z.boolean().default(true),
  /** Longest time for a request without a deadline of its own, in milliseconds. */
  deadlineMs: duration.default(60_000),
  firstByteMs: duration.default(10_000),
  betweenBytesMs: duration.default(5_000)
})
/** One row of the routes table. */
export type Route = z.infer<typeof routeSchema>

/** Schema of a pool. */
export const poolSchema = z.strictObject({
  name,
  protocol: z.enum(ProtocolKind).default(ProtocolKind.Engine),
  preference: z.enum(PreferenceKind).default(PreferenceKind.Latency),
  fencing: z.enum(Fencing).default(Fencing.Checked),
  models: z.array(z.string()).default([]),
  /** Live requests that one entry host runs at once in this pool. */
  liveConcurrency: z.number().int().min(1).max(100_000).default(256),
  /** Live requests that wait at one entry host for this pool. */
  liveWaiting: z.number().int().min(0).max(100_000).default(512),
  /** Live requests that one account runs or has waiting at one entry host. */
  accountConcurrency: z.number().int().min(1).max(100_000).default(64),
  /** Batch items in flight on one backend server. */
  batchConcurrency: z.number().int().min(0).max(10_000).default(8),
  /** Bytes a second that batch work of this pool may send between regions from one entry host. */
  batchBytesAcrossRegions: z.number().int().min(0).default(50_000)
})
/** One row of the pools table. */
export type Pool = z.infer<typeof poolSchema>

/** Schema of both tables. */
export const tablesSchema = z.strictObject({
  routes: z.array(routeSchema),
  pools: z.array(poolSchema)
})
/** Both tables. */
export type Tables = z.infer<typeof tablesSchema>

/** Which of the two tables. */
export const TableName = { Routes: 'routes', Pools: 'pools' } as const
export type TableName = typeof TableName[keyof typeof TableName]

/** Both tables under their version number. */
export interface Configuration extends Tables {
  /** Grows by one with each accepted change; 0 before the first. */
  readonly version: number
}

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = { version: 0, routes: [], pools: [] }

/**
 * Finds a route.
 * @param configuration - where to look
 * @param routeName - its name
 * @returns the route, if there is one
 */
export function findRoute (configuration: Configuration, routeName: string): Route | undefined {
  for (const route of configuration.routes) {
    if (route.name === routeName) return route
  }
  return undefined
}

/**
 * Finds a pool.
 * @param configuration - where to look
 * @param poolName - its name
 * @returns the pool, if there is one
 */
export function findPool (configuration: Configuration, poolName: string): Pool | undefined {
  for (const pool of configuration.pools) {
    if (pool.name === poolName) return pool
  }
  return undefined
}
