/**
 * Loss of power of a whole fleet under load: what the leader's processor time goes to, and whether acknowledged jobs can be
 * read again at every gateway.
 * @module
 */
import { readdirSync, statSync } from 'node:fs'
import { basename, join } from 'node:path'
import { Agent, request } from 'undici'
import { eventually } from '../../scripts/processes.ts'
import { createSeededRandom, type Random } from '../../src/process/program/random.ts'
import { Counter } from '../../src/process/program/metrics.ts'
import { type Callers, createCallers, type Job } from './powerLossCallers.ts'
import { type FleetShape, type LogLine, type PowerLossFleet, startPowerLossFleet, toleratedLosses } from './powerLossFleet.ts'
import { type PowerLossServers, slots, startPowerLossServers } from './powerLossServers.ts'
import { formatProfile, readProfileTimes } from './profileTable.ts'

const startTimeoutMs = 30_000
const livePerSecond = 60
const jobsPerSecond = 2

/** Rate of jobs that fills the state at first, and how long. */
const fillJobsPerSecond = 8
const fillMs = 18_000
const settleMs = 12_000
const profileMs = 20_000
const afterRestartMs = 6_000

/** Time after a restart within which all is back, in milliseconds. */
const recoveryMs = 15_000
const readPauseMs = 250
const concurrentReads = 24

/** Fewest and most acknowledged jobs before the power is lost. */
const minJobsBeforeLoss = 20
const maxJobsBeforeLoss = 60

/** Longest wait for them, in milliseconds. */
const maxAcknowledgementMs = 30_000

const resourcesEvent = 108
const interruptedEvent = 624
const sentEvent = 623
const tableRows = 28

/** Number of reasons and procedures that are printed. */
const largestCounts = 16

interface Run {
  readonly servers: PowerLossServers
  readonly fleet: PowerLossFleet
  readonly callers: Callers
}

/** Result of a loss of power together with disks. */
export interface DiskLossReport {
  readonly seed: number
  readonly jobs: number
  readonly lostDisks: readonly number[]
  /** Time from the restart until all jobs were readable at all gateways, in milliseconds; undefined if that was not seen. */
  readonly readableMs: number | undefined
  /** For jobs that were not: time from the end of all submissions until all jobs were readable, in milliseconds; undefined if that was not seen either. */
  readonly readableWithoutLoadMs: number | undefined
  /** Time from the restart until the configuration was read at all control hosts. */
  readonly configurationMs: number | undefined
  readonly violations: readonly string[]
}

/**
 * Profiles the control hosts in four phases and prints the leader's tables.
 * @param shape - size of the fleet
 * @param serverCount - number of backend servers
 * @param seed - seed of the load
 * @param print - receives each part of the report
 * @returns a promise that resolves when the run has ended
 */
export async function profilePowerLoss (shape: FleetShape, serverCount: number, seed: number, print: (text: string) => void): Promise<void> {
  const run = await startRun(shape, serverCount, createSeededRandom(seed))
  const { callers, fleet } = run
  try {
    callers.sendLive(livePerSecond)
    callers.sendJobs(fillJobsPerSecond)
    await pause(fillMs)
    callers.sendJobs(jobsPerSecond)
    await pause(settleMs)
    await profilePhase(run, shape, 'steady load', print)
    await fleet.killAll()
    await fleet.startAll()
    await pause(afterRestartMs)
    await profilePhase(run, shape, 'after the loss of power', print)
    callers.sendLive(0)
    await pause(afterRestartMs)
    await profilePhase(run, shape, 'batch items only', print)
    callers.sendJobs(0)
    callers.abandonJobs()
    await pause(afterRestartMs)
    await profilePhase(run, shape, 'no new jobs', print)
    print(`violations: ${callers.violations.length}\n${callers.violations.slice(0, 20).join('\n')}\nends: ${fleet.ends.slice(0, 10).join('\n')}`)
  } finally {
    await endRun(run)
  }
}

async function profilePhase (run: Run, shape: FleetShape, title: string, print: (text: string) => void): Promise<void> {
  const { callers, fleet, servers } = run
  callers.takeCounts()
  const from = performance.now()
  const runsBefore = servers.runs()
  const counters = await Promise.all(fleet.metrics.map(readResponses))
  fleet.toggleProfiles()
  await pause(profileMs)
  const leader = fleet.leader()
  fleet.toggleProfiles()
  const to = performance.now()
  const position = fleet.controls.findIndex((_, index) => leader === `control-${index}`)
  const responses = await readResponses(fleet.metrics[position] ?? '')
  await pause(1_500)
  const lines = fleet.lines.filter(({ at }) => at >= from && at <= to)
  const events = new Map<number, number>()
  for (const { event } of lines) events.set(event, (events.get(event) ?? 0) + 1)
  const resources = lines.filter(({ event }) => event === resourcesEvent)
  const processor = (name: string): string => resources.filter(({ host }) => host === name).map(({ inputs }) => `${inputs['cpuMs'] ?? 0}/${inputs['residentMb'] ?? 0}MB/${inputs['responses'] ?? 0}r/${Math.round((inputs['responseBytes'] ?? 0) / 1_000)}kB/delay${inputs['longestDelayMs'] ?? 0}`).join('  ')
  const open = callers.jobs.filter(({ completedAt }) => completedAt === undefined).length
  print([
    `## ${title}: leader ${leader}, ${callers.jobs.length} jobs acknowledged, ${open} of them not read to the end`,
    `calls: ${JSON.stringify(callers.takeCounts())}`,
    `runs at servers ${servers.runs() - runsBefore} (all so far: resumed ${servers.resumed()}, refused by full servers ${servers.refused()}); items sent ${events.get(sentEvent) ?? 0}, interrupted ${events.get(interruptedEvent) ?? 0}`,
    `events: ${[...events].sort(([left], [right]) => left - right).map(([event, count]) => `${event}:${count}`).join(' ')}`,
    `reasons: ${formatLargest(countReasons(lines))}`,
    `responses of the leader: ${formatLargest(subtract(responses, counters[position] ?? new Map()))}`,
    'processor ms in 5 s / memory / responses / response bytes / longest delay of the event loop:',
    ...fleet.controls.map((_, index) => `- control-${index}${leader === `control-${index}` ? ' (leader)' : ''}: ${processor(`control-${index}`)}`),
    ...['gateway-0', 'executor-0'].map(name => `- ${name}: ${processor(name)}`)
  ].join('\n'))
  if (shape.profileFolder === undefined) return
  const paths = readdirSync(shape.profileFolder).filter(file => file.startsWith(`${leader}.`)).map(file => join(shape.profileFolder ?? '', file))
  const newest = paths.sort((left, right) => statSync(left).mtimeMs - statSync(right).mtimeMs).at(-1)
  if (newest === undefined) return print('no profile of the leader was written')
  print(formatProfile(`${title}, ${basename(newest)}`, readProfileTimes(newest), tableRows))
}

// Responses of a control host to calls of other hosts, by procedure.
async function readResponses (address: string): Promise<Map<string, number>> {
  const counts = new Map<string, number>()
  try {
    const response = await request(`http://${address}/metrics`, { headersTimeout: 2_000 })
    for (const line of (await response.body.text()).split('\n')) {
      if (line.startsWith(`${Counter.Responses}{`)) counts.set(line.slice(line.indexOf('"') + 1, line.lastIndexOf('"')), Number(line.split(' ').at(-1)))
    }
  } catch {
    // The table lacks the counts of a host that does not answer.
  }
  return counts
}

function subtract (counts: ReadonlyMap<string, number>, earlier: ReadonlyMap<string, number>): Map<string, number> {
  return new Map([...counts].map(([name, count]) => [name, count - (earlier.get(name) ?? 0)]))
}

function countReasons (lines: readonly LogLine[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { event, reason } of lines) {
    if (reason === undefined) continue
    const name = `${event} ${reason}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return counts
}

function formatLargest (counts: ReadonlyMap<string, number>): string {
  return [...counts].sort(([, left], [, right]) => right - left).slice(0, largestCounts).map(([name, count]) => `${name}: ${count}`).join(', ')
}

/**
 * Kills all processes right after acknowledgements, deletes as many data folders as may be lost, starts all processes again
 * and reads each acknowledged job at each gateway.
 * @param shape - size of the fleet
 * @param serverCount - number of backend servers
 * @param seed - seed of the load, the moment and the disks
 * @param print - receives what has been reached, so that a run that is ended early shows how far it came
 * @returns the report
 */
export async function loseDisks (shape: FleetShape, serverCount: number, seed: number, print: (text: string) => void): Promise<DiskLossReport> {
  const random = createSeededRandom(seed)
  const run = await startRun(shape, serverCount, random)
  const { callers, fleet } = run
  try {
    const jobsBeforeLoss = minJobsBeforeLoss + random.below(maxJobsBeforeLoss - minJobsBeforeLoss)
    callers.sendLive(livePerSecond)
    callers.sendJobs(fillJobsPerSecond)
    print(`seed ${seed}: the fleet is ready`)
    await killAfterAcknowledgement(run, jobsBeforeLoss)
    print(`seed ${seed}: killed after ${callers.jobs.length} of ${jobsBeforeLoss} jobs; ${JSON.stringify(callers.takeCounts())}`)
    // An acknowledgement that was under way at the kill counts as well.
    const jobs = [...callers.jobs]
    const lostDisks = shuffle(fleet.controls.map((_, index) => index), random).slice(0, toleratedLosses)
    await fleet.deleteData(lostDisks)
    await fleet.startAll()
    const restartedAt = performance.now()
    const [readable, configuration] = await Promise.all([readEverywhere(run, jobs, restartedAt), readConfigurations(fleet, restartedAt)])
    // Jobs that are readable once nobody submits any more were not lost.
    callers.abandonJobs()
    const readableWithoutLoadMs = readable === undefined ? await readEverywhere(run, jobs, performance.now()) : undefined
    return { seed, jobs: jobs.length, lostDisks, readableMs: readable, readableWithoutLoadMs, configurationMs: configuration, violations: [...callers.violations, ...fleet.ends] }
  } finally {
    await endRun(run)
  }
}

// On a busy machine jobs may not be acknowledged in time; the power is lost then, and the report shows their number.
async function killAfterAcknowledgement ({ callers, fleet }: Run, jobs: number): Promise<void> {
  const due = new Promise<void>(resolve => {
    callers.onAcknowledged = () => { if (callers.jobs.length === jobs) resolve() }
    setTimeout(resolve, maxAcknowledgementMs).unref()
  })
  await due
  callers.sendLive(0)
  callers.sendJobs(0)
  await fleet.killAll()
}

// Returns how long it took until each job was read at each gateway; a read that fails is repeated.
async function readEverywhere ({ callers, fleet }: Run, jobs: readonly Job[], restartedAt: number): Promise<number | undefined> {
  const open = jobs.flatMap(job => fleet.gateways.map(gateway => ({ job, gateway })))
  let unread = open.length
  async function readInTurn (): Promise<void> {
    for (let next = open.shift(); next !== undefined; next = open.shift()) {
      if (performance.now() - restartedAt > 2 * recoveryMs) return
      if (await callers.read(next.job, next.gateway, 0, 0) === '200') {
        unread--
        continue
      }
      open.push(next)
      await pause(readPauseMs)
    }
  }
  await Promise.all(Array.from({ length: concurrentReads }, readInTurn))
  const tookMs = Math.round(performance.now() - restartedAt)
  if (unread > 0) callers.violations.push(`${unread} pairs of job and gateway were not read in ${tookMs} ms`)
  if (tookMs > recoveryMs) callers.violations.push(`readable only after ${tookMs} ms, ${recoveryMs} allowed`)
  return unread === 0 ? tookMs : undefined
}

async function readConfigurations (fleet: PowerLossFleet, restartedAt: number): Promise<number | undefined> {
  for (const control of fleet.controls) {
    let version: number | undefined
    while (version === undefined && performance.now() - restartedAt < 2 * recoveryMs) {
      version = await readVersion(control)
      if (version === undefined) await pause(readPauseMs)
    }
    if (version === undefined) return undefined
    if (version !== publishedVersion) fleet.ends.push(`version ${version} at ${control} instead of ${publishedVersion}`)
  }
  return Math.round(performance.now() - restartedAt)
}

async function readVersion (control: string): Promise<number | undefined> {
  try {
    const response = await request(`http://${control}/v1/config`, { headersTimeout: 1_500 })
    const text = await response.body.text()
    return response.statusCode === 200 ? (JSON.parse(text) as { readonly version: number }).version : undefined
  } catch {
    // The control host can't be reached yet.
    return undefined
  }
}

async function startRun (shape: FleetShape, serverCount: number, random: Random): Promise<Run> {
  const servers = await startPowerLossServers(serverCount, random)
  const fleet = await startPowerLossFleet(shape)
  const callers = createCallers(fleet.gateways, random)
  servers.announce(fleet.controls)
  const agent = new Agent({ headersTimeout: 1_500 })
  await eventually('the version acknowledged', startTimeoutMs, async () => await publish(fleet, agent, random) ? true : undefined)
  await agent.close()
  const probe: Job = { id: 'probe', acknowledgedAt: performance.now(), results: [], completedAt: undefined }
  for (const gateway of fleet.gateways) {
    await eventually(`${gateway} ready`, startTimeoutMs, async () => await callers.read(probe, gateway, 0, 0) === '404' ? true : undefined)
  }
  callers.violations.length = 0
  // Until the servers have announced themselves.
  await pause(2_500)
  return { servers, fleet, callers }
}

async function endRun ({ servers, fleet, callers }: Run): Promise<void> {
  await callers.close()
  await fleet.close()
  servers.close()
}

const publishedVersion = 3

async function publish (fleet: PowerLossFleet, agent: Agent, random: Random): Promise<boolean> {
  const route = { host: 'a.example', timeout_ms: 5_000, slo_ms: 600, service: 's', max_attempts: 3 }
  const body = JSON.stringify({
    version: publishedVersion,
    routes: [
      { ...route, name: 'live', path_prefix: '/live/', kind: 'streaming', resumable: true, gap_target_ms: 250 },
      { ...route, name: 'batch', path_prefix: '/batch/', kind: 'batch', max_queued: 100_000_000, run_target_ms: 10_000, max_wait_s: 100 }
    ],
    services: [{ name: 's', engine: { slots } }],
    limits: { header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  })
  try {
    const response = await request(`http://${fleet.controls[random.below(fleet.controls.length)] ?? ''}/v1/config`, { method: 'PUT', body, dispatcher: agent })
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    // The control hosts have not formed their group yet.
    return false
  }
}

function shuffle<Value> (values: readonly Value[], random: Random): Value[] {
  const shuffled = [...values]
  for (let index = shuffled.length - 1; index > 0; index--) {
    const other = random.below(index + 1)
    const value = shuffled[index] as Value
    shuffled[index] = shuffled[other] as Value
    shuffled[other] = value
  }
  return shuffled
}

function pause (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
