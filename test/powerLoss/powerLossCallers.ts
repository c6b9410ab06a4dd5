/**
 * Callers of the power loss: live requests, jobs, and readers of their results.
 * @module
 */
import { Agent, request } from 'undici'
import type { Random } from '../../src/process/program/random.ts'
import { eventCount } from './powerLossServers.ts'

const liveTimeoutMs = 5_000
const readTimeoutMs = 2_500
const readWaitMs = 1_000
const retryPauseMs = 400
const bodyBytes = 15_000

/** Items of a job. */
export const itemsPerJob = 10

/** Number of calls by kind of call and status; a broken connection or a timeout stands under its error code. */
export type CallCounts = Record<string, number>

/** A job that was acknowledged. */
export interface Job {
  readonly id: string
  readonly acknowledgedAt: number
  /** Results as first read, by position. */
  readonly results: string[]
  /** Monotonic time at which the last result was read, in milliseconds. */
  completedAt: number | undefined
}

/** Callers of a run. */
export interface Callers {
  readonly jobs: Job[]
  /** Contradictions to what was promised or read before. */
  readonly violations: string[]
  /** Counts since the last call of this method. */
  takeCounts (): CallCounts
  /**
   * Starts live requests at a rate; the rate 0 ends them.
   * @param perSecond - requests per second
   */
  sendLive (perSecond: number): void
  /**
   * Starts jobs at a rate; the rate 0 ends them.
   * @param perSecond - jobs per second
   */
  sendJobs (perSecond: number): void
  /**
   * Ends the submission of jobs that are not acknowledged yet.
   */
  abandonJobs (): void
  /**
   * Reads a job once.
   * @param job - the job
   * @param gateway - address of the gateway
   * @param after - position of the first result
   * @param waitMs - how long the response may wait
   * @returns the status or error code
   */
  read (job: Job, gateway: string, after: number, waitMs: number): Promise<string>
  /** Called at each acknowledgement. */
  onAcknowledged: (job: Job) => void
  close (): Promise<void>
}

/**
 * Creates the callers.
 * @param gateways - addresses of the gateways
 * @param random - source of all choices
 * @returns the callers, which send nothing yet
 */
export function createCallers (gateways: readonly string[], random: Random): Callers {
  const jobs: Job[] = []
  const violations: string[] = []
  let counts: CallCounts = {}
  const closed = new AbortController()
  let abandoned = new AbortController()
  let number = 0
  let liveTimer: NodeJS.Timeout | undefined
  let jobTimer: NodeJS.Timeout | undefined
  const liveAgent = new Agent({ connections: 6, headersTimeout: liveTimeoutMs, bodyTimeout: liveTimeoutMs })
  const body = Buffer.alloc(bodyBytes, 'abcdefghijklmnopqrstuvwxyz0123456789').toString('base64')

  function count (kind: string): void {
    counts[kind] = (counts[kind] ?? 0) + 1
  }

  function chooseGateway (): string {
    return gateways[random.below(gateways.length)] ?? ''
  }

  async function sendLiveRequest (): Promise<void> {
    const id = `live-${number++}`
    const { status, text } = await call(`http://${chooseGateway()}/live/x`, 'POST', { 'x-request-id': id, 'x-prefix-hash': `p${number % 40}:200,${id}:20` }, 'prompt', liveTimeoutMs, liveAgent)
    const isWhole = status !== '200' || text.split('\n\n').length === eventCount + 1
    count(isWhole ? `live ${status}` : 'live cut')
  }

  async function runJob (): Promise<void> {
    const id = `job-${number++}`
    const items = Array.from({ length: itemsPerJob }, (_, index) => ({ id: `${id}-${index}`, path: '/batch/x', headers: { 'X-Prefix-Hash': `q${number % 20}:150,${id}-${index}:30` }, body, tokens: 500 }))
    const text = JSON.stringify({ items })
    const { signal } = abandoned
    while (!closed.signal.aborted && !signal.aborted) {
      const { status } = await call(`http://${chooseGateway()}/batch/j`, 'POST', { 'x-request-id': id, 'content-type': 'application/json' }, text, readTimeoutMs)
      count(`submit ${status}`)
      if (status === '202') return await readToEnd(id)
      await pause(retryPauseMs)
    }
  }

  async function readToEnd (id: string): Promise<void> {
    const job: Job = { id, acknowledgedAt: performance.now(), results: [], completedAt: undefined }
    jobs.push(job)
    callers.onAcknowledged(job)
    while (!closed.signal.aborted && job.completedAt === undefined) {
      count(`read ${await callers.read(job, chooseGateway(), job.results.length, readWaitMs)}`)
      await pause(retryPauseMs)
    }
  }

  const callers: Callers = {
    jobs,
    violations,
    onAcknowledged: () => {},
    takeCounts () {
      const taken = counts
      counts = {}
      return taken
    },
    sendLive (perSecond) {
      clearInterval(liveTimer)
      if (perSecond > 0) liveTimer = setInterval(() => { sendLiveRequest().catch(() => {}) }, 1_000 / perSecond)
    },
    sendJobs (perSecond) {
      clearInterval(jobTimer)
      if (perSecond > 0) jobTimer = setInterval(() => { runJob().catch(() => {}) }, 1_000 / perSecond)
    },
    abandonJobs () {
      abandoned.abort()
      abandoned = new AbortController()
    },
    async read (job, gateway, after, waitMs) {
      const { status, text } = await call(`http://${gateway}/v1/lots/${job.id}?after=${after}`, 'GET', waitMs === 0 ? {} : { 'x-wait-ms': String(waitMs) }, undefined, readTimeoutMs)
      if (status === '404' || status === '410') violations.push(`${job.id}: ${status} at ${gateway} ${Math.round(performance.now() - job.acknowledgedAt)} ms after its acknowledgement`)
      if (status !== '200') return status
      const page = JSON.parse(text) as { readonly total: number, readonly results: readonly unknown[] }
      if (page.total !== itemsPerJob) violations.push(`${job.id}: total ${page.total}`)
      for (const [index, result] of page.results.entries()) {
        const known = job.results[after + index]
        const read = JSON.stringify(result)
        if (known !== undefined && known !== read) violations.push(`${job.id}: position ${after + index} changed`)
        job.results[after + index] = read
      }
      if (job.results.length === itemsPerJob) job.completedAt ??= performance.now()
      return status
    },
    async close () {
      closed.abort()
      clearInterval(liveTimer)
      clearInterval(jobTimer)
      await liveAgent.destroy()
    }
  }
  return callers
}

async function call (url: string, method: 'GET' | 'POST', headers: Readonly<Record<string, string>>, body: string | undefined, timeoutMs: number, dispatcher?: Agent): Promise<{ readonly status: string, readonly text: string }> {
  try {
    const response = await request(url, {
      method, headers: { host: 'a.example', 'x-deadline-ms': String(timeoutMs), ...headers }, body: body ?? null, signal: AbortSignal.timeout(timeoutMs), ...(dispatcher === undefined ? { reset: true } : { dispatcher })
    })
    return { status: String(response.statusCode), text: await response.body.text() }
  } catch (error) {
    const { code, name } = error as { readonly code?: unknown, readonly name?: string }
    return { status: typeof code === 'string' ? code : name ?? 'error', text: '' }
  }
}

function pause (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
