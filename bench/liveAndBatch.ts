/**
 * Compares how live requests and batch items share one fleet of real processes: live alone, batch alone, and both under the
 * naive dispatcher and under jaychute with each preference. All runs have the same intended start times of live requests.
 *
 * Usage: npm run bench -- [--json FILE] [--servers N], takes less than 60 s
 * @module
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { dirname } from 'node:path'
import { parseArgs } from 'node:util'
import { createParser } from 'eventsource-parser'
import { Pool, request } from 'undici'
import { eventually, reserveAddresses } from '../scripts/processes.ts'
import { type Fleet, startFleet } from '../scripts/fleet.ts'
import { type EngineRecords, livePrefix, measureIdleShare, measureYield, readRecords } from './engineRecords.ts'
import { type LiveFigures, type LiveSender, type LoadShape, readQuantiles, runLiveLoad } from './load.ts'
import { createNaiveDispatcher } from './naive.ts'
import { printReport, type Report, type RunReport } from './report.ts'
import { readCounters, subtractCounters } from './counters.ts'

const { values: flags } = parseArgs({
  options: { json: { type: 'string', default: 'bench/results/liveAndBatch.json' }, servers: { type: 'string', default: '6' } }
})
// Six backend servers by default, as in docs/design.md, section 1.5. The request rate is proportional to their number, so that
// the load of each stays the same. With 18 a run has 968 live requests, ten of them at or above the p99.
const backendServers = Number(flags.servers)
const shape: LoadShape = {
  seed: 20261204, durationMs: 8_000, perSecond: 5 * backendServers, burstFromMs: 5_000, burstToMs: 6_500, burstPerSecond: 10 * backendServers
}
const batchAloneMs = 4_000
const batchConcurrency = 8
const liveTokens = 5
const itemTokens = 20
const jobItems = 500 * backendServers
const startTimeoutMs = 20_000
// The delays of the design page (0.63 s to first token and 65 ms between tokens at p95) divided by about 8, so that a short
// run has enough requests for a p99. The delays of jaychute itself are not scaled.
const engine = { tokenMs: 8, slowdownMs: 0.5, prefillMs: 25, prefixes: 32, capacity: 16 }
const sheetInstruction = 'Turn the install sheet below into the briefing of tomorrow for the crew of the rack. '

interface Bench {
  readonly fleet: Fleet
  readonly engines: readonly string[]
  readonly callerPools: readonly Pool[]
  /** Number of records already read from each engine, by address. */
  readonly knownCounts: Map<string, number>
}

async function callAdministration (bench: Bench, path: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', body?: string, type = 'application/json'): Promise<any> {
  const response = await request(`http://${bench.fleet.entryHosts[0]?.administrationAddress}${path}`, {
    method, headers: { 'content-type': type }, ...(body === undefined ? {} : { body })
  })
  const text = await response.body.text()
  if (response.statusCode >= 300) throw new Error(`${method} ${path}: ${response.statusCode} ${text}`)
  return text === '' ? undefined : JSON.parse(text)
}

async function applyPreference (bench: Bench, preference: string): Promise<void> {
  const current = await callAdministration(bench, '/v1/configuration', 'GET') as { version: number }
  const tables = {
    routes: [{ name: 'rack-assist', pool: 'assist' }],
    pools: [{ name: 'assist', preference, batchConcurrency, accountConcurrency: 1_000 }]
  }
  await callAdministration(bench, '/v1/configuration', 'PUT', JSON.stringify({ operation: `bench-${current.version}`, expected: current.version, tables }))
  // Entry hosts poll every second, so that a change is in effect on all of them after 1 s.
  await new Promise(resolve => setTimeout(resolve, 1_000))
}

async function submitJob (bench: Bench, key: string): Promise<string> {
  const lines: string[] = []
  for (let number = 0; number < jobItems; number++) {
    lines.push(JSON.stringify({ name: `sheet-${number}`, input: `${sheetInstruction}${key} ${number}`, maxTokens: itemTokens }))
  }
  const response = await request(`http://${bench.fleet.entryHosts[0]?.callerAddress}/v1/jobs/${key}?route=rack-assist`, {
    method: 'PUT', headers: { 'content-type': 'application/x-ndjson', 'jaychute-account': 'rothar' }, body: lines.join('\n')
  })
  const text = await response.body.text()
  if (response.statusCode >= 300) throw new Error(`job was not accepted: ${response.statusCode} ${text}`)
  return (JSON.parse(text) as { job: string }).job
}

async function countDone (bench: Bench, job: string): Promise<number> {
  return ((await callAdministration(bench, `/v1/jobs/${job}`, 'GET')) as { done: number }).done
}

function createLiveSender (bench: Bench, run: string): LiveSender {
  return async (number, onToken) => {
    const caller = bench.callerPools[number % bench.callerPools.length]
    if (caller === undefined) return 'no entry host'
    let end = 'incomplete'
    const parser = createParser({
      onEvent (event) {
        if (event.event === 'token') onToken()
        else end = event.event === 'done' ? 'done' : parseReason(event.data)
      }
    })
    try {
      const response = await caller.request({
        path: '/v1/routes/rack-assist/requests',
        method: 'POST',
        headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar', 'jaychute-request-id': `${livePrefix}${run}-${number}` },
        body: JSON.stringify({ input: `${number} of ${run}: is the wall at this bay fit for drilling?`, maxTokens: liveTokens, stream: true })
      })
      if (response.statusCode !== 200) return parseReason(await response.body.text())
      for await (const chunk of response.body) parser.feed(String(chunk))
    } catch (error) {
      return String(error)
    }
    return end
  }
}

function parseReason (body: string): string {
  return (JSON.parse(body) as { error?: { reason?: string } }).error?.reason ?? 'unknown'
}

function createRunReport (name: string, live: LiveFigures | undefined, items: number, durationMs: number, records: readonly EngineRecords[], counters: Record<string, number>): RunReport {
  return {
    name,
    firstTokenMs: live === undefined ? undefined : readQuantiles(live.firstToken),
    betweenTokensMs: live === undefined ? undefined : readQuantiles(live.betweenTokens),
    requests: live?.firstToken.totalCount ?? 0,
    ends: live?.ends ?? {},
    itemsPerSecond: items * 1000 / durationMs,
    idleShare: measureIdleShare(records, durationMs),
    yield: measureYield(records),
    counters
  }
}

async function runJaychute (bench: Bench, name: string, withLive: boolean, withBatch: boolean, durationMs: number): Promise<RunReport> {
  const job = withBatch ? await submitJob(bench, name.replaceAll(' ', '-')) : undefined
  if (job !== undefined) await eventually('a completed item of the job', startTimeoutMs, async () => await countDone(bench, job) > 0 ? true : undefined)
  await readRecords(bench.engines, bench.knownCounts)
  const countersBefore = await readCounters(bench.fleet)
  const doneBefore = job === undefined ? 0 : await countDone(bench, job)
  const startedAt = performance.now()
  const live = withLive ? await runLiveLoad(shape, createLiveSender(bench, name.replaceAll(' ', '-'))) : undefined
  if (live === undefined) await new Promise(resolve => setTimeout(resolve, durationMs))
  const items = job === undefined ? 0 : await countDone(bench, job) - doneBefore
  const tookMs = performance.now() - startedAt
  const records = await readRecords(bench.engines, bench.knownCounts)
  const counters = subtractCounters(await readCounters(bench.fleet), countersBefore)
  if (job !== undefined) await callAdministration(bench, `/v1/jobs/${job}`, 'DELETE')
  return createRunReport(name, live, items, tookMs, records, counters)
}

async function runNaive (bench: Bench): Promise<RunReport> {
  const naive = createNaiveDispatcher(bench.engines)
  await readRecords(bench.engines, bench.knownCounts)
  const stop = new AbortController()
  let items = 0
  const workers = Array.from({ length: backendServers * batchConcurrency }, async (_, worker) => {
    for (let number = 0; !stop.signal.aborted; number++) {
      const input = `${sheetInstruction}naive ${worker} ${number}`
      if (await naive.run({ requestId: `naive-${worker}-${number}`, input, maxTokens: itemTokens, onToken () {} })) items++
    }
  })
  const startedAt = performance.now()
  const live = await runLiveLoad(shape, async (number, onToken) => {
    const input = `${number} of naive: is the wall at this bay fit for drilling?`
    return await naive.run({ requestId: `${livePrefix}naive-${number}`, input, maxTokens: liveTokens, onToken }) ? 'done' : 'failed'
  })
  const completed = items
  const tookMs = performance.now() - startedAt
  stop.abort()
  await Promise.all(workers)
  const records = await readRecords(bench.engines, bench.knownCounts)
  await naive.close()
  return createRunReport('naive', live, completed, tookMs, records, { retries: naive.retries })
}

async function startBench (): Promise<Bench> {
  const fleet = await startFleet({ controlHosts: 1, entryHosts: 3 })
  const zones = ['zone-a', 'zone-b', 'zone-c']
  const engines = await reserveAddresses(backendServers)
  for (const [number, address] of engines.entries()) {
    const zone = zones[number % zones.length] ?? ''
    const engineFlags = ['--port', String(address.split(':')[1]), '--availability-zone', zone, '--region', zone === 'zone-c' ? 'region-b' : 'region-a']
    for (const [key, value] of Object.entries(engine)) engineFlags.push(`--${key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`, String(value))
    fleet.startStandIn(engineFlags)
  }
  const callerPools = fleet.entryHosts.map(host => new Pool(`http://${host.callerAddress}`, { connections: 512, pipelining: 1 }))
  const bench: Bench = { fleet, engines, callerPools, knownCounts: new Map() }
  await eventually('control', startTimeoutMs, async () => {
    try {
      await applyPreference(bench, 'latency')
      return true
    } catch {
      return undefined
    }
  })
  for (const host of fleet.entryHosts) {
    await eventually('all backend servers announced', startTimeoutMs, async () => {
      const response = await request(`http://${host.administrationAddress}/v1/status`)
      const status = await response.body.json() as { entry?: { backendServers: object[] } }
      return status.entry?.backendServers.length === backendServers ? true : undefined
    })
  }
  return bench
}

async function runAll (bench: Bench): Promise<RunReport[]> {
  const runs: RunReport[] = []
  // Warm-up: the first requests of a process are slowed by compilation and by opening connections.
  await runLiveLoad({ ...shape, durationMs: 1_500, burstFromMs: 0, burstToMs: 0 }, createLiveSender(bench, 'warm-up'))
  runs.push(await runJaychute(bench, 'live alone', true, false, shape.durationMs))
  runs.push(await runJaychute(bench, 'batch alone', false, true, batchAloneMs))
  runs.push(await runNaive(bench))
  runs.push(await runJaychute(bench, 'latency', true, true, shape.durationMs))
  await applyPreference(bench, 'throughput')
  runs.push(await runJaychute(bench, 'throughput', true, true, shape.durationMs))
  return runs
}

const bench = await startBench()
try {
  const report: Report = { shape, engine, backendServers, batchConcurrency, liveTokens, itemTokens, runs: await runAll(bench) }
  printReport(report)
  await mkdir(dirname(flags.json), { recursive: true })
  await writeFile(flags.json, `${JSON.stringify(report, undefined, 2)}\n`)
} finally {
  for (const caller of bench.callerPools) await caller.destroy()
  await bench.fleet.close()
}
