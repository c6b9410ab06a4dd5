/**
 * Stand-ins of the platform: operator, clients and workers, as PROTOCOL.md describes them.
 * @module
 */
import { createServer, request as sendRequest } from 'node:http'
import { bounds, sleep } from './fleet.mjs'

/**
 * Sends one request on a new connection.
 * @param {{ address: string, method?: string, path: string, headers?: Record<string, string>, body?: string | Buffer, timeoutMs?: number }} options - the request
 * @returns {Promise<{ status: number, headers: Record<string, unknown>, text: string, isComplete: boolean, error?: string }>} the response; status 0 without one
 */
export function call ({ address, method = 'GET', path, headers = {}, body, timeoutMs = 1_000 }) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    let text = ''
    let status = 0
    let responseHeaders = {}
    const finish = (isComplete, error) => {
      clearTimeout(timer)
      resolve({ status, headers: responseHeaders, text, isComplete, error })
    }
    const outgoing = sendRequest({ host, port: Number(port), method, path, headers: { connection: 'close', ...headers, ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }) }, agent: false })
    const timer = setTimeout(() => {
      finish(false, 'timeout')
      outgoing.destroy()
    }, timeoutMs)
    outgoing.on('error', error => finish(false, error.code ?? error.message))
    outgoing.on('response', response => {
      status = response.statusCode ?? 0
      responseHeaders = response.headers
      response.setEncoding('utf8')
      response.on('data', chunk => { text += chunk })
      response.on('error', error => finish(false, error.code ?? error.message))
      response.on('close', () => finish(response.complete))
    })
    outgoing.end(body)
  })
}

/**
 * Creates a configuration of a small deployment.
 * @param {number} version - its version
 * @param {object[]} routes - routes in place of the usual ones
 */
export function createConfiguration (version, routes = []) {
  const route = { host: 'a.example', timeout_ms: 5_000, slo_ms: 300, priority: 0, service: 'assist', sticky: true, resumable: false, gap_target_ms: 250 }
  return {
    version,
    routes: [
      { ...route, name: 'live', path_prefix: '/live/', kind: 'streaming', resumable: true, max_attempts: 2 },
      { ...route, name: 'once', path_prefix: '/once/', kind: 'unsafe', max_attempts: 1 },
      { ...route, name: 'safe', path_prefix: '/safe/', kind: 'safe', max_attempts: 2 },
      { ...route, name: 'batch', path_prefix: '/batch/', kind: 'batch', timeout_ms: 15_000, slo_ms: 400, priority: 2, max_attempts: 3, max_queued: 950_000, run_target_ms: 18_000, max_wait_s: 60 },
      ...routes
    ],
    services: [{ name: 'assist', health_path: '/healthz', max_conns: 380, protocol: 'h1', tls: false, engine: { slots: 8, kv_capacity: 72_000 } }],
    limits: { header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  }
}

/** Longest pause between two attempts of an order, in milliseconds. */
const maxPauseMs = 3_000

/**
 * Sends an order until it has a clear response, to one node after the other with increasing pauses.
 * @param {string[]} addresses - the control addresses
 * @param {{ method: string, path: string, body?: object }} order - the order
 * @param {{ firstNode?: number, giveUpMs?: number, timeoutMs?: number, firstPauseMs?: number, pauseFactor?: number }} options - where to begin, how long to try, how long to wait for a response
 * @returns {Promise<{ status: number, at: number, attempts: number } | undefined>} the response, undefined without a clear one
 */
export async function order (addresses, { method, path, body }, { firstNode = 0, giveUpMs = 20_000, timeoutMs = 1_000, firstPauseMs = 100, pauseFactor = 2 } = {}) {
  const deadline = performance.now() + giveUpMs
  let pauseMs = firstPauseMs
  for (let attempt = 0; performance.now() < deadline; attempt++) {
    const address = addresses[(firstNode + attempt) % addresses.length] ?? ''
    const response = await call({ address, method, path, timeoutMs, headers: { 'content-type': 'application/json' }, body: body === undefined ? undefined : JSON.stringify(body) })
    if (response.status > 0 && response.status < 500 && response.status !== 408 && response.status !== 429) return { status: response.status, at: performance.now(), attempts: attempt + 1 }
    await sleep(pauseMs)
    pauseMs = Math.min(pauseFactor * pauseMs, maxPauseMs)
  }
  return undefined
}

/** A worker: registers by heartbeats, checks `X-Expect-Instance`, and responds after its working time. */
export class Worker {
  constructor ({ id, zone, controlAddresses, firstNode = 0, workMs = 100, record }) {
    Object.assign(this, { id, zone, controlAddresses, workMs, record })
    this.ran = []
    this.sockets = new Set()
    this.nextNode = firstNode
    this.isBeating = false
    this.running = 0
  }

  /** Starts the process, or starts it again under its id. */
  async start () {
    this.sequence = 0
    this.born = Date.now()
    this.server = createServer((incoming, response) => this.receive(incoming, response))
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
    this.isBeating = true
    this.beat()
  }

  describe (state = 'ready') {
    return { service: 'assist', addr: this.address, zone: this.zone, version: 'v1', slots: 8, state, cold_ms: 0, seq: ++this.sequence, born: this.born }
  }

  async beat () {
    while (this.isBeating) {
      const body = this.describe()
      this.lastBeat = body
      for (let attempt = 0; attempt < this.controlAddresses.length && this.isBeating; attempt++) {
        const response = await this.sendBeat(body)
        this.lastStatus = response.status
        if (response.status >= 200 && response.status < 300) break
        this.nextNode++
      }
      await sleep(bounds.heartbeatMs)
    }
  }

  async sendBeat (body, address = this.controlAddresses[this.nextNode % this.controlAddresses.length]) {
    return await call({ address, method: 'PUT', path: `/v1/instances/${this.id}`, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
  }

  receive (incoming, response) {
    const id = String(incoming.headers['x-request-id'] ?? '')
    const expected = incoming.headers['x-expect-instance']
    incoming.resume()
    incoming.once('end', () => {
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'x-request-id': id, 'x-not-executed': '1', 'content-length': 0 })
        response.end()
        return
      }
      this.run(id, incoming, response)
    })
  }

  run (id, incoming, response) {
    const run = { id, at: performance.now(), isComplete: false }
    this.ran.push(run)
    this.running++
    const body = `${incoming.method} ${incoming.url} ${id}`
    const isItem = id.startsWith('item-')
    const timer = setTimeout(() => {
      run.isComplete = true
      if (isItem) return this.sendEvents(incoming, response, id)
      response.writeHead(200, { 'x-request-id': id, 'x-server-stamp': `stamp-${this.id}`, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(body) })
      response.end(body)
    }, this.workMs)
    response.once('close', () => {
      clearTimeout(timer)
      this.running--
    })
  }

  // The output of an item is three events.
  sendEvents (incoming, response, id) {
    response.writeHead(200, { 'x-request-id': id, 'x-server-stamp': `stamp-${this.id}`, 'content-type': 'text/event-stream' })
    for (let event = Number(incoming.headers['last-event-id'] ?? -1) + 1; event < 3; event++) response.write(`id: ${event}\ndata: e${event}\n\n`)
    response.end()
  }

  /** Ends the process: it listens no more, and its connections break. */
  exit () {
    this.isBeating = false
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

/**
 * Submits a batch job, at one gateway after the other, until it has a clear response.
 * @param {string[]} addresses - addresses of the gateways
 * @param {string} id - id of the job
 * @param {number} items - number of its items
 * @returns {Promise<number>} the status of the last response
 */
export async function submitJob (addresses, id, items) {
  const body = JSON.stringify({
    items: Array.from({ length: items }, (_, index) => ({ id: `item-${id}-${index}`, path: `/batch/${id}/${index}`, headers: { 'X-Model': 'm', 'X-Token-Usage': '540,400' }, body: Buffer.from(`body ${index}`).toString('base64'), tokens: 940 }))
  })
  let status = 0
  for (let attempt = 0; attempt < 6; attempt++) {
    const response = await call({ address: addresses[attempt % addresses.length] ?? '', method: 'POST', path: `/batch/${id}`, headers: { host: 'a.example', 'x-request-id': id, 'content-type': 'application/json' }, body, timeoutMs: 4_000 })
    status = response.status
    if (status === 202) break
    await sleep(500)
  }
  return status
}

/**
 * Reads the results of a batch job from the start, at one gateway after the other.
 * @param {string[]} addresses - addresses of the gateways
 * @param {string} id - id of the job
 * @returns {Promise<{ total: number, next: number, results: object[] } | undefined>} the page, undefined without one
 */
export async function readJob (addresses, id) {
  for (const address of addresses) {
    const response = await call({ address, path: `/v1/lots/${id}?after=0`, headers: { host: 'a.example' }, timeoutMs: 2_000 })
    if (response.status === 200) return JSON.parse(response.text)
  }
  return undefined
}
