/**
 * Live work on each backend server, as this entry host sees it: its own requests, those that other entry hosts told of,
 * and the delay of its own relative to the delay without batch work.
 * @module
 */
import type { DelayRatio } from '../../version/preference.ts'
import type { BackendServer } from './backendServers.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { Holder } from '../state/commands.ts'

/** Time after which a report of another entry host that was not renewed is dropped, in milliseconds. */
export const liveReportLimitMs = 3_000

/** Delays that are compared: enough for a p95, few enough to follow a change within seconds. */
const windowSize = 64

/** Delays with and without batch work before they are compared. */
const windowMinimum = 20

/** The goals are for the tail; p99 would need more delays than a host sees in the few idle seconds. */
const tail = 0.95

/** One live attempt under way. */
export interface LiveObservation {
  /** Records a token. */
  recordToken (): void
  /** Records the end. */
  end (): void
}

/** Live work on all backend servers. */
export interface LiveWork {
  /** Notified when the first own request on a backend server starts. */
  readonly started: Condition
  /**
   * Records the start of an own attempt.
   * @param server - the backend server
   * @returns takes tokens and the end
   */
  start (server: BackendServer): LiveObservation
  /**
   * Takes the report of another entry host, which replaces its last one.
   * @param from - the entry host
   * @param servers - addresses of backend servers on which it runs live requests
   */
  recordReport (from: Holder, servers: readonly string[]): void
  /**
   * Counts live requests; each reporting entry host counts as one.
   * @param server - the backend server
   * @returns live requests that run there
   */
  countLiveRequests (server: BackendServer): number
  /**
   * Lists backend servers with own live requests.
   * @returns their addresses
   */
  listOwn (): string[]
  /**
   * Reads the measured delay.
   * @param pool - name of the pool
   * @returns the p95 of own requests that met batch work relative to the p95 of those that did not
   */
  measureDelay (pool: string): DelayRatio
}

/** Delays of one pool at its tail, with and without batch work. */
interface Delays {
  readonly firstToken: Comparison
  readonly betweenTokens: Comparison
  observations: number
}

interface Comparison {
  readonly without: Window
  readonly loaded: Window
}

interface Window {
  readonly latest: number[]
  next: number
}

interface Report {
  readonly heardAt: number
  readonly servers: ReadonlySet<string>
}

/**
 * Creates the record without live work.
 * @param clock - the clock
 * @param findServer - finds a backend server, so that its tasks can be woken
 * @returns the record
 */
export function createLiveWork (clock: Clock, findServer: (address: string) => BackendServer | undefined): LiveWork {
  const delays = new Map<string, Delays>()
  const own = new Map<string, number>()
  const reports = new Map<Holder, Report>()
  const started = createCondition()

  function delaysOf (pool: string): Delays {
    const present = delays.get(pool)
    if (present !== undefined) return present
    const created: Delays = { firstToken: createComparison(), betweenTokens: createComparison(), observations: 0 }
    delays.set(pool, created)
    return created
  }

  function countOn (server: BackendServer): number {
    const now = clock.now()
    let count = server.liveInFlight
    for (const report of reports.values()) {
      if (now - report.heardAt < liveReportLimitMs && report.servers.has(server.announcement.address)) count++
    }
    return count
  }

  function start (server: BackendServer): LiveObservation {
    const address = server.announcement.address
    const found = delaysOf(server.announcement.pool)
    const before = own.get(address) ?? 0
    own.set(address, before + 1)
    if (before === 0) started.notify()
    let lastAt = clock.now()
    let loaded = server.batchInFlight > 0
    let first = true
    return {
      recordToken () {
        const now = clock.now()
        const comparison = first ? found.firstToken : found.betweenTokens
        add(loaded ? comparison.loaded : comparison.without, now - lastAt)
        found.observations++
        lastAt = now
        loaded = server.batchInFlight > 0
        first = false
      },
      end () {
        const left = (own.get(address) ?? 1) - 1
        if (left === 0) own.delete(address)
        else own.set(address, left)
      }
    }
  }

  return {
    started,
    start,
    countLiveRequests: countOn,
    recordReport (from, servers) {
      const earlier = reports.get(from)?.servers ?? new Set<string>()
      const present = new Set(servers)
      reports.set(from, { heardAt: clock.now(), servers: present })
      for (const address of new Set([...earlier, ...present])) {
        if (earlier.has(address) !== present.has(address)) findServer(address)?.liveChanged.notify()
      }
    },
    listOwn: () => [...own.keys()],
    measureDelay (pool) {
      const { firstToken, betweenTokens, observations } = delaysOf(pool)
      const ratios = [compare(firstToken), compare(betweenTokens)].filter(ratio => ratio !== undefined)
      return { ratio: ratios.length === 0 ? undefined : Math.max(...ratios), observations }
    }
  }
}

function createComparison (): Comparison {
  return { without: { latest: [], next: 0 }, loaded: { latest: [], next: 0 } }
}

function add (window: Window, durationMs: number): void {
  window.latest[window.next] = durationMs
  window.next = (window.next + 1) % windowSize
}

function tailOf (window: Window): number | undefined {
  if (window.latest.length < windowMinimum) return undefined
  const sorted = window.latest.toSorted((left, right) => left - right)
  return sorted[Math.floor(sorted.length * tail)]
}

function compare (comparison: Comparison): number | undefined {
  const without = tailOf(comparison.without)
  const loaded = tailOf(comparison.loaded)
  if (without === undefined || loaded === undefined) return undefined
  return loaded / Math.max(without, 0.1)
}
