/**
 * Job owners and operators of the soak. Each checks what it sees against the promises of the pages and notes what
 * breaks them.
 * @module
 */
import { request } from 'undici'
import type { Random } from '../../src/process/program/random.ts'
import type { SoakFleet } from './soakFleet.ts'
import { areInSequence, decodeOutput, describeMixedVersions } from './soakEvents.ts'
import { isKeyedJob, jobKeys, keyedPath, type KeyWithdrawal, listTenants, recordAcknowledgement } from './soakAccounts.ts'
import { crashingPart, failingPath } from './soakServers.ts'

/** Time for which callers and operators wait for an answer, in milliseconds. */
export const callTimeoutMs = 5_000
const jobIntervalMs = 400
const versionIntervalMs = 700
const readIntervalMs = 150

/** Time after an acknowledgement from which every gateway must serve by the version, in milliseconds. */
const versionInForceMs = 2_500

/** Time after a disturbance of a gateway from which that counts for it, in milliseconds. */
const contactMs = 4_000
const itemsPerJob = 4
const submitAttempts = 12

/** Maximum number of failed runs of an item, as the route of the soak allows it. */
export const itemAttempts = 3

/** What the clients of one run share. */
export interface SoakContext {
  readonly fleet: SoakFleet
  readonly random: Random
  /** Broken promises. */
  readonly violations: string[]
  /** Ends the clients. */
  readonly signal: AbortSignal
}

/** A job that was acknowledged. */
export interface SoakJob {
  readonly id: string
  readonly items: readonly string[]
  /** Results as read first, by position. */
  readonly results: string[]
  isComplete: boolean
}

/** What operators know. */
export interface OperatorState {
  acknowledgedVersion: number
  sentVersion: number
  readonly withdrawal: KeyWithdrawal
}

/** Result of a call. */
interface Answer {
  readonly status: number
  readonly text: string
}

/**
 * Submits jobs until the signal aborts; each third one has an item that fails at each run.
 * @param context - the run
 * @returns the acknowledged jobs
 */
export async function runJobOwner (context: SoakContext): Promise<SoakJob[]> {
  const jobs: SoakJob[] = []
  let number = 0
  while (!context.signal.aborted) {
    const id = `job-${number++}`
    const items = Array.from({ length: itemsPerJob }, (_, index) => `${id}-${index}`)
    const body = JSON.stringify({
      items: items.map((item, index) => ({ id: item, path: number % 3 === 0 && index === 0 ? failingPath : '/batch/x', headers: { 'x-tenant': 'forged' }, body: Buffer.from(item).toString('base64'), tokens: 50 }))
    })
    if (await submit(context, id, body, isKeyedJob(id) ? jobKeys.submission : undefined)) jobs.push({ id, items, results: [], isComplete: false })
    await pause(jobIntervalMs)
  }
  return jobs
}

async function submit (context: SoakContext, id: string, body: string, key: string | undefined): Promise<boolean> {
  for (let attempt = 0; attempt < submitAttempts; attempt++) {
    const answer = await call(`http://${chooseGateway(context)}/batch/j`, { id, body, key })
    if (answer.status === 202) return true
    if (answer.status >= 400 && answer.status < 500 && answer.status !== 429) context.violations.push(`${id}: a proper job was refused with ${answer.status}`)
    await pause(readIntervalMs)
  }
  return false
}

/**
 * Reads the results of a job once, and checks them against what was read before.
 * @param context - the run
 * @param job - the job; completed when all results were read
 */
export async function readResults (context: SoakContext, job: SoakJob): Promise<void> {
  const after = context.random.below(job.results.length + 1)
  const answer = await call(`http://${chooseGateway(context)}/v1/lots/${job.id}?after=${after}`, { id: '', method: 'GET', key: isKeyedJob(job.id) ? jobKeys.reads : undefined })
  if (answer.status === 404) context.violations.push(`${job.id}: 404 for an acknowledged job`)
  if (answer.status !== 200) return
  const page = JSON.parse(answer.text) as { readonly total: number, readonly results: ReadonlyArray<{ readonly id: string, readonly state: string, readonly output: string }> }
  if (page.total !== job.items.length) context.violations.push(`${job.id}: ${page.total} items instead of ${job.items.length}`)
  // The answer may have been overtaken by one to a later read, so it may hold fewer results, but no other ones.
  for (const [index, result] of page.results.entries()) {
    const text = JSON.stringify(result)
    const known = job.results[after + index]
    if (known !== undefined && known !== text) context.violations.push(`${job.id}: position ${after + index} changed from ${known} to ${text}`)
    job.results[after + index] = text
    const events = decodeOutput(result.output)
    const mixed = describeMixedVersions(events ?? [])
    if (events === undefined) context.violations.push(`${result.id}: an output of no server: ${JSON.stringify(result.output)}`)
    if (mixed !== undefined && known === undefined) context.violations.push(`${result.id}: an output of two software versions: ${mixed}`)
    if (result.state === 'completed' && !areInSequence(events ?? [], true)) context.violations.push(`${result.id}: an incomplete output is completed: ${JSON.stringify(result.output)}`)
  }
  const ids = new Set(job.results.map(text => (JSON.parse(text) as { id: string }).id))
  if (ids.size !== job.results.length) context.violations.push(`${job.id}: an item has two results`)
  job.isComplete = job.results.length === job.items.length
}

/**
 * Publishes versions until the signal aborts, at times two at once.
 * @param context - the run
 * @param state - what operators know
 * @returns a promise that resolves when the task has ended
 */
export async function runPublisher (context: SoakContext, state: OperatorState): Promise<void> {
  const checks: Array<Promise<void>> = []
  while (!context.signal.aborted) {
    const isRace = context.random.below(4) === 0
    const versions = isRace ? [state.sentVersion + 1, state.sentVersion + 3] : [state.sentVersion + 1 + context.random.below(3)]
    state.sentVersion = Math.max(...versions)
    await Promise.all(versions.map(version => publish(context, state, version)))
    const { acknowledgedVersion } = state
    checks.push(pause(versionInForceMs).then(async () => await checkVersionInForce(context, acknowledgedVersion)))
    await pause(versionIntervalMs)
  }
  await Promise.all(checks)
}

// Each version adds a route of its own and keeps those of all versions before it.
async function checkVersionInForce (context: SoakContext, version: number): Promise<void> {
  const { fleet: { hosts, gateways }, violations } = context
  for (const [index, gateway] of gateways.entries()) {
    const host = hosts.find(({ name }) => name === `gateway-${index}`)
    const sentAt = performance.now()
    const answer = await call(`http://${gateway}${versionPathOf(version)}x`, { id: `version-${version}-${index}` })
    const isDisturbed = host === undefined || !host.isRunning || host.isFrozen || sentAt - host.disturbedAt < contactMs
    if (answer.status === 404 && !isDisturbed) violations.push(`${host.name} refuses a route of version ${version} ${versionInForceMs} ms after its acknowledgement`)
  }
}

function versionPathOf (version: number): string {
  return `/version-${version}/`
}

/**
 * Publishes one version, and repeats it at other control hosts until it is acknowledged or the run ends.
 * @param context - the run
 * @param state - what operators know
 * @param version - the version
 */
export async function publish (context: SoakContext, state: OperatorState, version: number): Promise<void> {
  const body = JSON.stringify(createConfiguration(version))
  for (let attempt = 0; attempt < submitAttempts; attempt++) {
    const answer = await call(`http://${chooseControl(context)}/v1/config`, { id: '', method: 'PUT', body })
    if (answer.status === 200) {
      state.acknowledgedVersion = Math.max(state.acknowledgedVersion, version)
      recordAcknowledgement(state.withdrawal, version)
      return
    }
    if (answer.status >= 400 && answer.status < 500) {
      context.violations.push(`version ${version}: a valid configuration was refused with ${answer.status}`)
      return
    }
    await pause(readIntervalMs)
  }
}

/**
 * Reads the configuration until the signal aborts; no read may return less than what was acknowledged before it was sent.
 * @param context - the run
 * @param state - what operators know
 * @returns a promise that resolves when the task has ended
 */
export async function runReader (context: SoakContext, state: OperatorState): Promise<void> {
  while (!context.signal.aborted) {
    await readVersion(context, state)
    await pause(readIntervalMs)
  }
}

/**
 * Reads the configuration once.
 * @param context - the run
 * @param state - what operators know
 * @returns the version, or undefined without an answer
 */
export async function readVersion (context: SoakContext, state: OperatorState): Promise<number | undefined> {
  const acknowledged = state.acknowledgedVersion
  const answer = await call(`http://${chooseControl(context)}/v1/config`, { id: '', method: 'GET' })
  if (answer.status !== 200) return undefined
  const { version } = JSON.parse(answer.text) as { readonly version: number }
  if (version < acknowledged) context.violations.push(`a read returned version ${version} after ${acknowledged} was acknowledged`)
  return version
}

function createConfiguration (version: number): object {
  const route = { host: 'a.example', timeout_ms: 5_000, slo_ms: 300, service: 's', max_attempts: itemAttempts, public: true }
  return {
    version,
    routes: [
      { ...route, name: 'live', path_prefix: '/live/', kind: 'streaming', resumable: true, gap_target_ms: 250 },
      ...Array.from({ length: version }, (_, index) => ({ ...route, name: `version-${index + 1}`, path_prefix: versionPathOf(index + 1), kind: 'streaming' })),
      { ...route, name: 'keyed', path_prefix: keyedPath, kind: 'streaming', public: false },
      { ...route, name: 'batch', path_prefix: '/batch/', kind: 'batch', max_queued: 1_000_000, run_target_ms: 10_000, max_wait_s: 600 }
    ],
    services: [{ name: 's', engine: { slots: 4 } }],
    tenants: listTenants(version),
    limits: { header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  }
}

function chooseGateway ({ fleet, random }: SoakContext): string {
  return fleet.gateways[random.below(fleet.gateways.length)] ?? ''
}

function chooseControl ({ fleet, random }: SoakContext): string {
  return fleet.controls[random.below(fleet.controls.length)] ?? ''
}

/**
 * Sends requests with the crashing prompt part, one after the other, to the gateways in turn.
 * @param context - the run
 * @param count - number of requests
 * @returns a promise that resolves when all have been answered
 */
export async function sendCrashingRequests (context: SoakContext, count: number): Promise<void> {
  for (let number = 0; number < count; number++) {
    const gateway = context.fleet.gateways[number % context.fleet.gateways.length] ?? ''
    await call(`http://${gateway}/live/crashing-${number}`, { id: `crashing-${number}`, parts: `first:10,${crashingPart}:5,own-${number}:3` })
  }
}

async function call (url: string, options: { readonly id: string, readonly parts?: string, readonly method?: 'GET' | 'PUT' | 'POST', readonly body?: string, readonly key?: string | undefined }): Promise<Answer> {
  try {
    const headers = { host: 'a.example', 'x-request-id': options.id, 'x-deadline-ms': String(callTimeoutMs), ...(options.parts === undefined ? {} : { 'x-prefix-hash': options.parts }), ...(options.key === undefined ? {} : { 'x-credential': options.key }) }
    const response = await request(url, {
      method: options.method ?? 'POST', headers, body: options.body ?? null, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs
    })
    return { status: response.statusCode, text: await response.body.text() }
  } catch {
    // The host is down or the connection broke: the caller learns nothing.
    return { status: 0, text: '' }
  }
}

/**
 * Waits.
 * @param durationMs - the time, in milliseconds
 * @returns a promise that resolves after it
 */
export function pause (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
