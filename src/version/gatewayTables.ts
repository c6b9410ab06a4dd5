/**
 * The tables of the gateway: which service answers which host and path, and what may be repeated. Operators publish both
 * tables whole under a version of their own; the highest version is in force.
 * @module
 */
import type { Problem } from './validation.ts'

/** What may be repeated on a route, and how its answers come. */
export const RouteKind = { Safe: 'safe', Unsafe: 'unsafe', Streaming: 'streaming', Batch: 'batch' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service that takes a share of a route. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** One row of the gateway's routes. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is on time, in milliseconds: to the first event of a stream, to the acceptance of a job. */
  readonly objectiveMs: number
  /** Longest pause between two events of a stream that is on time, in milliseconds; 0 where there is none. */
  readonly pauseMs: number
  /** Most backend servers that may run one request, or most failed runs of one item. */
  readonly attempts: number
  /** Rank of the route, 0 first. */
  readonly priority: number
  /** Whether a stream may go on at another backend server. */
  readonly resumable: boolean
  /** Most tokens of items that wait on a batch route, over all hosts; 0 for no limit. */
  readonly waitingTokens: number
  /** How long after the submission the results of a job are due, in milliseconds. */
  readonly dueMs: number
  /** How long after the submission an item may be given up, in milliseconds; 0 for never. */
  readonly giveUpMs: number
}

/** A group of backend servers of one kind. */
export interface Service {
  readonly name: string
  /** Requests that one backend server runs at once. */
  readonly slots: number
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMs: number
  readonly idleMs: number
}

/** Both tables and the limits under their version. */
export interface GatewayTables {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
}

/** A version as published: the tables, and the document they were read from. */
export interface Publication {
  readonly tables: GatewayTables
  /** The operator's own text, which is returned as it came. */
  readonly document: string
  /** Digest of the document's content. */
  readonly digest: string
}

/**
 * Checks the tables as a whole.
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

/** Routes by host, the longest path first. */
export type RouteIndex = ReadonlyMap<string, readonly GatewayRoute[]>

/**
 * Orders the routes for matching.
 * @param tables - the tables
 * @returns the index
 */
export function createRouteIndex (tables: GatewayTables): RouteIndex {
  const index = new Map<string, GatewayRoute[]>()
  for (const route of tables.routes) {
    const host = route.host.toLowerCase()
    const routes = index.get(host) ?? []
    routes.push(route)
    index.set(host, routes)
  }
  for (const routes of index.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  return index
}

/**
 * Finds the route of a request.
 * @param index - the routes
 * @param host - the host that the caller named, without a port
 * @param path - the path, with or without a query
 * @returns the route with the longest matching path, if there is one
 */
export function matchRoute (index: RouteIndex, host: string, path: string): GatewayRoute | undefined {
  for (const route of index.get(host.toLowerCase()) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route
  }
  return undefined
}

/**
 * Chooses the service of a request by the weights of its route.
 * @param route - the route
 * @param fraction - a random number from 0 to below 1
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
