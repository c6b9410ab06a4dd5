/**
 * Measures the memory of three control hosts that take jobs of the size of a day: jobs are submitted, their items are finished
 * by saved progress, and their results are read, while one follower is slow and is stopped for a while. Prints the highest values
 * of each host, the mappings of the leader at the end, and a line for each interval.
 *
 * Usage: node scripts/bundle.mjs target, then npx tsx bench/memory.ts; options are environment variables, see `readOptions`
 * @module
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtemp, readdir, readFile, rm, stat, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { connect } from 'node:net'
import { eventually, reserveAddresses } from '../scripts/processes.ts'
import { type ControlClient, createControlClient, ReadTarget } from '../src/connection/controlClient.ts'
import { encodeMessage } from '../src/connection/frames.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import type { SubmittedItem } from '../src/process/jobs/submission.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom, createSystemRandom } from '../src/process/program/random.ts'
import { type Command, CommandKind, Ending } from '../src/process/state/commands.ts'
import { QueryKind } from '../src/process/state/queries.ts'

const startTimeoutMs = 20_000
const bytesPerMebibyte = 1024 * 1024
const bytesPerKibibyte = 1024
const reportIntervalMs = 5_000
const readTimeoutMs = 5_000
const ips = ['127.0.0.1', '127.0.0.2', '127.0.0.3']

function readNumber (name: string, value: number): number {
  return Number(process.env[name] ?? value)
}

const options = {
  /** Folder of the bundle. */
  target: resolve(process.env['TARGET'] ?? 'target'),
  flags: (process.env['NODE_FLAGS'] ?? '--max-old-space-size=96 --max-semi-space-size=2').split(' '),
  jobs: readNumber('JOBS', 300),
  itemsPerJob: readNumber('ITEMS', 10),
  bodyBytes: readNumber('BODY', 15_000),
  eventsPerChunk: readNumber('EVENTS', 144),
  chunksPerItem: readNumber('CHUNKS', 1),
  eventCharacters: 30,
  /** Interval between two jobs, in milliseconds; 0 submits all at once. */
  jobIntervalMs: readNumber('INTERVAL', 200),
  /** Time from the acceptance of a job until its first item finishes, in milliseconds. */
  runMs: readNumber('RUN', 3_000),
  /** Followers whose connections are read slowly. */
  slowFollowers: readNumber('SLOW', 1),
  bytesPerSecond: readNumber('RATE', 400_000),
  /** Time for which a follower is stopped, in milliseconds. */
  pauseMs: readNumber('PAUSE', 8_000),
  /** Hosts that submit jobs, each over connections of its own. */
  clients: readNumber('CLIENTS', 30),
  readers: readNumber('READERS', 1),
  submitTimeoutMs: readNumber('SUBMIT_TIMEOUT', 3_000),
  quietMs: readNumber('QUIET', 5_000),
  /** Hosts that read no responses at the end, and the reads of job results that each has outstanding. */
  stalledHosts: readNumber('STALLED', 0),
  readsPerStalledHost: readNumber('CALLS', 100)
}

interface Sample {
  readonly at: number
  readonly rss: number
  readonly heapTotal: number
  readonly heapUsed: number
  readonly external: number
  readonly arrayBuffers: number
}

interface Host {
  readonly ip: string
  readonly child: ChildProcess
  readonly probeFile: string
  output: string
}

const clock = createSystemClock()
const lifecycle = createLifecycle()
const folder = await mkdtemp(join(tmpdir(), 'jaychute-memory-'))
const [controlPort = 0, operatorPort = 0, directoryPort = 0] = (await reserveAddresses(3)).map(address => Number(address.split(':')[1]))
const words = 'rack site kerb permit bolt anchor depth lawn core soil spacing council gate north slope drain crew notes visit level'.split(' ')
const probe = fileURLToPath(new URL('../scripts/memoryProbe.mjs', import.meta.url))

async function startHost (ip: string): Promise<Host> {
  const settingsFile = join(folder, `${ip}.json`)
  const probeFile = join(folder, `${ip}.samples`)
  await writeFile(probeFile, '')
  await writeFile(settingsFile, JSON.stringify({
    role: 'control',
    host: `control-${ip}`,
    address: ip,
    availabilityZone: 'z1',
    region: 'r1',
    regions: { z1: 'r1' },
    seeds: ips.map(seed => `${seed}:${operatorPort}`).join(','),
    controlPort,
    form: true,
    controlAddress: `${ip}:${operatorPort}`,
    directoryAddress: `${ip}:${directoryPort}`,
    dataFolder: join(folder, ip),
    heartbeatMs: 1_200
  }))
  const child = spawn(process.execPath, [...options.flags, '--import', probe, join(options.target, 'jaychuteHost.js'), '--settings-file', settingsFile], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, MEMORY_PROBE: probeFile, MEMORY_PROBE_RATE: String(options.bytesPerSecond) }
  })
  const host: Host = { ip, child, probeFile, output: '' }
  child.stdout?.on('data', (chunk: Buffer) => { host.output += chunk.toString() })
  child.stderr?.on('data', (chunk: Buffer) => { host.output += chunk.toString() })
  return host
}

function createClient (addresses: readonly string[], readTarget: ReadTarget): ControlClient {
  return createControlClient({ controlHosts: addresses, readTarget, clients: createInternalClients(lifecycle), clock, random: createSystemRandom(), metrics: createMetrics(), signal: lifecycle.signal })
}

function createBody (seed: number): Buffer {
  const random = createSeededRandom(seed)
  let text = ''
  while (text.length < options.bodyBytes) text += `${words[random.below(words.length)]}${random.below(1_000)} `
  return Buffer.from(text.slice(0, options.bodyBytes))
}

function createItems (job: number): SubmittedItem[] {
  return Array.from({ length: options.itemsPerJob }, (_, position) => ({ id: `item-${job}-${position}`, path: '/batch/', headers: { 'content-type': 'application/json' }, body: createBody(job * options.itemsPerJob + position), tokens: 500 }))
}

function createEvents (seed: number): string[] {
  const random = createSeededRandom(seed)
  return Array.from({ length: options.eventsPerChunk }, () => {
    let text = ''
    while (text.length < options.eventCharacters) text += `${words[random.below(words.length)]}${random.below(100)} `
    return text.slice(0, options.eventCharacters)
  })
}

async function readSamples (host: Host): Promise<Sample[]> {
  const text = await readFile(host.probeFile, 'utf8')
  return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Sample)
}

function toMebibytes (bytes: number): number {
  return Math.round(bytes / bytesPerMebibyte * 10) / 10
}

function describe ({ rss, heapUsed, heapTotal, external, arrayBuffers }: Sample): object {
  return { rss: toMebibytes(rss), heapUsed: toMebibytes(heapUsed), heapTotal: toMebibytes(heapTotal), external: toMebibytes(external), arrayBuffers: toMebibytes(arrayBuffers) }
}

function combineHighest (samples: readonly Sample[]): Sample {
  return samples.reduce((left, right) => ({
    at: right.at,
    rss: Math.max(left.rss, right.rss),
    heapTotal: Math.max(left.heapTotal, right.heapTotal),
    heapUsed: Math.max(left.heapUsed, right.heapUsed),
    external: Math.max(left.external, right.external),
    arrayBuffers: Math.max(left.arrayBuffers, right.arrayBuffers)
  }))
}

/** Sums the resident size of the mappings of a process by kind, in MiB. */
async function readMappings (pid: number): Promise<Record<string, number>> {
  const sums: Record<string, number> = {}
  let kind = ''
  for (const line of (await readFile(`/proc/${pid}/smaps`, 'utf8')).split('\n')) {
    const header = /^[0-9a-f]+-[0-9a-f]+ (\S+) \S+ \S+ \d+\s*(.*)$/.exec(line)
    if (header !== null) {
      const name = header[2] ?? ''
      if (name === '[heap]') kind = 'malloc main arena'
      else if (name.startsWith('/')) kind = 'files'
      else kind = name === '' ? 'anonymous' : name
    }
    const resident = /^Rss:\s+(\d+) kB/.exec(line)
    if (resident !== null) sums[kind] = (sums[kind] ?? 0) + Number(resident[1]) * bytesPerKibibyte
  }
  return Object.fromEntries(Object.entries(sums).filter(([, bytes]) => bytes > bytesPerMebibyte).map(([name, bytes]) => [name, toMebibytes(bytes)]))
}

async function countFileBytes (path: string): Promise<Record<string, number>> {
  const files: Record<string, number> = {}
  for (const name of await readdir(path)) files[name] = toMebibytes((await stat(join(path, name))).size)
  return files
}

const hosts = await Promise.all(ips.map(startHost))
const startedAt = Date.now()
const counts = { submitted: 0, refused: 0, finished: 0, failedCommands: 0, read: 0, failedReads: 0 }
const failures = new Map<string, number>()

function countFailure (name: string): void {
  failures.set(name, (failures.get(name) ?? 0) + 1)
}

const isExited = (host: Host): boolean => host.child.exitCode !== null || host.child.signalCode !== null

try {
  // The log event of a start of leadership.
  const leader = await eventually('a leader', startTimeoutMs, () => hosts.find(host => host.output.includes('"event":204')))
  process.stdout.write(`options ${JSON.stringify(options)}\nleader ${leader.ip}\n`)
  for (const follower of hosts.filter(host => host !== leader).slice(0, options.slowFollowers)) follower.child.kill('SIGUSR2')
  const addresses = [leader.ip, ...ips.filter(ip => ip !== leader.ip)].map(ip => `${ip}:${controlPort}`)
  const controls = Array.from({ length: options.clients }, () => createClient(addresses, ReadTarget.Leader))

  async function execute (control: ControlClient, command: Command): Promise<void> {
    const outcome = await control.execute(command, 10_000)
    if (outcome.isOk()) return
    counts.failedCommands++
    countFailure(`${command.kind}: ${outcome.error.reason}`)
  }

  async function runJob (number: number): Promise<void> {
    const control = controls[number % controls.length] as ControlClient
    const job = `job-${number}`
    const submission = { id: job, host: 'a.example', route: 'batch', pathPrefix: '/batch/', items: createItems(number), acceptedAt: 0, giveUpAt: 0 }
    const outcome = await control.execute({ kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 }, options.submitTimeoutMs)
    if (outcome.isErr()) {
      counts.refused++
      countFailure(`submit: ${outcome.error.reason}`)
      return
    }
    counts.submitted++
    await clock.sleep(options.runMs, lifecycle.signal)
    const items = submission.items.map(({ id }) => id)
    for (let chunk = 0; chunk < options.chunksPerItem; chunk++) {
      const pieces = items.map((item, position) => ({ job, item, from: chunk * options.eventsPerChunk, data: createEvents(number * 100 + position + chunk), lastEvent: (chunk + 1) * options.eventsPerChunk, run: `run-${item}` }))
      await execute(control, { kind: CommandKind.SaveProgress, pieces })
    }
    await execute(control, { kind: CommandKind.FinishItems, results: items.map(item => ({ job, item, ending: Ending.Done, output: '', savedEvents: options.chunksPerItem * options.eventsPerChunk })) })
    counts.finished += items.length
    await readJob(control, job)
  }

  async function readJob (control: ControlClient, job: string): Promise<void> {
    for (let reader = 0; reader < options.readers; reader++) {
      const response = await control.read({ kind: QueryKind.SubmissionResults, job, after: 0, waitMs: 0 }, readTimeoutMs)
      if (response.isOk()) counts.read++
      else counts.failedReads++
    }
  }

  async function measureStalledHosts (leader: Host): Promise<void> {
    const report = async (text: string): Promise<void> => { process.stdout.write(`${text} ${JSON.stringify(describe((await readSamples(leader)).at(-1) as Sample))}\n`) }
    await report('before the stalled reads')
    const sockets = Array.from({ length: options.stalledHosts }, () => connect(controlPort, leader.ip))
    for (const socket of sockets) {
      socket.on('error', () => {})
      for (let call = 1; call <= options.readsPerStalledHost; call++) {
        socket.write(await encodeMessage([call, 'control.read', { kind: QueryKind.SubmissionResults, job: `job-${call % options.jobs}`, after: 0, waitMs: 0 }], Infinity))
      }
    }
    await clock.sleep(options.quietMs, lifecycle.signal)
    await report('during the stalled reads')
    for (const socket of sockets) socket.destroy()
  }

  const isRunning = new AbortController()
  const reports = (async () => {
    while (!isRunning.signal.aborted) {
      await clock.sleep(reportIntervalMs, isRunning.signal)
      const samples = await Promise.all(hosts.map(readSamples))
      process.stdout.write(`${Math.round((Date.now() - startedAt) / 1_000)} s ${JSON.stringify(counts)} ${samples.map(of => of.at(-1) === undefined ? '-' : JSON.stringify(describe(of.at(-1) as Sample))).join(' ')}\n`)
    }
  })()
  const jobs: Array<Promise<void>> = []
  for (let number = 0; number < options.jobs; number++) {
    jobs.push(runJob(number))
    if (options.pauseMs > 0 && number === Math.floor(options.jobs / 3)) {
      const stopped = hosts.find(host => host !== leader)
      stopped?.child.kill('SIGSTOP')
      setTimeout(() => stopped?.child.kill('SIGCONT'), options.pauseMs)
    }
    if (options.jobIntervalMs > 0) await clock.sleep(options.jobIntervalMs, lifecycle.signal)
  }
  await Promise.all(jobs)
  await clock.sleep(options.quietMs, lifecycle.signal)
  if (options.stalledHosts > 0) await measureStalledHosts(leader)
  isRunning.abort()
  await reports
  for (const host of hosts) {
    const samples = await readSamples(host)
    const highest = samples.reduce((left, right) => left.rss > right.rss ? left : right)
    process.stdout.write(`${host.ip}${host === leader ? ' leader' : ''}${isExited(host) ? ` EXITED ${host.child.exitCode} ${host.child.signalCode}` : ''} start ${JSON.stringify(describe(samples[0] as Sample))} highest ${JSON.stringify(describe(highest))} at ${Math.round((highest.at - startedAt) / 1_000)} s, highest of each ${JSON.stringify(describe(combineHighest(samples)))}\n`)
    if (!isExited(host)) process.stdout.write(`  mappings ${JSON.stringify(await readMappings(host.child.pid ?? 0))} files ${JSON.stringify(await countFileBytes(join(folder, host.ip)))} leaderships ${host.output.split('"event":204').length - 1} ends ${host.output.split('"event":205').length - 1} snapshots ${host.output.split('"event":208').length - 1}\n`)
    if (isExited(host)) process.stdout.write(`  ${host.output.slice(-1_500)}\n`)
  }
  process.stdout.write(`counts ${JSON.stringify(counts)} failures ${JSON.stringify(Object.fromEntries(failures))}\n`)
} finally {
  await lifecycle.close()
  for (const { child } of hosts) {
    child.kill('SIGCONT')
    child.kill('SIGKILL')
  }
  await rm(folder, { recursive: true, force: true })
}
