/**
 * Schemas of the routes and pools tables, which operators edit under one version number.
 * @module
 */
import * as z from 'zod'

/** Protocol of the backend servers of a pool. */
export const ProtocolKind = { Engine: 'engine', Service: 'service' } as const
export type ProtocolKind = typeof ProtocolKind[keyof typeof ProtocolKind]

/** Whether a pool favours live tail latency or batch throughput. */
export const PreferenceKind = { Latency: 'latency', Throughput: 'throughput' } as const
export type PreferenceKind = typeof PreferenceKind[keyof typeof PreferenceKind]

/** Whether the backend servers of a pool check the fencing number of an order. */
export const Fencing = { Checked: 'checked', Ignored: 'ignored' } as const
export type Fencing = typeof Fencing[keyof typeof Fencing]

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits and hyphens')
const durationMs = z.number().int().min(1).max(3_600_000)

/** Schema of a route. */
export const routeSchema = z.strictObject({
  name,
  pool: name,
  idempotent: z.boolean().default(true),
  /** Upper limit of the deadline of a request, and its default, in milliseconds. */
  deadlineMs: durationMs.default(60_000),
  /** Longest time to the first byte of a response, in milliseconds. */
  firstByteMs: durationMs.default(10_000),
  /** Longest time between two bytes of a response, in milliseconds. */
  betweenBytesMs: durationMs.default(5_000)
})
/** Row of the routes table. */
export type Route = z.infer<typeof routeSchema>

/** Schema of a pool. */
export const poolSchema = z.strictObject({
  name,
  protocol: z.enum(ProtocolKind).default(ProtocolKind.Engine),
  preference: z.enum(PreferenceKind).default(PreferenceKind.Latency),
  fencing: z.enum(Fencing).default(Fencing.Checked),
  models: z.array(z.string()).default([]),
  /** Maximum number of live requests of the pool that one entry host runs concurrently. */
  liveConcurrency: z.number().int().min(1).max(100_000).default(256),
  /** Maximum number of live requests of the pool that wait on one entry host. */
  liveWaiting: z.number().int().min(0).max(100_000).default(512),
  /** Maximum number of live requests of one account that run or wait on one entry host. */
  accountConcurrency: z.number().int().min(1).max(100_000).default(64),
  /** Maximum number of batch items in flight on one backend server. */
  batchConcurrency: z.number().int().min(0).max(10_000).default(8),
  /** Maximum rate at which batch work of the pool may send between regions from one entry host, in bytes per second. */
  batchBytesAcrossRegions: z.number().int().min(0).default(50_000)
})
/** Row of the pools table. */
export type Pool = z.infer<typeof poolSchema>

/** Schema of both tables. */
export const tablesSchema = z.strictObject({
  routes: z.array(routeSchema),
  pools: z.array(poolSchema)
})
/** Both tables. */
export type Tables = z.infer<typeof tablesSchema>

/** Names of the tables. */
export const TableName = { Routes: 'routes', Pools: 'pools' } as const
export type TableName = typeof TableName[keyof typeof TableName]

/** Both tables with their version number. */
export interface Configuration extends Tables {
  /** Incremented by each accepted change; 0 before the first. */
  readonly version: number
}

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = { version: 0, routes: [], pools: [] }

/**
 * Finds a route.
 * @param configuration - the configuration
 * @param routeName - name of the route
 * @returns the route, or undefined when it does not exist
 */
export function findRoute (configuration: Configuration, routeName: string): Route | undefined {
  for (const route of configuration.routes) {
    if (route.name === routeName) return route
  }
  return undefined
}

/**
 * Finds a pool.
 * @param configuration - the configuration
 * @param poolName - name of the pool
 * @returns the pool, or undefined when it does not exist
 */
export function findPool (configuration: Configuration, poolName: string): Pool | undefined {
  for (const pool of configuration.pools) {
    if (pool.name === poolName) return pool
  }
  return undefined
}
