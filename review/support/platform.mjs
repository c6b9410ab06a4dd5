/**
 * Stand-ins of the platform around the system: its operator, its callers and its workers. They do what PROTOCOL.md says of
 * sound ones.
 * @module
 */
import { randomBytes } from 'node:crypto'
import { Agent, createServer, request as sendRequest } from 'node:http'
import { heartbeatMs, sleep, zones } from './fleet.mjs'

/** Host of all routes. */
export const routeHost = 'nony24.example'

/** Name of the service. */
export const serviceName = 'rack-assist'

/** Slots of a worker, and requests that it queues beyond them. */
const slots = 8
const queueLimit = 24

/** Idle timeout of a worker for its connections, in seconds. */
const idleTimeoutS = 5

/**
 * Sends one HTTP request on a new connection.
 * @param {object} call - address, method, path, headers, body, and a time limit in milliseconds
 * @returns {Promise<{ status: number, headers: object, text: string, isComplete: boolean }>} the answer; status 0 without one
 */
export function send ({ address, method, path, headers = {}, body, timeoutMs = 2_000, onData }) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const agent = new Agent({ keepAlive: false })
    const chunks = []
    let answer
    let isDone = false
    const finish = isComplete => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      agent.destroy()
      resolve({ status: answer?.statusCode ?? 0, headers: answer?.headers ?? {}, text: Buffer.concat(chunks).toString(), isComplete })
    }
    const outgoing = sendRequest({ host, port, method, path, headers, agent }, response => {
      answer = response
      response.on('data', chunk => {
        chunks.push(chunk)
        onData?.(chunk)
      })
      response.once('end', () => finish(response.complete))
      response.once('error', () => finish(false))
      response.once('close', () => finish(response.complete))
    })
    const timer = setTimeout(() => {
      outgoing.destroy()
      finish(false)
    }, timeoutMs)
    outgoing.once('error', () => finish(false))
    outgoing.end(body)
  })
}

/**
 * Calls the control API as the operator and the workers do: on to the next host after a failure, a 5xx or a second.
 * @param {readonly string[]} addresses - the control hosts
 * @param {object} call - method, path and body
 * @returns {Promise<{ status: number, text: string }>} the last answer
 */
export async function callControl (addresses, { method, path, body }) {
  let last = { status: 0, text: '' }
  const first = Math.floor(Math.random() * addresses.length)
  for (const index of addresses.keys()) {
    const address = addresses[(first + index) % addresses.length]
    const content = body === undefined ? undefined : JSON.stringify(body)
    last = await send({ address, method, path, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content ?? '') }, body: content, timeoutMs: 1_000 })
    if (last.status > 0 && last.status < 500) return last
  }
  return last
}

/**
 * Publishes the first configuration and waits until it is acknowledged.
 * @param {readonly string[]} addresses - the control hosts
 * @param {ReturnType<import('./fleet.mjs').createRecord>} record - the record of the case
 * @returns {Promise<boolean>} whether it was acknowledged within 30 s
 */
export async function publish (addresses, record) {
  const live = { host: routeHost, kind: 'streaming', timeout_ms: 5000, slo_ms: 300, priority: 0, service: serviceName, sticky: true, gap_target_ms: 250 }
  const configuration = {
    version: 7,
    routes: [
      { ...live, name: 'site-check', path_prefix: '/site-check/', max_attempts: 2, resumable: true },
      { ...live, name: 'permit-confirm', path_prefix: '/permit-confirm/', max_attempts: 1, resumable: false },
      { name: 'crew-briefing', host: routeHost, path_prefix: '/crew-briefing/', kind: 'batch', timeout_ms: 15000, slo_ms: 400, priority: 2, service: serviceName, max_attempts: 3, max_queued: 1000000, run_target_ms: 18000, max_wait_s: 60 }
    ],
    services: [{ name: serviceName, health_path: '/healthz', max_conns: 390, protocol: 'h1', tls: false, engine: { slots, kv_capacity: 72000, max_queued: queueLimit, models: [{ name: 'm' }] } }],
    limits: { header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
  }
  const deadline = performance.now() + 30_000
  while (performance.now() < deadline) {
    const { status } = await callControl(addresses, { method: 'PUT', path: '/v1/config', body: configuration })
    record.add('configuration sent', { version: configuration.version, status })
    if (status === 200) return true
    await sleep(300)
  }
  return false
}

/** A worker. `handle` answers a request that it runs. */
export class Worker {
  constructor ({ name, zone, controlAddresses, record, handle }) {
    Object.assign(this, { name, zone, controlAddresses, record, handle })
    this.starts = 0
    this.running = 0
    this.sequence = 0
    this.sockets = new Set()
    this.isUp = false
  }

  get id () {
    return `${this.name}-${this.starts}`
  }

  async start () {
    this.starts++
    this.sequence = 0
    this.born = Date.now()
    this.running = 0
    this.server = createServer({ keepAliveTimeout: idleTimeoutS * 1000, requestTimeout: 0 }, (request, response) => this.receive(request, response))
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
    await new Promise(resolve => this.server.listen(this.port ?? 0, '127.0.3.1', resolve))
    this.port = this.server.address().port
    this.isUp = true
    this.record.add('worker started', { worker: this.id, port: this.port })
    this.beats = setInterval(() => { this.beat().catch(() => {}) }, heartbeatMs)
    await this.beat()
  }

  async beat () {
    const body = {
      service: serviceName, addr: `127.0.3.1:${this.port}`, zone: this.zone, version: 'v1', slots, state: 'ready', cold_ms: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], seq: ++this.sequence, born: this.born
    }
    await callControl(this.controlAddresses, { method: 'PUT', path: `/v1/instances/${this.id}`, body })
  }

  /** Ends as a crashed process: its port refuses connections, and its open ones are reset. */
  stop () {
    this.isUp = false
    clearInterval(this.beats)
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  receive (request, response) {
    const id = String(request.headers['x-request-id'] ?? '')
    const chunks = []
    response.setHeader('x-request-id', id)
    response.setHeader('x-server-stamp', `${this.id}.${id}`)
    response.setHeader('keep-alive', `timeout=${idleTimeoutS}`)
    const expected = request.headers['x-expect-instance']
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    request.once('end', () => {
      if (expected !== undefined && expected !== this.id) return this.refuse(response, 421)
      if (request.url === '/healthz') return response.end()
      if (this.running >= slots + queueLimit) return this.refuse(response, 503)
      this.running++
      response.once('close', () => { this.running-- })
      const run = { id, path: request.url, headers: request.headers, body: Buffer.concat(chunks), worker: this, response, resumeAfter: Number(request.headers['last-event-id'] ?? NaN) }
      this.handle(run)
    })
  }

  refuse (response, status) {
    response.setHeader('x-not-executed', '1')
    response.writeHead(status, { 'content-length': 0 })
    response.end()
  }
}

/**
 * Answers a run with a stream of events, which goes on after the event that the request names.
 * @param {object} run - the run
 * @param {number} count - number of events of a whole answer
 * @param {number} intervalMs - time between two events, in milliseconds
 */
export function streamEvents ({ id, response, resumeAfter }, count, intervalMs) {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  let next = Number.isNaN(resumeAfter) ? 1 : resumeAfter + 1
  const timer = setInterval(() => {
    if (next <= count) response.write(`id: ${next}\ndata: ${eventData(id, next)}\n\n`)
    next++
    if (next <= count) return
    clearInterval(timer)
    response.end()
  }, intervalMs)
  response.once('close', () => clearInterval(timer))
}

/**
 * Computes the data of an event.
 * @param {string} id - id of the request
 * @param {number} event - id of the event
 * @returns {string} the data
 */
export function eventData (id, event) {
  return `${id}.${event}`
}

/**
 * Starts the workers, spread over the zones.
 * @param {object} settings - count, control hosts, record and handler
 * @returns {Promise<Worker[]>} the workers
 */
export async function startWorkers ({ count, controlAddresses, record, handle }) {
  const workers = Array.from({ length: count }, (_, index) => new Worker({ name: `i-${index + 1}`, zone: zones[index % zones.length], controlAddresses, record, handle }))
  await Promise.all(workers.map(worker => worker.start()))
  return workers
}

/**
 * Creates the items of a job.
 * @param {string} job - id of the job
 * @param {number} count - number of items
 * @param {string} body - body of each item
 * @returns {object[]} the items
 */
export function createItems (job, count, body) {
  return Array.from({ length: count }, (_, index) => ({
    id: `${job}-${index}`, path: `/crew-briefing/${job}/${index}`, headers: { 'X-Model': 'm', 'X-Token-Usage': '250,60' }, body: Buffer.from(body).toString('base64'), tokens: 310
  }))
}

/**
 * Submits a job and repeats it at another gateway until there is a clear answer.
 * @param {object} settings - id of the job, its items, gateways and record
 * @returns {Promise<boolean>} whether it was accepted
 */
export async function submitJob ({ id, items, gatewayAddresses, record }) {
  const body = JSON.stringify({ items })
  for (let attempt = 0; attempt < 20; attempt++) {
    const address = gatewayAddresses[Math.floor(Math.random() * gatewayAddresses.length)]
    const { status } = await send({ address, method: 'POST', path: `/crew-briefing/${id}`, headers: { host: routeHost, 'x-request-id': id, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-deadline-ms': '4000' }, body, timeoutMs: 4_000 })
    record.add('job sent', { id, items: items.length, status })
    if (status === 202) return true
    await sleep(300)
  }
  return false
}

/**
 * Reads the results of a job at any gateway.
 * @param {object} settings - id of the job, gateways
 * @returns {Promise<object | undefined>} the page from the first result, or undefined without an answer
 */
export async function readResults ({ id, gatewayAddresses }) {
  const address = gatewayAddresses[Math.floor(Math.random() * gatewayAddresses.length)]
  const { status, text, isComplete } = await send({ address, method: 'GET', path: `/v1/lots/${id}?after=0`, headers: { host: routeHost } })
  return status === 200 && isComplete ? JSON.parse(text) : undefined
}

/** Time for which a crashed worker is down, in milliseconds. */
const downMs = 4_000

/** Time from the arrival of a request to the crash of its worker, in milliseconds. */
const crashDelayMs = 20

/** Events of a sound answer, and the time between them, in milliseconds. */
const soundEvents = 34
const soundIntervalMs = 10

/** Prompt parts that all live requests of a case share. */
const sharedParts = '5c1e07a2:100,91bd3f06:100'

/**
 * Creates the workers' handler for requests of which some crash each worker that begins to run them.
 * @param {object} settings - the text in the bodies of those requests, the record, and whether they crash
 * @returns {object} the handler, and the times of the crashes and of the arrivals of those requests
 */
export function createCrashes ({ marker, record, isCrashing }) {
  const times = []
  const arrivals = []

  function crash (worker) {
    if (!worker.isUp) return
    times.push(performance.now())
    record.add('worker crashed', { worker: worker.id, crashes: times.length })
    worker.stop()
    setTimeout(() => { worker.start().catch(() => {}) }, downMs).unref()
  }

  return {
    times,
    arrivals,
    countArrivalsAfter: limitAt => arrivals.filter(at => at > limitAt).length,
    handle (run) {
      const isMarked = run.body.includes(marker)
      if (isMarked) {
        arrivals.push(performance.now())
        record.add('request reached worker', { id: run.id, worker: run.worker.id, bytes: run.body.length })
      }
      if (!isMarked || !isCrashing) return streamEvents(run, soundEvents, soundIntervalMs)
      setTimeout(() => crash(run.worker), crashDelayMs)
    }
  }
}

/**
 * Sends a live request, with an id of its own, on a new connection.
 * @param {object} request - address of the gateway, path, body, and the last part of the prompt with its tokens
 * @returns {Promise<{ id: string, status: number, isComplete: boolean }>} the answer
 */
export async function sendLive ({ address, path, body, ownPart }) {
  const id = randomBytes(8).toString('hex')
  const { status, isComplete } = await send({
    address,
    method: 'POST',
    path,
    headers: {
      host: routeHost, 'x-request-id': id, 'x-deadline-ms': '5000', 'x-model': 'm', 'x-token-usage': '450,40', 'x-prefix-hash': `${sharedParts},${ownPart}`, 'content-length': Buffer.byteLength(body)
    },
    body,
    timeoutMs: 5_000
  })
  return { id, status, isComplete }
}

/**
 * Sends ten sound requests a second until the end.
 * @param {readonly string[]} addresses - the gateways
 * @param {{ isEnded: boolean, statuses: Map<number, number> }} traffic - ends the requests, and counts their answers
 * @returns {Promise<void>} resolves at the end
 */
export async function sendSoundRequests (addresses, traffic) {
  while (!traffic.isEnded) {
    const part = randomBytes(4).toString('hex')
    const address = addresses[Math.floor(Math.random() * addresses.length)]
    sendLive({ address, path: `/site-check/${part}`, body: 'a sound prompt', ownPart: `${part}:250` }).then(({ status }) => {
      traffic.statuses.set(status, (traffic.statuses.get(status) ?? 0) + 1)
    })
    await sleep(100)
  }
}
