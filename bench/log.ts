/**
 * Measures the replicated log on three control processes: changes and syncs under load, the time without a leader after
 * kill -9, and the start time and bytes on disk by the number of changes. Writes bench/results/log.json.
 *
 * Usage: npm run bench:log; BENCH_CHANGES holds the numbers of changes, separated by commas
 * @module
 */
import { mkdir, readdir, stat, writeFile } from 'node:fs/promises'
import { cpus } from 'node:os'
import { join } from 'node:path'
import { setTimeout } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { changeTables, findLeader, readVersion } from '../scripts/controlCalls.ts'
import { type Fleet, type FleetHost, startFleet } from '../scripts/fleet.ts'
import { eventually } from '../scripts/processes.ts'
import { createControlClient } from '../src/connection/controlClient.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { CommandKind } from '../src/process/state/commands.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'

const writerCounts = [1, 8, 64, 512]
const loadMs = 5_000
const changeCounts = (process.env.BENCH_CHANGES ?? '300,1000,3000,10000').split(',').map(Number)
const failoverCount = 5
const startTimeoutMs = 60_000
const resultsFolder = fileURLToPath(new URL('results', import.meta.url))

interface LoadFigures {
  readonly writers: number
  readonly seconds: number
  readonly acknowledged: number
  readonly failed: number
  readonly changesPerSecond: number
  readonly leaderSyncs: number
  readonly changesPerLeaderSync: number
  readonly followerSyncs: readonly number[]
  readonly p50Ms: number
  readonly p99Ms: number
}

async function readSyncs (host: FleetHost): Promise<number> {
  const response = await request(`http://${host.metricsAddress}/metrics`)
  const match = /jaychute_log_syncs_total\{label="log"\} (\d+)/.exec(await response.body.text())
  return Number(match?.[1] ?? 0)
}

async function measureLoad (fleet: Fleet, writers: number): Promise<LoadFigures> {
  const leader = await findLeader(fleet.controlHosts)
  const followers = fleet.controlHosts.filter(host => host !== leader)
  const lifecycle = createLifecycle()
  const control = createControlClient({
    controlHosts: [leader.internalAddress],
    clients: createInternalClients(lifecycle),
    clock: createSystemClock(),
    random: createSystemRandom(),
    metrics: createMetrics(),
    signal: lifecycle.signal
  })
  const before = await Promise.all([leader, ...followers].map(readSyncs))
  const latencies: number[] = []
  let failed = 0
  const startedAt = performance.now()
  async function write (writer: number): Promise<void> {
    for (let number = 0; performance.now() - startedAt < loadMs; number++) {
      const sentAt = performance.now()
      const outcome = await control.execute({ kind: CommandKind.DiscardUpload, upload: `${writers}-${writer}-${number}` })
      if (outcome.isOk()) latencies.push(performance.now() - sentAt)
      else failed++
    }
  }
  await Promise.all(Array.from({ length: writers }, (_, writer) => write(writer)))
  const seconds = (performance.now() - startedAt) / 1_000
  const after = await Promise.all([leader, ...followers].map(readSyncs))
  await lifecycle.close()
  const [leaderSyncs = 0, ...followerSyncs] = after.map((value, position) => value - (before[position] ?? 0))
  latencies.sort((left, right) => left - right)
  const percentile = (share: number): number => latencies[Math.floor(latencies.length * share)] ?? 0
  return {
    writers,
    seconds,
    acknowledged: latencies.length,
    failed,
    changesPerSecond: latencies.length / seconds,
    leaderSyncs,
    changesPerLeaderSync: latencies.length / leaderSyncs,
    followerSyncs,
    p50Ms: percentile(0.5),
    p99Ms: percentile(0.99)
  }
}

// Measures the time from SIGKILL to the leader until another host is leader and has applied an entry. Then
// restarts the killed host and waits until it has a change that was made without it.
async function measureFailover (fleet: Fleet, version: number): Promise<number> {
  const leader = await findLeader(fleet.controlHosts)
  const remaining = fleet.controlHosts.filter(host => host !== leader)
  const killedAt = performance.now()
  await leader.program.end('SIGKILL')
  await findLeader(remaining)
  const leaderMs = performance.now() - killedAt
  await changeTables(remaining, version)
  await fleet.restart(leader, 'SIGKILL')
  await eventually('the change on the restarted host', startTimeoutMs, async () => await readVersion(leader) === version + 1 ? true : undefined)
  return leaderMs
}

async function measureStart (fleet: Fleet, version: number): Promise<object> {
  const leader = await findLeader(fleet.controlHosts)
  const follower = fleet.controlHosts.find(host => host !== leader)
  if (follower === undefined) throw new Error('there is no follower')
  // Leaves time for a snapshot in progress to be written.
  await setTimeout(1_000)
  const folder = join(fleet.folder, follower.name)
  const files: Record<string, number> = {}
  for (const name of await readdir(folder)) files[name] = (await stat(join(folder, name))).size
  await follower.program.end('SIGKILL')
  const startedAt = performance.now()
  await fleet.restart(follower, 'SIGKILL')
  await eventually('the start event in the log of the follower', startTimeoutMs, () => follower.program.errors().includes('"event":100') ? true : undefined)
  const startMs = performance.now() - startedAt
  const bytesOnDisk = Object.values(files).reduce((sum, size) => sum + size, 0)
  return { changes: version, startMs, bytesOnDisk, files }
}

async function withFleet<Value> (measure: (fleet: Fleet) => Promise<Value>): Promise<Value> {
  const fleet = await startFleet({ controlHosts: 3, entryHosts: 0 })
  try {
    await findLeader(fleet.controlHosts)
    return await measure(fleet)
  } finally {
    await fleet.close()
  }
}

const load = await withFleet(async fleet => {
  const figures: LoadFigures[] = []
  for (const writers of writerCounts) {
    figures.push(await measureLoad(fleet, writers))
    console.log(JSON.stringify(figures.at(-1)))
  }
  return figures
})
const withoutLeaderMs = await withFleet(async fleet => {
  const times: number[] = []
  for (let failover = 0; failover < failoverCount; failover++) {
    times.push(await measureFailover(fleet, failover))
    console.log(`time without a leader: ${times.at(-1)} ms`)
  }
  return times
})
const starts = await withFleet(async fleet => {
  const figures: object[] = []
  let version = 0
  for (const count of changeCounts) {
    const leader = await findLeader(fleet.controlHosts)
    while (version < count) version = await changeTables([leader], version)
    figures.push(await measureStart(fleet, version))
    console.log(JSON.stringify(figures.at(-1)))
  }
  return figures
})
await mkdir(resultsFolder, { recursive: true })
const results = { processors: cpus().length, node: process.version, load, withoutLeaderMs, starts }
await writeFile(join(resultsFolder, 'log.json'), `${JSON.stringify(results, undefined, 2)}\n`)
