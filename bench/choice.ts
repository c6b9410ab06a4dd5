/**
 * Measures how evenly the choice spreads load over backend servers when load reports are late. A small loop over the
 * pure functions: each step, requests end, reports arrive, and new requests are placed by random entry hosts, each of
 * which knows its own requests and the late reports. Run: `npx tsx bench/choice.ts`
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
const reportMs = 1_000
const location = { availabilityZone: 'zone-a', region: 'region-a' }

/** One case. */
interface Case {
  readonly entryHosts: number
  readonly backendServers: number
  readonly reportLagMs: number
  /** Simulated time, in milliseconds. */
  readonly durationMs: number
  /** Candidates an entry host sees of all backend servers: those of one pool in its zone. */
  readonly candidates: number
  /** Whether reports are corrected by own requests; off for comparison. */
  readonly corrected: boolean
}

/** A request under way. */
interface Running {
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

/** One pool of the fleet with the entry hosts that use it. */
function runCase (given: Case, random: Random): object {
  const clock = new SimulatedClock()
  const logger = createLogger('bench', Level.Error)
  const views: BackendServer[][] = []
  for (let host = 0; host < given.entryHosts; host++) {
    const servers = createBackendServers(clock, logger)
    for (let server = 0; server < given.candidates; server++) servers.recordAnnouncement(announce(server, 0, 0), 0)
    views.push(servers.list())
  }
  const loads = new Array<number>(given.candidates).fill(0)
  const history: number[][] = []
  let running: Running[] = []
  let due = 0
  const perStep = given.candidates * capacity * utilisation * stepMs / requestMs
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 })
  let [overCapacity, samples, peak] = [0, 0, 0]

  for (const end = clock.time + given.durationMs; clock.time < end; clock.time += stepMs) {
    const left: Running[] = []
    for (const request of running) {
      if (request.endsAt > clock.time) {
        left.push(request)
        continue
      }
      loads[request.server] = (loads[request.server] ?? 0) - 1
      const server = views[request.host]?.[request.server]
      if (server !== undefined) recordLiveEnd(server, request.startedAt, clock.time)
    }
    running = left
    history.push([...loads])
    report(views, history, clock.time, given)
    due += perStep
    for (; due >= 1; due--) {
      const host = random.below(given.entryHosts)
      const view = views[host] ?? []
      const chosen = chooseBackendServer({ candidates: view, location, tried: new Set(), prefixKey: undefined, bytes: 1_000, averageDurationMs: requestMs, now: clock.time }, random)
      if (chosen === undefined) continue
      const server = view.indexOf(chosen)
      // Without correction the own requests are not recorded, and only the late report counts.
      if (given.corrected) recordLiveStart(chosen, clock.time)
      loads[server] = (loads[server] ?? 0) + 1
      running.push({ host: given.corrected ? host : -1, server, startedAt: clock.time, endsAt: clock.time + requestMs * (0.5 + random.next()) })
    }
    if (clock.time < end - given.durationMs / 2) continue
    for (const load of loads) {
      histogram.recordValue(load)
      samples++
      peak = Math.max(peak, load)
      if (load > capacity) overCapacity++
    }
  }
  return {
    ...given,
    meanLoad: Math.round(histogram.mean * 100) / 100,
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    peak,
    shareOverCapacity: Math.round(overCapacity / samples * 10_000) / 10_000
  }
}

function announce (server: number, running: number, sequence: number): BackendServer['announcement'] {
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

// Each backend server reports once a second, at its own moment, the load of some time ago.
function report (views: readonly BackendServer[][], history: readonly number[][], now: number, given: Case): void {
  const lagSteps = Math.round(given.reportLagMs / stepMs)
  const reported = history[history.length - 1 - lagSteps]
  const phase = Math.round(now / stepMs) % (reportMs / stepMs)
  for (const view of views) {
    for (const [index, server] of view.entries()) {
      if (index % (reportMs / stepMs) !== phase) continue
      server.announcement = { ...server.announcement, running: reported?.[index] ?? 0, loadAgeMs: given.reportLagMs }
      server.announcedAt = now
      server.liveEnds = server.liveEnds.filter(ended => ended.endedAt > now - given.reportLagMs)
    }
  }
}

const figures: object[] = []
for (const [entryHosts, backendServers, candidates, durationMs] of [[12, 6, 6, 60_000], [380, 6, 6, 30_000], [12, 4_200, 19, 30_000], [380, 4_200, 19, 10_000]] as const) {
  for (const reportLagMs of [0, 500, 2_000, 4_000]) {
    for (const corrected of [true, false]) {
      const seed = 1
      const startedAt = performance.now()
      const figure = runCase({ entryHosts, backendServers, candidates, durationMs, reportLagMs, corrected }, createSeededRandom(seed))
      figures.push({ ...figure, seed, tookMs: Math.round(performance.now() - startedAt) })
      console.log(JSON.stringify(figures.at(-1)))
    }
  }
}
await mkdir(new URL('./results/', import.meta.url), { recursive: true })
const result = { command: 'npx tsx bench/choice.ts', at: new Date().toISOString(), node: process.version, capacity, utilisation, requestMs, figures }
await writeFile(new URL('./results/choice.json', import.meta.url), JSON.stringify(result, undefined, 1) + '\n')
