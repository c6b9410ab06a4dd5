/**
 * Measures the costs that docs/CAPACITY.md extrapolates: polls, configuration changes, announcements and live requests, each
 * at three sizes or more. Writes bench/results/capacity.json.
 *
 * Usage: npx tsx bench/capacity.ts, after npm run build
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { setTimeout as pause } from 'node:timers/promises'
import { request } from 'undici'
import { startFleet, type Fleet, type FleetHost } from '../scripts/fleet.ts'
import { findLeader } from '../scripts/controlCalls.ts'
import { eventually } from '../scripts/processes.ts'
import { createControlClient, type ControlClient } from '../src/connection/controlClient.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import type { Announcement } from '../src/connection/share.ts'
import { createBackendServers } from '../src/process/routing/backendServers.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { CommandKind, OutcomeKind } from '../src/process/state/commands.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'
import type { WatchRequest } from '../src/process/state/watchMessages.ts'
import { poolSchema, routeSchema, type Tables } from '../src/version/tables.ts'

const resultFile = fileURLToPath(new URL('results/capacity.json', import.meta.url))
const measureMs = 5_000
/** Longer than the session timeout, so that the sessions of the previous size have expired before the measurement. */
const settleMs = 7_000
const startTimeoutMs = 30_000
const changesPerSize = 10
const clock = createSystemClock()

interface ProcessUsage {
  readonly cpuSeconds: number
  readonly residentBytes: number
}

async function readUsage (host: FleetHost): Promise<ProcessUsage> {
  const response = await request(`http://${host.metricsAddress}/metrics`)
  const text = await response.body.text()
  const read = (name: string): number => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
  return { cpuSeconds: read('process_cpu_seconds_total'), residentBytes: read('process_resident_memory_bytes') }
}

/** Measures the CPU use of a host in cores while `run` is in progress, and its resident memory afterwards. */
async function measureUsage (host: FleetHost, run: () => Promise<void>): Promise<{ readonly cores: number, readonly residentBytes: number }> {
  const before = await readUsage(host)
  const startedAt = clock.now()
  await run()
  const after = await readUsage(host)
  return { cores: (after.cpuSeconds - before.cpuSeconds) * 1_000 / (clock.now() - startedAt), residentBytes: after.residentBytes }
}

interface Poller {
  version: number
}

function describeEntryHost (number: number): WatchRequest['entryHost'] {
  return {
    holder: `bench-${number}/0`,
    host: `bench-${number}`,
    callerAddress: `127.0.0.1:${10_000 + number}`,
    internalAddress: `127.0.0.1:${20_000 + number}`,
    availabilityZone: `zone-${number % 9}`,
    region: `region-${number % 3}`,
    draining: false
  }
}

async function runPoller (control: ControlClient, number: number, poller: Poller, signal: AbortSignal, bodySizes: number[]): Promise<void> {
  let directoryRevision = ''
  while (!signal.aborted) {
    const poll: WatchRequest = {
      entryHost: describeEntryHost(number), version: poller.version, stoppedIndex: 0, knownCancelled: [], directoryRevision, immediate: false
    }
    const response = await control.watch(poll)
    if (response.isErr()) {
      await clock.sleep(50, signal)
      continue
    }
    if (number === 0) bodySizes.push(JSON.stringify(poll).length + JSON.stringify(response.value).length)
    poller.version = Math.max(poller.version, response.value.version)
    directoryRevision = response.value.directoryRevision
  }
}

function benchTables (deadlineOffsetMs: number): Tables {
  const pools = Array.from({ length: 25 }, (_, number) => poolSchema.parse({ name: `pool-${number}` }))
  const routes = Array.from({ length: 50 }, (_, number) => routeSchema.parse({ name: `route-${number}`, pool: `pool-${number % 25}`, deadlineMs: 1_000 + deadlineOffsetMs }))
  return { routes, pools }
}

async function measurePropagation (control: ControlClient, pollers: readonly Poller[], size: number): Promise<number[]> {
  const delays: number[] = []
  for (let change = 0; change < changesPerSize; change++) {
    const expected = Math.max(...pollers.map(poller => poller.version))
    const outcome = await control.execute({ kind: CommandKind.Apply, operation: `${size}-${change}`, expected, tables: benchTables(size + change) })
    if (outcome.isErr() || outcome.value.kind !== OutcomeKind.Applied) throw new Error('the configuration change was not applied')
    const { version } = outcome.value
    const acceptedAt = clock.now()
    await eventually('the new version on all entry hosts', startTimeoutMs, () => pollers.every(poller => poller.version >= version) ? true : undefined)
    delays.push(clock.now() - acceptedAt)
  }
  return delays.sort((left, right) => left - right)
}

async function measurePolls (fleet: Fleet): Promise<object[]> {
  const rows: object[] = []
  const leader = await findLeader(fleet.controlHosts)
  for (const size of [40, 120, 380]) {
    const lifecycle = createLifecycle()
    const clients = createInternalClients(lifecycle)
    const metrics = createMetrics()
    const control = createControlClient({
      controlHosts: [leader.internalAddress], clients, clock, random: createSystemRandom(), metrics, signal: lifecycle.signal
    })
    const pollers: Poller[] = Array.from({ length: size }, () => ({ version: 0 }))
    const bodySizes: number[] = []
    for (const [number, poller] of pollers.entries()) lifecycle.run(signal => runPoller(control, number, poller, signal, bodySizes))
    await pause(settleMs)
    bodySizes.length = 0
    const cpuBefore = process.cpuUsage()
    const used = await measureUsage(leader, () => pause(measureMs))
    const cpuUsed = process.cpuUsage(cpuBefore)
    const polls = bodySizes.length
    const bytesPerPoll = bodySizes.reduce((sum, bytes) => sum + bytes, 0) / Math.max(1, bodySizes.length)
    const delays = await measurePropagation(control, pollers, size)
    rows.push({
      entryHosts: size,
      leaderCore: used.cores,
      leaderResidentBytes: used.residentBytes,
      pollsPerSecondEach: polls * 1_000 / measureMs,
      bodyBytesPerPoll: bytesPerPoll,
      entryHostCore: (cpuUsed.user + cpuUsed.system) / 1_000 / measureMs / size,
      changeEverywhereMs: { p50: delays[Math.floor(delays.length / 2)], max: delays.at(-1) }
    })
    await lifecycle.close()
  }
  return rows
}

function createAnnouncement (number: number, sequence: number): Announcement {
  return {
    address: `10.${number >> 16}.${(number >> 8) & 255}.${number & 255}:8000`,
    availabilityZone: `zone-${number % 9}`,
    region: `region-${number % 3}`,
    pool: `pool-${number % 25}`,
    capacity: 32,
    models: ['model'],
    fencingChecked: true,
    incarnation: '000001764800000-bench',
    sequence,
    leaving: false,
    running: number % 32
  }
}

function measureRegistry (): object[] {
  const rows: object[] = []
  for (const size of [420, 1_400, 4_200]) {
    globalThis.gc?.()
    const before = process.memoryUsage().heapUsed
    const servers = createBackendServers(clock, createSilentLogger())
    for (let number = 0; number < size; number++) servers.recordAnnouncement(createAnnouncement(number, 1), 0)
    globalThis.gc?.()
    const heapBytes = process.memoryUsage().heapUsed - before
    const startedAt = clock.now()
    for (let number = 0; number < size; number++) servers.recordAnnouncement(createAnnouncement(number, 2), 0)
    const renewalMs = clock.now() - startedAt
    rows.push({ backendServers: size, heapBytesEach: heapBytes / size, microsecondsPerRenewal: renewalMs * 1_000 / size, kept: servers.list().length })
  }
  return rows
}

async function sendLiveRequest (address: string, tokens: number): Promise<void> {
  const response = await request(`http://${address}/v1/routes/assist/requests`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'jaychute-account': 'bench' },
    body: JSON.stringify({ input: 'capacity', maxTokens: tokens, stream: true })
  })
  await response.body.dump({ limit: 1_000_000 })
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
}

async function measureLive (fleet: Fleet): Promise<object[]> {
  const entry = fleet.entryHosts[0]
  if (entry === undefined) throw new Error('the fleet has no entry host')
  const rows: object[] = []
  for (const [rate, tokens] of [[25, 20], [50, 20], [100, 20], [50, 5], [50, 80]] as const) {
    let failed = 0
    const used = await measureUsage(entry, async () => {
      const pending: Array<Promise<void>> = []
      const startedAt = clock.now()
      for (let number = 0; number < rate * measureMs / 1_000; number++) {
        await clock.sleep(startedAt + number * 1_000 / rate - clock.now())
        pending.push(sendLiveRequest(entry.callerAddress, tokens).catch(() => { failed++ }))
      }
      await Promise.all(pending)
    })
    rows.push({ requestsPerSecond: rate, tokensEach: tokens, entryCore: used.cores, residentBytes: used.residentBytes, failed })
  }
  return rows
}

async function applyTables (fleet: Fleet): Promise<void> {
  const entry = fleet.entryHosts[0]
  await findLeader(fleet.controlHosts)
  await eventually('a response of the entry host', startTimeoutMs, async () => (await fleet.operate('status')).code === 0 ? true : undefined)
  await eventually('the tables applied', startTimeoutMs, async () => {
    const current = await request(`http://${entry?.administrationAddress}/v1/configuration`)
    const { version } = await current.body.json() as { version?: number }
    if (version === undefined) return undefined
    const tables: Tables = {
      routes: [routeSchema.parse({ name: 'assist', pool: 'assist' })],
      pools: [poolSchema.parse({ name: 'assist', accountConcurrency: 2_000, liveConcurrency: 2_000 })]
    }
    const response = await request(`http://${entry?.administrationAddress}/v1/configuration`, {
      method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ operation: `live-${version}`, expected: version, tables })
    })
    await response.body.dump()
    return response.statusCode === 200 ? true : undefined
  })
  await eventually('a response to a live request', startTimeoutMs, async () => {
    try {
      await sendLiveRequest(entry?.callerAddress ?? '', 1)
      return true
    } catch {
      return undefined
    }
  })
}

const registry = measureRegistry()
const fleet = await startFleet({ controlHosts: 3, entryHosts: 1 })
try {
  for (let number = 0; number < 4; number++) fleet.startStandIn(['--capacity', '64', '--token-ms', '5', '--slowdown-ms', '0'])
  await applyTables(fleet)
  const live = await measureLive(fleet)
  const polls = await measurePolls(fleet)
  const results = { date: new Date().toISOString(), registry, live, polls }
  await writeFile(resultFile, JSON.stringify(results, undefined, 2) + '\n')
  console.log(JSON.stringify(results, undefined, 2))
} finally {
  await fleet.close()
}
