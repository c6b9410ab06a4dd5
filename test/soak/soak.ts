/**
 * A soak of the fleet's programs as separate processes: load, faults from a seed, and checks of what callers, operators and
 * backend servers see.
 * @module
 */
import { request } from 'undici'
import { eventually } from '../../scripts/processes.ts'
import { createSeededRandom } from '../../src/process/program/random.ts'
import {
  callTimeoutMs, itemAttempts, type OperatorState, publish, readResults, readVersion, runJobOwner, runPublisher, runReader, sendCrashingRequests, type SoakContext, type SoakJob
} from './soakClients.ts'
import { findAccountViolations, runKeyedCallers } from './soakAccounts.ts'
import { type InjectedFault, injectFaults, injectReloads } from './soakFaults.ts'
import { heartbeatMs, type SoakFleet, type SoakHost, startSoakFleet } from './soakFleet.ts'
import { injectReleases, softwareVersions } from './soakReleases.ts'
import { failingPath, type SoakServer, startSoakServer } from './soakServers.ts'
import { runLiveCallers, type TakenUpStreams } from './soakStreams.ts'

/** Servers in series of both software versions. */
const serverCount = 4

/** Servers that the faults of `injectFaults` crash. */
const crashedServerCount = 3
const startTimeoutMs = 30_000

/** Time after the last fault within which each acknowledged job has all its results, in milliseconds. */
const completionTimeoutMs = 60_000

const readAllIntervalMs = 100

/** Time after the last fault from which the limits of the checks below hold, in milliseconds. */
const contactMs = 4_000

/** Crashes under a prompt part after which at most `maxLaterRequests` requests with it may reach servers. */
const maxCrashes = 5
const maxLaterRequests = 3

/** Requests with the part that are sent after the faults. */
const crashingRequests = 20

/** Limit that a server names after the faults, in requests per second, and the window in which its requests are counted. */
const limitPerSecond = 2
const limitWindowMs = 4_000

/** Requests that are allowed in a window: one and a half times the limit, and five. */
const maxRequestsInWindow = 1.5 * limitPerSecond * limitWindowMs / 1_000 + 5

/** Result of one run. */
export interface SoakReport {
  readonly seed: number
  readonly violations: readonly string[]
  readonly faults: readonly InjectedFault[]
  readonly jobs: number
  /** Live requests by status; 0 stands for a broken connection. */
  readonly statuses: ReadonlyMap<number, number>
  /** Live requests of which the first try brought an event. */
  readonly begun: number
  readonly takenUp: TakenUpStreams
  /** Requests with keys that servers began to run. */
  readonly keyedRuns: number
  readonly acknowledgedVersion: number
  /** Crashes of servers by requests. */
  readonly crashes: number
  /** What the hosts have written, by name; kept for a run with violations. */
  readonly outputs: ReadonlyMap<string, string>
}

/**
 * Runs the soak.
 * @param seed - seed of load and faults
 * @param durationMs - time for which faults are injected, in milliseconds
 * @returns the report
 */
export async function runSoak (seed: number, durationMs: number): Promise<SoakReport> {
  const servers = await Promise.all(Array.from({ length: serverCount }, (_, index) => startSoakServer(`i-${index}`, softwareVersions[index % softwareVersions.length] ?? '')))
  const fleet = await startSoakFleet()
  const stopped = new AbortController()
  const context: SoakContext = { fleet, random: createSeededRandom(seed), violations: [], signal: stopped.signal }
  const state: OperatorState = { acknowledgedVersion: 0, sentVersion: 1, withdrawal: { acknowledgedAt: Infinity } }
  const heartbeats = startHeartbeats(fleet, servers)
  try {
    await eventually('the first version acknowledged', startTimeoutMs, async () => {
      await publish(context, state, 1)
      return state.acknowledgedVersion > 0 ? true : undefined
    })
    const publisher = runPublisher(context, state)
    const reader = runReader(context, state)
    const callers = runLiveCallers(context, servers, createSeededRandom(seed + 4))
    const keyedCallers = runKeyedCallers({ gateways: fleet.gateways, violations: context.violations, signal: stopped.signal, callTimeoutMs })
    const owner = runJobOwner(context)
    const faultsEnded = new AbortController()
    setTimeout(() => faultsEnded.abort(), durationMs).unref()
    const reloads = injectReloads(fleet, createSeededRandom(seed + 2), faultsEnded.signal)
    const affected = new Set<SoakHost>()
    const releases = injectReleases(fleet, servers, affected, createSeededRandom(seed + 3), faultsEnded.signal)
    const faults = await injectFaults(fleet, servers.slice(0, crashedServerCount), affected, createSeededRandom(seed + 1), faultsEnded.signal)
    faults.push(...await releases)
    faults.sort((left, right) => left.at - right.at)
    await reloads
    await checkCrashingPart(context, servers)
    await checkRequestLimit(context, servers)
    stopped.abort()
    const jobs = await owner
    const { statuses, begun, takenUp } = await callers
    await Promise.all([publisher, reader])
    await completeJobs(context, jobs)
    await checkFinalVersion(context, state)
    checkRuns(context, servers)
    const keyedRequests = await keyedCallers
    context.violations.push(...findAccountViolations(servers, keyedRequests, state.withdrawal))
    const keyedRuns = new Set(servers.flatMap(server => server.runs).filter(({ id }) => keyedRequests.has(id)).map(({ id }) => id)).size
    return { seed, violations: context.violations, faults, jobs: jobs.length, statuses, begun, takenUp, keyedRuns, acknowledgedVersion: state.acknowledgedVersion, crashes: countCrashes(servers), outputs: new Map(fleet.hosts.map(host => [host.name, host.output()])) }
  } finally {
    clearInterval(heartbeats)
    await fleet.close()
    for (const server of servers) server.close()
  }
}

function startHeartbeats (fleet: SoakFleet, servers: readonly SoakServer[]): NodeJS.Timeout {
  let sequence = 0
  return setInterval(() => {
    sequence++
    for (const { id, address, softwareVersion, startedAt, isUp } of servers) {
      if (!isUp) continue
      const body = JSON.stringify({ service: 's', addr: address, zone: 'z1', version: softwareVersion, slots: 4, state: 'ready', seq: sequence, born: startedAt })
      sendHeartbeat(fleet.controls, id, body).catch(() => {})
    }
  }, heartbeatMs)
}

async function sendHeartbeat (controls: readonly string[], id: string, body: string): Promise<void> {
  for (const control of controls) {
    try {
      const response = await request(`http://${control}/v1/instances/${id}`, { method: 'PUT', body, headersTimeout: 1_000 })
      await response.body.dump()
      if (response.statusCode === 200) return
    } catch {
      // The control host is down: the next one is tried.
    }
  }
}

async function completeJobs (context: SoakContext, jobs: readonly SoakJob[]): Promise<void> {
  const deadline = performance.now() + completionTimeoutMs
  let open = jobs.filter(job => !job.isComplete)
  while (open.length > 0 && performance.now() < deadline) {
    for (const job of open) await readResults(context, job)
    open = open.filter(job => !job.isComplete)
    await pause(readAllIntervalMs)
  }
  for (const job of open) context.violations.push(`${job.id}: ${job.results.length} of ${job.items.length} results ${completionTimeoutMs} ms after the last fault`)
  // Once more from any position, at any gateway.
  for (const job of jobs) await readResults(context, job)
}

async function checkFinalVersion (context: SoakContext, state: OperatorState): Promise<void> {
  const version = await eventually('a read of the configuration', completionTimeoutMs, async () => await readVersion(context, state))
  if (version > state.sentVersion) context.violations.push(`version ${version} was never sent`)
}

function countCrashes (servers: readonly SoakServer[]): number {
  let crashes = 0
  for (const server of servers) crashes += server.crashes
  return crashes
}

async function checkCrashingPart (context: SoakContext, servers: readonly SoakServer[]): Promise<void> {
  await pause(contactMs)
  const before = countCrashes(servers)
  await sendCrashingRequests(context, crashingRequests)
  const allowed = Math.max(0, maxCrashes - before) + maxLaterRequests
  const later = countCrashes(servers) - before
  if (later > allowed) context.violations.push(`${later} requests with the crashing part reached servers after ${before} crashes, ${allowed} allowed`)
}

async function checkRequestLimit (context: SoakContext, servers: readonly SoakServer[]): Promise<void> {
  const [server] = servers
  if (server === undefined) return
  server.requestLimit = limitPerSecond
  await pause(contactMs)
  const from = performance.now()
  await pause(limitWindowMs)
  const requests = server.runs.filter(({ at }) => at >= from && at < from + limitWindowMs).length
  if (requests > maxRequestsInWindow) context.violations.push(`${requests} requests in ${limitWindowMs} ms to a server that takes ${limitPerSecond} a second, ${maxRequestsInWindow} allowed`)
  server.requestLimit = undefined
}

function pause (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

function checkRuns (context: SoakContext, servers: readonly SoakServer[]): void {
  const failedRuns = new Map<string, number>()
  for (const { id, path } of servers.flatMap(server => server.runs)) {
    if (path.startsWith(failingPath)) failedRuns.set(id, (failedRuns.get(id) ?? 0) + 1)
  }
  for (const [id, count] of failedRuns) {
    if (count > 3 * itemAttempts) context.violations.push(`${id}: ${count} failed runs where its route allows ${itemAttempts}`)
  }
}
