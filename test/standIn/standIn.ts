/**
 * A stand-in for a backend server: an engine with continuous batching and a plain service. It admits requests as they
 * arrive, slows down as its batch grows, remembers a few prefixes, and can be told to fail.
 * @module
 */
import { createHash, randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { createPrefixKey, prefixLength } from '../../src/request/backendServerChoice.ts'

/** A prompt that contains it crashes the stand-in. */
export const crashMarker = '[crash]'

/** Settings of a stand-in. */
export interface StandInSettings {
  readonly port: number
  readonly pool: string
  readonly availabilityZone: string
  readonly region: string
  readonly capacity: number
  /** Time for one token with one running request, in milliseconds. */
  readonly tokenMs: number
  /** Added to the time for one token by each further running request, in milliseconds. */
  readonly slowdownMs: number
  /** Time to read a prompt whose prefix is not cached, in milliseconds. */
  readonly prefillMs: number
  /** Prefixes that are remembered. */
  readonly prefixes: number
  /** Age of the load in announcements, in milliseconds. */
  readonly loadLagMs: number
  /** Caller addresses of entry hosts to announce to; the first that answers is used. */
  readonly entryHosts: readonly string[]
  readonly fencingChecked: boolean
  /** Time to load a model, in milliseconds. */
  readonly loadMs: number
  /** What a crash does; a process ends itself, a stand-in inside a test closes its connections. */
  readonly crash?: () => void
}

/** Default settings. */
export const defaultSettings: StandInSettings = {
  port: 0,
  pool: 'assist',
  availabilityZone: 'zone-a',
  region: 'region-a',
  capacity: 16,
  tokenMs: 5,
  slowdownMs: 0.5,
  prefillMs: 5,
  prefixes: 32,
  loadLagMs: 500,
  entryHosts: [],
  fencingChecked: true,
  loadMs: 200
}

/** One request that reached the stand-in. */
export interface RecordedRun {
  readonly requestId: string
  readonly prompt: string
  readonly offset: number
  /** Monotonic time of arrival, in milliseconds. */
  readonly at: number
  /** Monotonic time of the end or the cancellation, in milliseconds. */
  endedAt?: number
  cancelled: boolean
  finished: boolean
}

/** One order that reached the stand-in. */
export interface RecordedOrder {
  readonly model: string
  readonly number: number
  readonly accepted: boolean
  /** Time of day in milliseconds, to compare with other processes. */
  readonly at: number
}

/** A running stand-in. */
export interface StandIn {
  readonly address: string
  readonly runs: readonly RecordedRun[]
  /** Requests that run at the moment. */
  readonly running: number
  /** Stops answering on the connections that are open now; new ones work. */
  silenceOpenConnections (): void
  /** Announces that it is leaving, and goes on with what it has. */
  leave (): Promise<void>
  /** Ends at once, as a crash does. */
  close (): Promise<void>
}

interface Running {
  readonly record: RecordedRun
  readonly response: ServerResponse
  readonly maxTokens: number
  offset: number
  prefillMs: number
}

interface GenerateBody {
  readonly requestId: string
  readonly prompt: string
  readonly maxTokens: number
  readonly offset: number
}

const stepLimitMs = 1_000
const announceMs = 1_000

/**
 * Text of one token of an answer; it depends on the prompt, so that answers can't be mixed up unseen.
 * @param prompt - the prompt
 * @param offset - number of tokens before it
 * @returns the text
 */
export function tokenText (prompt: string, offset: number): string {
  return `${createHash('sha1').update(prompt).digest('hex').slice(0, 6)}.${offset} `
}

/**
 * The whole answer to a prompt.
 * @param prompt - the prompt
 * @param tokens - number of tokens
 * @returns the text
 */
export function responseText (prompt: string, tokens: number): string {
  let text = ''
  for (let offset = 0; offset < tokens; offset++) text += tokenText(prompt, offset)
  return text
}

/**
 * Starts a stand-in.
 * @param given - settings that differ from the default
 * @returns the running stand-in
 */
export async function startStandIn (given: Partial<StandInSettings> = {}): Promise<StandIn> {
  const settings = { ...defaultSettings, ...given }
  const runs: RecordedRun[] = []
  const running = new Set<Running>()
  const silenced = new WeakSet<object>()
  const prefixes: string[] = []
  const models: string[] = []
  const orders: RecordedOrder[] = []
  const loads: Array<{ readonly at: number, readonly running: number }> = []
  const incarnation = `${String(Date.now()).padStart(15, '0')}-${randomUUID()}`
  let sequence = 0
  let leaving = false
  const closing = new AbortController()
  let stepping = false

  const server = createServer((incoming, response) => {
    handle(incoming, response).catch(() => { response.destroy() })
  })
  await listen(server, settings.port)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const announcer = setInterval(() => { announce().catch(() => {}) }, announceMs)
  await announce()

  async function handle (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming)
    if (silenced.has(incoming.socket)) return
    switch (incoming.url) {
      case '/v1/generate': return generate(JSON.parse(body) as GenerateBody, response)
      case '/v1/call': return call(JSON.parse(body) as { requestId: string, input: string }, response)
      case '/v1/orders': return order(JSON.parse(body) as { model: string, number: number }, response)
      case '/stand-in/orders':
        response.end(JSON.stringify(orders))
        return
      case '/stand-in/silence':
        silenceOpenConnections()
        response.end()
        return
      case '/stand-in/leave':
        await leave()
        response.end()
        return
      case '/stand-in/runs':
        response.end(JSON.stringify(runs))
        return
      default:
        response.writeHead(404).end()
    }
  }

  function record (requestId: string, prompt: string, offset: number): RecordedRun {
    const run: RecordedRun = { requestId, prompt, offset, at: performance.now(), cancelled: false, finished: false }
    runs.push(run)
    if (prompt.includes(crashMarker)) crash()
    return run
  }

  function crash (): void {
    if (settings.crash !== undefined) settings.crash()
    else close().catch(() => {})
  }

  function generate (body: GenerateBody, response: ServerResponse): void {
    const request: Running = {
      record: record(body.requestId, body.prompt, body.offset),
      response,
      maxTokens: body.maxTokens,
      offset: body.offset,
      prefillMs: prefillTime(body.prompt)
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    response.once('close', () => {
      request.record.cancelled = !request.record.finished
      request.record.endedAt ??= performance.now()
      running.delete(request)
    })
    running.add(request)
    if (!stepping) runSteps().catch(() => {})
  }

  function prefillTime (prompt: string): number {
    const prefix = prompt.slice(0, prefixLength)
    const known = prefixes.indexOf(prefix)
    if (known >= 0) prefixes.splice(known, 1)
    prefixes.push(prefix)
    if (prefixes.length > settings.prefixes) prefixes.shift()
    return known >= 0 ? 0 : settings.prefillMs
  }

  function call (body: { requestId: string, input: string }, response: ServerResponse): void {
    const run = record(body.requestId, body.input, 0)
    setTimeout(() => {
      run.finished = true
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ requestId: body.requestId, output: responseText(body.input, 1) }))
    }, settings.tokenMs)
  }

  function order (body: { model: string, number: number }, response: ServerResponse): void {
    const accepted = !settings.fencingChecked || orders.every(earlier => earlier.number <= body.number)
    orders.push({ ...body, accepted, at: Date.now() })
    response.writeHead(accepted ? 202 : 409).end()
    if (accepted) setTimeout(() => { if (!models.includes(body.model)) models.push(body.model) }, settings.loadMs)
  }

  // One step generates one token for every running request, as engines with continuous batching do.
  async function runSteps (): Promise<void> {
    stepping = true
    let due = performance.now()
    while (running.size > 0 && !closing.signal.aborted) {
      let stepMs = settings.tokenMs + settings.slowdownMs * (running.size - 1)
      const batch = [...running]
      for (const request of batch) {
        stepMs += request.prefillMs
        request.prefillMs = 0
      }
      due = Math.max(due + Math.min(stepMs, stepLimitMs), performance.now())
      await new Promise(resolve => setTimeout(resolve, Math.max(0, due - performance.now())))
      for (const request of batch) {
        if (running.has(request)) emitToken(request)
      }
    }
    stepping = false
  }

  function emitToken (request: Running): void {
    const { response, record: run } = request
    if (response.socket !== null && silenced.has(response.socket)) return
    if (request.offset < request.maxTokens) {
      send(response, { requestId: run.requestId, offset: request.offset, text: tokenText(run.prompt, request.offset) })
      request.offset++
    }
    if (request.offset < request.maxTokens) return
    run.finished = true
    run.endedAt = performance.now()
    send(response, { requestId: run.requestId, offset: request.offset, done: true })
    response.end()
    running.delete(request)
  }

  function silenceOpenConnections (): void {
    for (const socket of sockets) silenced.add(socket)
  }

  async function announce (): Promise<void> {
    const now = performance.now()
    loads.push({ at: now, running: running.size })
    while ((loads[1]?.at ?? Infinity) < now - settings.loadLagMs) loads.shift()
    sequence++
    const announcement = {
      address,
      availabilityZone: settings.availabilityZone,
      region: settings.region,
      pool: settings.pool,
      capacity: settings.capacity,
      models,
      fencingChecked: settings.fencingChecked,
      incarnation,
      sequence,
      leaving,
      running: loads[0]?.running ?? 0,
      loadAgeMs: now - (loads[0]?.at ?? now),
      cachedPrefixes: prefixes.map(createPrefixKey).filter(key => key !== undefined)
    }
    for (const entryHost of settings.entryHosts) {
      try {
        const answer = await request(`http://${entryHost}/v1/backend-servers`, {
          method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(announcement), headersTimeout: announceMs
        })
        await answer.body.dump()
        if (answer.statusCode === 200) return
      } catch {
        continue
      }
    }
  }

  async function leave (): Promise<void> {
    leaving = true
    await announce()
  }

  async function close (): Promise<void> {
    closing.abort()
    clearInterval(announcer)
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }

  const sockets = new Set<object>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  return { address, runs, get running () { return running.size }, silenceOpenConnections, leave, close }
}

function listen (server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve())
  })
}

async function readBody (incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of incoming) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

function send (response: ServerResponse, event: object): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`)
}
