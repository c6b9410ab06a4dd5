/**
 * Measures how evenly the choice of backend servers spreads load when load reports are late. It simulates entry hosts over
 * the functions of the choice, without a network: in each step requests end, reports arrive, and new requests are assigned by
 * random entry hosts, each of which knows only its own requests and the late reports. Writes bench/results/choice.json.
 *
 * Usage: npx tsx bench/choice.ts
 * @module
 */
import { mkdir, writeFile } from 'node:fs/promises'
import * as hdr from 'hdr-histogram-js'
import { type BackendServer, createBackendServers, recordLiveEnd, recordLiveStart } from '../src/process/routing/backendServers.ts'
import { Clock } from '../src/process/program/clock.ts'
import { Level } from '../src/process/program/logEvents.ts'
import { createLogger } from '../src/process/program/logger.ts'
import { createSeededRandom, type Random } from '../src/process/program/random.ts'
import { chooseBackendServer } from '../src/request/backendServerChoice.ts'

const capacity = 16
const utilisation = 0.7
const requestMs = 1_000
const stepMs = 20
const reportIntervalMs = 1_000
const location = { availabilityZone: 'zone-a', region: 'region-a' }

/** Parameters of one simulation. */
interface SimulationParameters {
  readonly entryHosts: number
  readonly backendServers: number
  readonly reportLagMs: number
  /** Simulated time, in milliseconds. */
  readonly durationMs: number
  /** Backend servers that an entry host chooses from: those of one pool in its availability zone. */
  readonly candidates: number
  /** Whether an entry host adds its own requests to the reported load. False for comparison. */
  readonly corrected: boolean
}

/** A request in flight, on the entry host and the backend server with these indexes. */
interface RunningRequest {
  readonly host: number
  readonly server: number
  readonly startedAt: number
  readonly endsAt: number
}

class SimulatedClock extends Clock {
  time = 10_000
  override now (): number { return this.time }
  override wallTime (): number { return this.time }
  override async sleep (): Promise<void> {}
}

/** Simulates one pool and the entry hosts that use it. The first half of the time is warm-up and is not sampled. */
function simulatePool (parameters: SimulationParameters, random: Random): object {
  const clock = new SimulatedClock()
  const logger = createLogger('bench', Level.Error)
  const views: BackendServer[][] = []
  for (let host = 0; host < parameters.entryHosts; host++) {
    const servers = createBackendServers(clock, logger)
    for (let server = 0; server < parameters.candidates; server++) servers.recordAnnouncement(createAnnouncement(server, 0, 0), 0)
    views.push(servers.list())
  }
  const loads = new Array<number>(parameters.candidates).fill(0)
  const loadHistory: number[][] = []
  let running: RunningRequest[] = []
  let pendingArrivals = 0
  const arrivalsPerStep = parameters.candidates * capacity * utilisation * stepMs / requestMs
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 })
  let [overCapacity, samples, peak] = [0, 0, 0]

  for (const end = clock.time + parameters.durationMs; clock.time < end; clock.time += stepMs) {
    const unfinished: RunningRequest[] = []
    for (const request of running) {
      if (request.endsAt > clock.time) {
        unfinished.push(request)
        continue
      }
      loads[request.server] = (loads[request.server] ?? 0) - 1
      const server = views[request.host]?.[request.server]
      if (server !== undefined) recordLiveEnd(server, request.startedAt, clock.time)
    }
    running = unfinished
    loadHistory.push([...loads])
    deliverReports(views, loadHistory, clock.time, parameters)
    pendingArrivals += arrivalsPerStep
    for (; pendingArrivals >= 1; pendingArrivals--) {
      const host = random.below(parameters.entryHosts)
      const view = views[host] ?? []
      const chosen = chooseBackendServer({ candidates: view, location, tried: new Set(), prefixKey: undefined, bytes: 1_000, averageDurationMs: requestMs, now: clock.time }, random)
      if (chosen === undefined) continue
      const server = view.indexOf(chosen)
      // Without the correction a host does not record its own requests, so that only the late report counts.
      if (parameters.corrected) recordLiveStart(chosen, clock.time)
      loads[server] = (loads[server] ?? 0) + 1
      running.push({ host: parameters.corrected ? host : -1, server, startedAt: clock.time, endsAt: clock.time + requestMs * (0.5 + random.next()) })
    }
    if (clock.time < end - parameters.durationMs / 2) continue
    for (const load of loads) {
      histogram.recordValue(load)
      samples++
      peak = Math.max(peak, load)
      if (load > capacity) overCapacity++
    }
  }
  return {
    ...parameters,
    meanLoad: Math.round(histogram.mean * 100) / 100,
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    peak,
    shareOverCapacity: Math.round(overCapacity / samples * 10_000) / 10_000
  }
}

function createAnnouncement (server: number, running: number, sequence: number): BackendServer['announcement'] {
  return {
    address: `10.0.${server >> 8}.${server & 255}:80`,
    availabilityZone: location.availabilityZone,
    region: location.region,
    pool: 'assist',
    capacity,
    models: [],
    fencingChecked: true,
    incarnation: '1',
    sequence,
    leaving: false,
    running
  }
}

// Each backend server reports once per interval, at a phase of its own, the load that it had one lag earlier.
function deliverReports (views: readonly BackendServer[][], loadHistory: readonly number[][], now: number, parameters: SimulationParameters): void {
  const lagSteps = Math.round(parameters.reportLagMs / stepMs)
  const reported = loadHistory[loadHistory.length - 1 - lagSteps]
  const phase = Math.round(now / stepMs) % (reportIntervalMs / stepMs)
  for (const view of views) {
    for (const [index, server] of view.entries()) {
      if (index % (reportIntervalMs / stepMs) !== phase) continue
      server.announcement = { ...server.announcement, running: reported?.[index] ?? 0, loadAgeMs: parameters.reportLagMs }
      server.announcedAt = now
      server.liveEnds = server.liveEnds.filter(ended => ended.endedAt > now - parameters.reportLagMs)
    }
  }
}

// The current size and the design size of docs/design.md, sections 1.5 and 1.6, in each combination of hosts and servers.
const figures: object[] = []
for (const [entryHosts, backendServers, candidates, durationMs] of [[12, 6, 6, 60_000], [380, 6, 6, 30_000], [12, 4_200, 19, 30_000], [380, 4_200, 19, 10_000]] as const) {
  for (const reportLagMs of [0, 500, 2_000, 4_000]) {
    for (const corrected of [true, false]) {
      const seed = 1
      const startedAt = performance.now()
      const figure = simulatePool({ entryHosts, backendServers, candidates, durationMs, reportLagMs, corrected }, createSeededRandom(seed))
      figures.push({ ...figure, seed, tookMs: Math.round(performance.now() - startedAt) })
      console.log(JSON.stringify(figures.at(-1)))
    }
  }
}
await mkdir(new URL('./results/', import.meta.url), { recursive: true })
const result = { command: 'npx tsx bench/choice.ts', at: new Date().toISOString(), node: process.version, capacity, utilisation, requestMs, figures }
await writeFile(new URL('./results/choice.json', import.meta.url), JSON.stringify(result, undefined, 1) + '\n')
