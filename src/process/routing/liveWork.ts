/**
 * Live work on each backend server as known to this entry host: its own requests, those reported by other entry hosts,
 * and the latency of its own requests relative to their latency without batch work.
 * @module
 */
import type { DelayRatio } from '../../version/preference.ts'
import type { BackendServer } from './backendServers.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { Holder } from '../state/commands.ts'

/** Time after which the report of another entry host expires unless it is renewed, in milliseconds. */
export const liveReportTtlMs = 3_000

/** Number of latest samples in a window: enough for a p95, few enough to follow a change within seconds. */
const windowSampleCount = 64

/** Minimum number of samples both with and without batch work for a comparison. */
const minSampleCount = 20

/** Compared quantile. Latency goals concern the tail; p99 would need more samples than the few idle seconds provide. */
const tailQuantile = 0.95

/** Measurement of a live attempt in progress. */
export interface LiveObservation {
  /** Records the arrival of a token. */
  recordToken (): void
  /** Records the end of the attempt. */
  end (): void
}

/** Live work on all backend servers. */
export interface LiveWork {
  /** Notified when the number of own requests on a backend server becomes positive. */
  readonly started: Condition
  /**
   * Records the start of an attempt of this host.
   * @param server - the backend server
   * @returns the measurement of the attempt
   */
  start (server: BackendServer): LiveObservation
  /**
   * Records the report of another entry host, replacing its last one.
   * @param from - the entry host
   * @param servers - addresses of backend servers on which it runs live requests
   */
  recordReport (from: Holder, servers: readonly string[]): void
  /**
   * Counts live requests on a backend server. Reports contain no counts; each reporting entry host counts as one.
   * @param server - the backend server
   * @returns the number of live requests
   */
  countLiveRequests (server: BackendServer): number
  /**
   * Lists backend servers with live requests of this host.
   * @returns their addresses
   */
  listOwn (): string[]
  /**
   * Compares the latency of own requests with and without concurrent batch work.
   * @param pool - name of the pool
   * @returns the p95 latency with batch work relative to the p95 latency without it
   */
  measureDelay (pool: string): DelayRatio
}

/** Latency samples of one pool. */
interface LatencySamples {
  readonly firstToken: Comparison
  readonly betweenTokens: Comparison
  observations: number
}

interface Comparison {
  readonly baseline: Window
  readonly loaded: Window
}

interface Window {
  readonly latest: number[]
  next: number
}

interface Report {
  /** Monotonic time in milliseconds. */
  readonly receivedAt: number
  readonly servers: ReadonlySet<string>
}

/**
 * Creates the record of live work, initially empty.
 * @param clock - the clock
 * @param findServer - finds a backend server, whose `liveChanged` is notified when reports change
 * @returns the record
 */
export function createLiveWork (clock: Clock, findServer: (address: string) => BackendServer | undefined): LiveWork {
  const samplesByPool = new Map<string, LatencySamples>()
  const own = new Map<string, number>()
  const reports = new Map<Holder, Report>()
  const started = createCondition()

  function getLatencySamples (pool: string): LatencySamples {
    const existing = samplesByPool.get(pool)
    if (existing !== undefined) return existing
    const created: LatencySamples = { firstToken: createComparison(), betweenTokens: createComparison(), observations: 0 }
    samplesByPool.set(pool, created)
    return created
  }

  function countLiveRequests (server: BackendServer): number {
    const now = clock.now()
    let count = server.liveInFlight
    for (const report of reports.values()) {
      if (now - report.receivedAt < liveReportTtlMs && report.servers.has(server.announcement.address)) count++
    }
    return count
  }

  function start (server: BackendServer): LiveObservation {
    const address = server.announcement.address
    const samples = getLatencySamples(server.announcement.pool)
    const before = own.get(address) ?? 0
    own.set(address, before + 1)
    if (before === 0) started.notify()
    let lastAt = clock.now()
    let isLoaded = server.batchInFlight > 0
    let isFirst = true
    return {
      recordToken () {
        const now = clock.now()
        const comparison = isFirst ? samples.firstToken : samples.betweenTokens
        addSample(isLoaded ? comparison.loaded : comparison.baseline, now - lastAt)
        samples.observations++
        lastAt = now
        isLoaded = server.batchInFlight > 0
        isFirst = false
      },
      end () {
        const remaining = (own.get(address) ?? 1) - 1
        if (remaining === 0) own.delete(address)
        else own.set(address, remaining)
      }
    }
  }

  return {
    started,
    start,
    countLiveRequests,
    recordReport (from, servers) {
      const earlier = reports.get(from)?.servers ?? new Set<string>()
      const current = new Set(servers)
      reports.set(from, { receivedAt: clock.now(), servers: current })
      for (const address of new Set([...earlier, ...current])) {
        if (earlier.has(address) !== current.has(address)) findServer(address)?.liveChanged.notify()
      }
    },
    listOwn: () => [...own.keys()],
    measureDelay (pool) {
      const { firstToken, betweenTokens, observations } = getLatencySamples(pool)
      const ratios = [computeDelayRatio(firstToken), computeDelayRatio(betweenTokens)].filter(ratio => ratio !== undefined)
      return { ratio: ratios.length === 0 ? undefined : Math.max(...ratios), observations }
    }
  }
}

function createComparison (): Comparison {
  return { baseline: { latest: [], next: 0 }, loaded: { latest: [], next: 0 } }
}

function addSample (window: Window, durationMs: number): void {
  window.latest[window.next] = durationMs
  window.next = (window.next + 1) % windowSampleCount
}

function computeTailMs (window: Window): number | undefined {
  if (window.latest.length < minSampleCount) return undefined
  const sorted = window.latest.toSorted((left, right) => left - right)
  return sorted[Math.floor(sorted.length * tailQuantile)]
}

function computeDelayRatio (comparison: Comparison): number | undefined {
  const baselineMs = computeTailMs(comparison.baseline)
  const loadedMs = computeTailMs(comparison.loaded)
  if (baselineMs === undefined || loadedMs === undefined) return undefined
  // The lower bound of 0.1 ms keeps the ratio finite when the baseline is 0.
  return loadedMs / Math.max(baselineMs, 0.1)
}
