/**
 * Client accounts of the soak: callers with keys, one of which is withdrawn by a version, and checks of what backend servers are told of
 * the callers.
 * @module
 */
import { request } from 'undici'
import type { SoakServer } from './soakServers.ts'

/** Path of the route that needs a key; all others are public. */
export const keyedPath = '/keyed/'

/** Setting of all hosts: time from the acknowledgement of a withdrawal after which no request with the key may run, in milliseconds. */
export const revocationMs = 5_000

/** First version without the key that is withdrawn. */
const withdrawalVersion = 6

const keyedIntervalMs = 90

/** Key that is used for jobs, and another key of the same account that reads them. */
export const jobKeys = { account: 'north', submission: 'key-north-1', reads: 'key-north-2' }

const withdrawnKey = 'key-south-1'

/** Account of each key that a caller uses; undefined for a key that no version has. */
const accountsByKey: ReadonlyMap<string, string | undefined> = new Map([
  [jobKeys.submission, 'north'], [jobKeys.reads, 'north'], ['key-south-2', 'south'], [withdrawnKey, 'south'], ['key-of-nobody', undefined]
])

const jobNumber = /^job-(\d+)/

/** What the callers with keys share with the rest of the run. */
export interface KeyedInputs {
  readonly gateways: readonly string[]
  readonly violations: string[]
  readonly signal: AbortSignal
  readonly callTimeoutMs: number
}

/** When the withdrawal was acknowledged. */
export interface KeyWithdrawal {
  /** Monotonic time, in milliseconds; Infinity before it. */
  acknowledgedAt: number
}

/**
 * Lists the client accounts of a version as the platform's configuration has them.
 * @param version - the version
 * @returns the accounts
 */
export function listTenants (version: number): object[] {
  const southKeys = version < withdrawalVersion ? [withdrawnKey, 'key-south-2'] : ['key-south-2']
  return [{ name: 'north', api_keys: [jobKeys.submission, jobKeys.reads] }, { name: 'south', api_keys: southKeys }]
}

/**
 * Checks whether a job is submitted with a key, whether or not the submission is acknowledged.
 * @param id - id of the job or of an item of it
 * @returns whether it is: each second job
 */
export function isKeyedJob (id: string): boolean {
  return Number(jobNumber.exec(id)?.[1]) % 2 === 0
}

/**
 * Records that a version was acknowledged.
 * @param withdrawal - updated if the version lacks the key that is withdrawn
 * @param version - the version
 */
export function recordAcknowledgement (withdrawal: KeyWithdrawal, version: number): void {
  if (version >= withdrawalVersion) withdrawal.acknowledgedAt = Math.min(withdrawal.acknowledgedAt, performance.now())
}

/** A request with a key. */
interface KeyedRequest {
  readonly key: string
  readonly sentAt: number
}

/**
 * Sends requests with keys until the signal aborts, each with a forged name of an account.
 * @param inputs - the run
 * @returns the requests by id
 */
export async function runKeyedCallers ({ gateways, violations, signal, callTimeoutMs }: KeyedInputs): Promise<ReadonlyMap<string, KeyedRequest>> {
  const sent = new Map<string, KeyedRequest>()
  const keys = [...accountsByKey.keys()]
  const open = new Set<Promise<void>>()
  let number = 0
  while (!signal.aborted) {
    const id = `keyed-${number}`
    const key = keys[number % keys.length] ?? ''
    sent.set(id, { key, sentAt: performance.now() })
    const call = send(`http://${gateways[Math.trunc(number / keys.length) % gateways.length] ?? ''}${keyedPath}${number}`, id, key, callTimeoutMs).then(status => {
      if (status === 401 && key !== withdrawnKey && accountsByKey.get(key) !== undefined) violations.push(`${id}: 401 for a key that is in every version`)
      if (status === 404) violations.push(`${id}: 404 for a route that is in every version`)
    }).finally(() => open.delete(call))
    open.add(call)
    number++
    await new Promise(resolve => setTimeout(resolve, keyedIntervalMs))
  }
  await Promise.all(open)
  return sent
}

async function send (url: string, id: string, key: string, timeoutMs: number): Promise<number> {
  try {
    const headers = { host: 'a.example', 'x-request-id': id, 'x-deadline-ms': String(timeoutMs), 'x-credential': key, 'x-tenant': 'forged' }
    const response = await request(url, { method: 'POST', headers, headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
    await response.body.dump()
    return response.statusCode
  } catch {
    // The host is down or the connection broke: the caller learns nothing.
    return 0
  }
}

/**
 * Checks which account each run names, that no key reached a server, and that no request ran with the withdrawn key too late.
 * @param servers - the backend servers
 * @param sent - the requests with keys
 * @param withdrawal - when the withdrawal was acknowledged
 * @returns the violations
 */
export function findAccountViolations (servers: readonly SoakServer[], sent: ReadonlyMap<string, KeyedRequest>, withdrawal: KeyWithdrawal): string[] {
  const violations: string[] = []
  for (const { id, account, hasKey } of servers.flatMap(server => server.runs)) {
    const keyed = sent.get(id)
    const expected = keyed === undefined ? isKeyedJob(id) ? jobKeys.account : undefined : accountsByKey.get(keyed.key)
    if (hasKey) violations.push(`${id}: a key reached a server`)
    if (account !== expected) violations.push(`${id}: a server was told the account ${account ?? 'none'} instead of ${expected ?? 'none'}`)
    if (keyed === undefined) continue
    if (expected === undefined) violations.push(`${id}: ran with a key that no version has`)
    const lateMs = keyed.key === withdrawnKey ? keyed.sentAt - withdrawal.acknowledgedAt - revocationMs : 0
    if (lateMs > 0) violations.push(`${id}: ran with a withdrawn key, sent ${Math.round(lateMs)} ms after the bound`)
  }
  return violations
}
