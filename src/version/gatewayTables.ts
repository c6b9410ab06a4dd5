/**
 * Tables of the gateway: the service for each host and path, and the retry policy of each route. Operators publish the
 * routes and services tables together under a version number of their choice; the highest version is active.
 * @module
 */
import type { ClientAccount } from './accounts.ts'
import type { Problem } from './validation.ts'

/** Kinds of route: whether its requests may be retried, and how responses are delivered. */
export const RouteKind = { Safe: 'safe', Unsafe: 'unsafe', Streaming: 'streaming', Batch: 'batch' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** Service that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** Row of the routes table. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective, in milliseconds: to the first event of a stream, or to the acceptance of a job. */
  readonly objectiveMs: number
  /** Latency objective between two events of a stream, in milliseconds; 0 when there is none. */
  readonly pauseMs: number
  /** Maximum number of runs of one request, or of failed runs of one item. */
  readonly attempts: number
  /** Priority of the route; 0 is the highest. */
  readonly priority: number
  /** Whether a stream may be resumed on another backend server. */
  readonly resumable: boolean
  /** Maximum number of tokens of waiting items of a batch route, over all hosts; 0 for no limit. */
  readonly waitingTokens: number
  /** Time from submission until the results of a job are due, in milliseconds. */
  readonly dueMs: number
  /** Time from submission after which an item may be abandoned, in milliseconds; 0 for never. */
  readonly giveUpMs: number
  /** Whether requests need no key although the tables have accounts. */
  readonly isPublic?: boolean | undefined
}

/** Group of identical backend servers. */
export interface Service {
  readonly name: string
  /** Number of requests that one backend server runs concurrently. */
  readonly slots: number
  /** Tokens that the requests on one backend server may hold in its memory together; undefined if the service states none. */
  readonly memoryTokens?: number | undefined
}

/** Limits on the size and duration of requests of callers. */
export interface CallerLimits {
  /** Configured maximum size of the headers of a request, in bytes. Not applied: the server for callers has a fixed maximum. */
  readonly headerBytes: number
  /** Maximum size of the body of a request, in bytes. */
  readonly bodyBytes: number
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headerMs: number
  /** Maximum time without data while a body is received, or between two requests on a connection, in milliseconds. */
  readonly idleMs: number
}

/** The routes table, the services table and the limits, with their version number. */
export interface GatewayTables {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** Client accounts; undefined if requests need no key. */
  readonly accounts?: readonly ClientAccount[] | undefined
}

/** Published version: the tables, and the document from which they were read. */
export interface Publication {
  readonly tables: GatewayTables
  /** Text of the operator, returned unchanged. */
  readonly document: string
  /** Digest of the content of the document. */
  readonly digest: string
}

/**
 * Validates the tables together.
 * @param tables - the tables
 * @returns every problem found
 */
export function validateGatewayTables (tables: GatewayTables): Problem[] {
  const problems: Problem[] = []
  const services = new Set(tables.services.map(service => service.name))
  const hostPaths = new Set<string>()
  for (const [index, route] of tables.routes.entries()) {
    const place = `routes[${index}]`
    const key = `${route.host.toLowerCase()} ${route.pathPrefix}`
    if (hostPaths.has(key)) problems.push({ place, text: `host and path "${key}" are already used` })
    hostPaths.add(key)
    if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) problems.push({ place, text: 'the path must begin and end with a slash' })
    if (!(route.timeoutMs > 0)) problems.push({ place, text: 'the timeout must be above 0' })
    let weight = 0
    for (const target of route.targets) {
      weight += target.weight
      if (!services.has(target.service)) problems.push({ place, text: `there is no service "${target.service}"` })
    }
    if (!(weight > 0)) problems.push({ place, text: 'the weights add up to 0' })
  }
  return problems
}

/** Routes of one host name. */
interface HostRoutes {
  readonly byPathPrefix: Map<string, GatewayRoute>
  /** Lengths of the path prefixes, the longest first. */
  readonly prefixLengths: readonly number[]
}

/** Routes by host in lower case. */
export type RouteIndex = ReadonlyMap<string, HostRoutes>

/**
 * Indexes the routes for matching.
 * @param tables - the tables
 * @returns the index
 */
export function createRouteIndex (tables: GatewayTables): RouteIndex {
  const prefixesByHost = new Map<string, Map<string, GatewayRoute>>()
  for (const route of tables.routes) {
    const host = route.host.toLowerCase()
    const byPathPrefix = prefixesByHost.get(host) ?? new Map<string, GatewayRoute>()
    byPathPrefix.set(route.pathPrefix, route)
    prefixesByHost.set(host, byPathPrefix)
  }
  const index = new Map<string, HostRoutes>()
  for (const [host, byPathPrefix] of prefixesByHost) {
    const lengths = new Set([...byPathPrefix.keys()].map(prefix => prefix.length))
    index.set(host, { byPathPrefix, prefixLengths: [...lengths].sort((left, right) => right - left) })
  }
  return index
}

/**
 * Finds the route of a request. The cost grows with the number of different prefix lengths, not with the number of routes.
 * @param index - the routes
 * @param host - the host name of the request, without a port
 * @param path - the path, with or without a query
 * @returns the route with the longest matching path prefix, or undefined when none matches
 */
export function matchRoute (index: RouteIndex, host: string, path: string): GatewayRoute | undefined {
  const routes = index.get(host.toLowerCase())
  if (routes === undefined) return undefined
  for (const length of routes.prefixLengths) {
    if (length > path.length) continue
    const route = routes.byPathPrefix.get(path.slice(0, length))
    if (route !== undefined) return route
  }
  return undefined
}

/**
 * Lists the priorities that live requests of client accounts may have: those of the accounts, and of the routes for accounts without one.
 * @param tables - the tables
 * @returns the priorities, each once
 */
export function listLivePriorities ({ accounts = [], routes }: GatewayTables): number[] {
  const priorities = new Set<number>()
  for (const { priority } of accounts) if (priority !== undefined) priorities.add(priority)
  if (accounts.every(({ priority }) => priority !== undefined)) return [...priorities]
  for (const { kind, priority } of routes) if (kind !== RouteKind.Batch) priorities.add(priority)
  return [...priorities]
}

/**
 * Lists the routes of a host name.
 * @param index - the routes
 * @param host - the host name of a request, without a port
 * @returns its routes
 */
export function listRoutes (index: RouteIndex, host: string): GatewayRoute[] {
  return [...index.get(host.toLowerCase())?.byPathPrefix.values() ?? []]
}

/**
 * Chooses the service of a request by the weights of its route.
 * @param route - the route
 * @param fraction - a random number from 0 (inclusive) to 1 (exclusive)
 * @returns the name of the service
 */
export function chooseTarget (route: GatewayRoute, fraction: number): string {
  let total = 0
  for (const target of route.targets) total += target.weight
  let remaining = fraction * total
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return route.targets.at(-1)?.service ?? ''
}
