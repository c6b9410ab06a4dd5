/**
 * Measures jobs on three control processes that sync their logs to disk: items accepted and completed per second, bytes per
 * item between an entry host and the control hosts, and memory. Then checks that a job of 160,000 items and 3,000
 * configuration changes survive kill -9 of all control hosts. Writes bench/results/jobs.json.
 *
 * Usage: npx tsx bench/jobs.ts, after npm run build
 * @module
 */
import { subscribe } from 'node:diagnostics_channel'
import { mkdir, writeFile } from 'node:fs/promises'
import type { Socket } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { eventually } from '../scripts/processes.ts'
import { type Fleet, startFleet } from '../scripts/fleet.ts'
import { type ControlClient, createControlClient } from '../src/connection/controlClient.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { type Command, CommandKind, Ending, type Item, type Outcome, OutcomeKind, Priority } from '../src/process/state/commands.ts'
import { applyCommand, createControlState } from '../src/process/state/controlState.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { QueryKind } from '../src/process/state/queries.ts'
import { createSeededRandom, createSystemRandom } from '../src/process/program/random.ts'
import { poolSchema, routeSchema } from '../src/version/tables.ts'

/** Number of items in the throughput run and in the memory measurement. */
const throughputItems = 100_000

/** Number of items in each run that counts bytes. */
const itemsPerByteRun = 2_000

const itemsPerChunk = 500
const itemsPerClaim = 100
const entryHosts = 12
// The smallest history to check for durability, see docs/design.md, section 11.
const durableItems = 160_000
const durableChanges = 3_000
const callTimeoutMs = 60_000

const clock = createSystemClock()
const lifecycle = createLifecycle()
const sockets = new Set<Socket>()
subscribe('undici:client:connected', message => { sockets.add((message as { socket: Socket }).socket) })

function countBytesOnWire (): number {
  let bytes = 0
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten
  return bytes
}

function createClient (fleet: Fleet, thresholdBytes?: number): ControlClient {
  const clients = createInternalClients(lifecycle, thresholdBytes)
  const controlHosts = fleet.controlHosts.map(host => host.internalAddress)
  return createControlClient({ controlHosts, clients, clock, random: createSystemRandom(), metrics: createMetrics(), signal: lifecycle.signal })
}

async function execute (control: ControlClient, command: Command): Promise<Outcome> {
  const outcome = await control.execute(command, callTimeoutMs)
  if (outcome.isErr()) throw outcome.error
  return outcome.value
}

// Inputs are made of words drawn at random: repeated text would overstate the gain of compression.
const words = 'rack site kerb permit bolt anchor depth lawn core soil spacing council gate north slope drain crew notes visit level'.split(' ')

function createItems (job: number, from: number, count: number): Item[] {
  return Array.from({ length: count }, (_, offset) => {
    const number = from + offset
    const random = createSeededRandom(number * 1_000 + job)
    const input = Array.from({ length: 40 }, () => words[random.below(words.length)]).join(' ')
    return { name: `sheet-${number}`, input: `${number}: ${input}`, maxTokens: 64, priority: number % 4 === 0 ? Priority.RoundSheet : Priority.Ordinary }
  })
}

async function upload (control: ControlClient, id: string, count: number, size = itemsPerChunk): Promise<Outcome> {
  await execute(control, { kind: CommandKind.OpenUpload, upload: id, account: 'bench', key: id, route: 'sheets', due: 0, time: 0 })
  let sequence = 0
  for (let from = 0; from < count; from += size) {
    const items = createItems(id.length, from, Math.min(size, count - from))
    await execute(control, { kind: CommandKind.AppendItems, upload: id, sequence: sequence++, items, time: 0 })
  }
  return await execute(control, { kind: CommandKind.Seal, upload: id, account: 'bench', key: id, digest: id, count, time: 0 })
}

/** Keeps a session alive by polling, as an entry host does, until it is aborted. */
async function keepSession (control: ControlClient, holder: string, signal: AbortSignal): Promise<void> {
  const entryHost = { holder, host: holder, callerAddress: holder, internalAddress: holder, availabilityZone: 'z', region: 'r', draining: false }
  let directoryRevision = ''
  let stoppedIndex = 0
  while (!signal.aborted) {
    const response = await control.watch({ entryHost, version: 1_000_000, stoppedIndex, knownCancelled: [], directoryRevision, immediate: false })
    if (response.isErr()) await clock.sleep(100, signal)
    else ({ directoryRevision, appliedIndex: stoppedIndex } = response.value)
  }
}

/** Claims and completes items until none is waiting. Returns the number of completed items. */
async function claimAndComplete (control: ControlClient, backendServer: string, holder: string, size: number): Promise<number> {
  const lease = await execute(control, { kind: CommandKind.AcquireLease, backendServer, holder, expected: 0 })
  if (lease.kind !== OutcomeKind.Lease || !lease.granted) throw new Error(`lease not granted: ${JSON.stringify(lease)}`)
  let completed = 0
  for (let sequence = 1; ; sequence++) {
    const claimed = await execute(control, { kind: CommandKind.Claim, backendServer, holder, lease: lease.number, sequence, pool: 'sheets', count: size })
    if (claimed.kind !== OutcomeKind.Grants) throw new Error(`claim failed: ${JSON.stringify(claimed)}`)
    if (claimed.grants.length === 0) return completed
    const completions = claimed.grants.map(({ job, position, grant, item }) => ({ job, position, grant, ending: Ending.Done, result: `briefing for ${item.input}` }))
    await execute(control, { kind: CommandKind.Complete, completions })
    completed += completions.length
  }
}

async function measureThroughput (fleet: Fleet): Promise<object> {
  const stopSessions = new AbortController()
  const controls = Array.from({ length: entryHosts }, () => createClient(fleet))
  const sessions = controls.map(async (control, number) => await keepSession(createClient(fleet), `holder-${number}`, stopSessions.signal))
  const startedAt = performance.now()
  await Promise.all(controls.map(async (control, number) => await upload(control, `throughput-${number}`, Math.ceil(throughputItems / entryHosts))))
  const acceptedAt = performance.now()
  const counts = await Promise.all(controls.map(async (control, number) => await claimAndComplete(control, `server-${number}`, `holder-${number}`, itemsPerClaim)))
  const completedAt = performance.now()
  stopSessions.abort()
  await Promise.all(sessions)
  const items = counts.reduce((sum, count) => sum + count, 0)
  const perSecond = (fromMs: number, toMs: number): number => Math.round(items / ((toMs - fromMs) / 1_000))
  return {
    items,
    acceptedPerSecond: perSecond(startedAt, acceptedAt),
    completedPerSecond: perSecond(acceptedAt, completedAt),
    acceptedAndCompletedPerSecond: perSecond(startedAt, completedAt)
  }
}

async function measureBytes (fleet: Fleet, name: string, size: number, thresholdBytes?: number): Promise<object> {
  sockets.clear()
  const control = createClient(fleet, thresholdBytes)
  await upload(control, `bytes-${name}`, itemsPerByteRun, size)
  const accepted = countBytesOnWire()
  const stopSession = new AbortController()
  const session = keepSession(createClient(fleet, thresholdBytes), `holder-${name}`, stopSession.signal)
  await claimAndComplete(control, `server-${name}`, `holder-${name}`, size)
  const completed = countBytesOnWire()
  stopSession.abort()
  await session
  return { name, itemsPerCommand: size, uploadBytesPerItem: Math.round(accepted / itemsPerByteRun), runBytesPerItem: Math.round((completed - accepted) / itemsPerByteRun) }
}

function measureMemory (): object {
  setFlagsFromString('--expose_gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const state = createControlState()
  applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'm', account: 'm', key: 'm', route: 'sheets', due: 0, time: 0 })
  for (let from = 0; from < throughputItems; from += itemsPerChunk) {
    const items = JSON.parse(JSON.stringify(createItems(0, from, itemsPerChunk))) as Item[]
    applyCommand(state, { kind: CommandKind.AppendItems, upload: 'm', sequence: from / itemsPerChunk, items, time: 0 })
  }
  applyCommand(state, { kind: CommandKind.Seal, upload: 'm', account: 'm', key: 'm', digest: 'm', count: throughputItems, time: 0 })
  collectGarbage()
  const bytes = process.memoryUsage().heapUsed - before
  return { items: state.jobs.jobs.get('m')?.items.length, megabytes: Math.round(bytes / 1e6), bytesPerItem: Math.round(bytes / throughputItems) }
}

async function checkDurability (fleet: Fleet): Promise<object> {
  const control = createClient(fleet)
  const startedAt = performance.now()
  await upload(control, 'durable', durableItems)
  const uploadedAt = performance.now()
  const read = await control.read({ kind: QueryKind.Configuration }, callTimeoutMs)
  const first = read.isOk() && read.value.kind === QueryKind.Configuration ? read.value.configuration.version : NaN
  const change = (number: number): Command => ({
    kind: CommandKind.Apply,
    operation: `durable-${number}`,
    expected: first + number,
    tables: { routes: [routeSchema.parse({ name: 'sheets', pool: 'sheets', deadlineMs: 1_000 + number })], pools: [poolSchema.parse({ name: 'sheets' })] }
  })
  for (let number = 0; number < durableChanges; number++) {
    const outcome = await execute(control, change(number))
    if (outcome.kind !== OutcomeKind.Applied) throw new Error(`change ${number} was not applied: ${JSON.stringify(outcome)}`)
  }
  const changedAt = performance.now()
  await Promise.all(fleet.controlHosts.map(async host => await fleet.restart(host, 'SIGKILL')))
  const killedAt = performance.now()
  const status = await eventually('the status of the job after the restart', callTimeoutMs, async () => {
    const response = await control.read({ kind: QueryKind.Job, job: 'durable' })
    return response.isOk() && response.value.kind === QueryKind.Job ? response.value : undefined
  })
  const readAt = performance.now()
  const repeated = await execute(control, change(0))
  const resent = await execute(control, { kind: CommandKind.Seal, upload: 'resent', account: 'bench', key: 'durable', digest: 'durable', count: durableItems, time: 0 })
  const after = await control.read({ kind: QueryKind.Configuration }, callTimeoutMs)
  return {
    items: status.job?.items,
    changes: durableChanges,
    isJobThere: status.job?.items === durableItems,
    isVersionThere: after.isOk() && after.value.kind === QueryKind.Configuration && after.value.configuration.version === first + durableChanges,
    hasFirstOutcome: repeated.kind === OutcomeKind.Applied && repeated.version === first + 1,
    isResentJobTheSame: resent.kind === OutcomeKind.Job && resent.job === 'durable',
    uploadSeconds: (uploadedAt - startedAt) / 1_000,
    changeSeconds: (changedAt - uploadedAt) / 1_000,
    firstReadAfterKillSeconds: (readAt - killedAt) / 1_000
  }
}

const result: Record<string, unknown> = { node: process.version, memory: measureMemory() }
const fleet = await startFleet({ controlHosts: 3, entryHosts: 0 })
try {
  const control = createClient(fleet)
  const tables = { routes: [routeSchema.parse({ name: 'sheets', pool: 'sheets' })], pools: [poolSchema.parse({ name: 'sheets' })] }
  await execute(control, { kind: CommandKind.Apply, operation: 'bench', expected: 0, tables })
  result['bytes'] = [
    await measureBytes(fleet, 'one item, plain', 1, Infinity),
    await measureBytes(fleet, 'batches, plain', itemsPerClaim, Infinity),
    await measureBytes(fleet, 'batches, compressed', itemsPerClaim)
  ]
  result['throughput'] = await measureThroughput(fleet)
  result['durability'] = await checkDurability(fleet)
} finally {
  await lifecycle.close()
  await fleet.close()
  await mkdir(new URL('results/', import.meta.url), { recursive: true })
  await writeFile(new URL('results/jobs.json', import.meta.url), `${JSON.stringify(result, undefined, 2)}\n`)
  process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`)
}
