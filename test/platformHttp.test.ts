import { expect } from 'chai'
import { once } from 'node:events'
import { get } from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import { request } from 'undici'
import { createBackendServerHttp } from '../platform/backendServerHttp.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createCallerServer } from '../platform/callerHttp.ts'
import { Ending } from '../src/process/state/commands.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import type { CallerService } from '../src/request/callerService.ts'
import { maxBufferedBodyBytes } from '../src/connection/opaqueRequest.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import type { FleetUpdate } from '../src/process/fleet/fleetMessages.ts'
import type { StreamOrigins } from '../src/process/fleet/streamOrigins.ts'
import type { JobSubmission } from '../src/request/gatewayJobs.ts'
import { type CallerLimits, type GatewayRoute, matchRoute, RouteKind } from '../src/version/gatewayTables.ts'
import { eventually } from '../scripts/processes.ts'
import { FakeStreamKeepers, forwardingServicesOf, recordOf, requestOf, routeOf } from './support/fakeFleet.ts'

/** A TCP server that records the bytes of each request; the test writes the bytes of the response. */
interface RawServer {
  readonly address: string
  readonly received: string[]
  readonly sockets: Socket[]
  /** Refuses new connections, as after the end of the process. */
  stopListening (): void
  close (): void
}

async function startRawServer (respond: (socket: Socket, text: string) => void): Promise<RawServer> {
  const received: string[] = []
  const sockets: Socket[] = []
  const server: Server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', data => {
      received.push(data.toString())
      respond(socket, data.toString())
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    sockets,
    stopListening: () => server.close(),
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

interface Gateway {
  readonly url: string
  readonly port: number
  readonly jobs: JobSubmission[]
  readonly origins: Pick<StreamOrigins, 'record'>
  close (): void
}

async function startGateway (address: string, route: Partial<GatewayRoute> = {}, limits: Partial<CallerLimits> = {}, update: Partial<FleetUpdate> = {}): Promise<Gateway> {
  const routes = [routeOf({ attempts: 1, ...route }), routeOf({ name: 'b', pathPrefix: '/batch/', kind: RouteKind.Batch })]
  const services = forwardingServicesOf(createBackendServerHttp(createMetrics()), routes, { servers: [recordOf('i-1', { address })], ...update }, new FakeStreamKeepers(['k-1']))
  const controller = new AbortController()
  services.origins.run(controller.signal).catch(error => expect.fail(String(error)))
  const jobs: JobSubmission[] = []
  const callerLimits: CallerLimits = { headerBytes: 16_384, bodyBytes: 1_000_000, headerMs: 3_000, idleMs: 15_000, ...limits }
  const service: CallerService = {
    limits: () => callerLimits,
    isJob: (host, path) => matchRoute(services.view.routes, host, path)?.kind === RouteKind.Batch,
    hasAccounts: () => false,
    now: () => performance.now(),
    forward: (callerRequest, callerResponse) => runForwardedRequest(callerRequest, callerResponse, services),
    async submit (job) {
      jobs.push(job)
      return job.id === 'full' ? err(GatewayRefusal.QuotaExceeded) : ok(undefined)
    },
    results: async (job, after) => job === 'unsure'
      ? err(GatewayRefusal.NotReady)
      : ok(job === 'none' ? undefined : { total: 3, next: after + 1, results: [{ item: 'x', ending: Ending.Failed, output: '' }] }),
    body: async (_job, item) => ok(item === 'x' ? Buffer.from([0, 255, 10]) : undefined),
    end: async job => ok(job !== 'none'),
    reportError () {}
  }
  const server = createCallerServer(service)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    jobs,
    origins: services.origins,
    close () {
      controller.abort()
      server.close()
      server.closeAllConnections()
    }
  }
}

const headers = { host: 'a.example', 'x-request-id': 'q-1' }
const responseHead = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Server-Stamp: st\r\n'

// Uses the client of Node.js: undici reports a response without length as complete when its connection is reset.
function receivesCompleteSuccess (url: string): Promise<boolean> {
  return new Promise(resolve => {
    get(url, { headers }, response => {
      response.on('error', () => resolve(false))
      response.once('end', () => resolve(response.complete && response.statusCode === 200))
      response.resume()
    }).on('error', () => resolve(false))
  })
}

describe('platform HTTP', () => {
  const openServers: Array<{ close (): void }> = []
  afterEach(() => {
    for (const server of openServers.splice(0)) server.close()
  })

  /** Sends a request, and returns what the caller receives until the connection ends. */
  async function exchange (gateway: Gateway, version: '1.0' | '1.1'): Promise<string> {
    const caller = connect(gateway.port, '127.0.0.1')
    let text = ''
    caller.on('data', data => { text += data.toString() })
    caller.on('error', () => {})
    caller.write(`GET /p/1 HTTP/${version}\r\nHost: a.example\r\nX-Request-Id: q-1\r\nConnection: close\r\n\r\n`)
    await once(caller, 'close')
    return text
  }

  async function start (respond: (socket: Socket, text: string) => void, route: Partial<GatewayRoute> = {}, limits: Partial<CallerLimits> = {}, update: Partial<FleetUpdate> = {}): Promise<{ server: RawServer, gateway: Gateway }> {
    const server = await startRawServer(respond)
    const gateway = await startGateway(server.address, route, limits, update)
    openServers.push(server, gateway)
    return { server, gateway }
  }

  // Guards against a request that runs on another server at the same address, and against headers that callers forge.
  it('sends the id of the intended server and the remaining time, and passes the rest on unchanged', async () => {
    const { server, gateway } = await start(socket => socket.end(`${responseHead}X-Request-Id: q-1\r\nContent-Length: 2\r\n\r\nok`))
    gateway.origins.record('q-0', { service: 's', softwareVersion: 'v1' })
    const response = await request(`${gateway.url}/p/1?a=%20b`, {
      method: 'POST', body: 'text', headers: { ...headers, 'x-deadline-ms': '900', 'x-expect-instance': 'forged', 'x-own': 'Value', 'last-event-id': '4', resumes: 'q-0' }
    })
    expect([response.statusCode, response.headers['x-server-stamp'], await response.body.text()]).to.deep.equal([200, 'st', 'ok'])
    const sentText = server.received.join('')
    expect(sentText).to.match(/^POST \/p\/1\?a=%20b HTTP\/1\.1\r\n/)
    expect(sentText).to.match(/x-expect-instance: i-1\r\n/i).and.not.match(/forged/)
    expect(sentText).to.match(/x-own: Value\r\n/i).and.match(/last-event-id: 4\r\n/i).and.match(/resumes: q-0\r\n/i).and.match(/host: a\.example\r\n/i)
    expect(Number(/x-deadline-ms: (\d+)/i.exec(sentText)?.[1])).to.be.within(1, 900)
    expect(sentText.endsWith('\r\n\r\ntext')).to.equal(true)
  })

  // Failure it guards against: a stream went on at a server of any version when its caller named no attempt, or one that nothing is known of.
  for (const [name, resumption] of [['no attempt', {}], ['an unknown attempt', { resumes: 'q-0' }], ['a version without a server', { resumes: 'q-9' }]] as const) {
    it(`responds 503 without a retry-after, as not run, to the resumption of a stream that names ${name}`, async () => {
      const { server, gateway } = await start(socket => socket.end(`${responseHead}X-Request-Id: q-1\r\nContent-Length: 2\r\n\r\nok`), {}, {}, { streamKeepers: ['k-1'] })
      gateway.origins.record('q-9', { service: 's', softwareVersion: 'v9' })
      const response = await request(`${gateway.url}/p/1`, { headers: { ...headers, 'last-event-id': '4', ...resumption } })
      await response.body.dump()
      expect([response.statusCode, response.headers['retry-after'], response.headers['x-server-stamp']]).to.deep.equal([503, undefined, undefined])
      expect(server.received).to.deep.equal([])
    })
  }

  // Failure: a server's response to another request was delivered to the caller.
  it('does not deliver a response with the id of another request', async () => {
    const { gateway } = await start(socket => socket.end(`${responseHead}X-Request-Id: q-0\r\nContent-Length: 2\r\n\r\nno`))
    const response = await request(`${gateway.url}/p/1`, { headers })
    expect(response.statusCode).to.equal(502)
    expect(response.headers['x-server-stamp']).to.equal(undefined)
    await response.body.dump()
  })

  const truncatedResponses: ReadonlyArray<readonly [name: string, respond: (socket: Socket) => void]> = [
    ['shorter than its length', socket => socket.end(`${responseHead}Content-Length: 9\r\n\r\nhalf`)],
    ['without its last chunk', socket => socket.end(`${responseHead}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`)],
    ['without length and reset', socket => socket.write(`${responseHead}\r\nhalf`, () => setTimeout(() => socket.resetAndDestroy(), 50))]
  ]
  // Guards against a truncated response that the caller receives as complete.
  for (const [name, respond] of truncatedResponses) {
    it(`does not complete a response that is ${name}`, async () => {
      const { gateway } = await start(respond)
      const isComplete = await receivesCompleteSuccess(`${gateway.url}/p/1`)
      expect(isComplete).to.equal(false)
    })
  }

  // Failure (MIXED): the gateway passed a response without length on without framing. When its process was killed, the kernel
  // closed the connections in order, and the beginning of the response looked complete.
  for (const type of ['text/plain', 'text/event-stream']) {
    it(`never lets the end of its own connection complete a response without length: ${type}`, async () => {
      const { gateway } = await start(socket => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nX-Server-Stamp: st\r\n\r\nid: 0\ndata: a\n\n`)
        setTimeout(() => gateway.close(), 100)
      })
      expect(await receivesCompleteSuccess(`${gateway.url}/p/1`)).to.equal(false)
    })
  }

  // Guards against framing that marks the end of such a response as certain: the server may have crashed.
  it('ends a response without length by closing the connection, and adds no framing of its own', async () => {
    const { gateway } = await start(socket => socket.end(`${responseHead}\r\nhalf`))
    const caller = connect(gateway.port, '127.0.0.1')
    let text = ''
    caller.on('data', data => { text += data.toString() })
    caller.write('GET /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q-1\r\n\r\n')
    await once(caller, 'close')
    expect(text).to.match(/connection: close/i).and.not.match(/transfer-encoding|content-length/i)
    expect(text.endsWith('\r\n\r\nhalf')).to.equal(true)
  })

  // Guards against a crash that is taken for the end of a response, and against a body that one write can't hand to the kernel.
  it('responds 502 for a response without length whose server has stopped, or that is too large to be sent at once', async () => {
    let respond = (socket: Socket): void => {
      server.stopListening()
      socket.end(`${responseHead}\r\nhalf`)
    }
    const { server, gateway } = await start(socket => respond(socket))
    expect(await exchange(gateway, '1.1')).to.match(/^HTTP\/1.1 502 /)
    const other = await start(socket => respond(socket))
    respond = socket => { socket.end(`${responseHead}\r\n${'a'.repeat(100_000)}`) }
    expect(await exchange(other.gateway, '1.1')).to.match(/^HTTP\/1.1 502 /)
  })

  // HTTP/1.0 has no chunks, so the end of the connection would end a body without length, whoever ended it.
  it('sends a caller of HTTP/1.0 a response with its length, or a failure', async () => {
    let then = (socket: Socket): unknown => socket.end('0\r\n\r\n')
    const { gateway } = await start(socket => {
      socket.write(`${responseHead}Transfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n`)
      setTimeout(() => then(socket), 20)
    })
    expect(await exchange(gateway, '1.0')).to.match(/^HTTP\/1.1 200 [^]*content-length: 4\r\n[^]*\r\n\r\nwhat$/i)
    then = socket => socket.resetAndDestroy()
    expect(await exchange(gateway, '1.0')).to.match(/^HTTP\/1.1 502 /)
    then = socket => socket.write('80000\r\n' + 'a'.repeat(0x80000) + '\r\n')
    expect(await exchange(gateway, '1.0')).to.match(/^HTTP\/1.1 502 /)
  })

  // Failure: an empty value was read as a limit of 0, and an endless one as an infinite rate, whose budget was no number.
  for (const [text, limit] of [['2.5', 2.5], ['0', 0], ['', undefined], ['1e999', undefined], ['-1', undefined], ['0x10', undefined], ['x', undefined], ['9'.repeat(400), undefined]] as const) {
    it(`reads a request limit of "${text.slice(0, 20)}" as ${limit === undefined ? 'none' : limit}`, async () => {
      const { server } = await start(socket => socket.end(`${responseHead}Server-Limit: ${text}\r\nContent-Length: 2\r\n\r\nok`))
      const { request: sent } = requestOf()
      const response = await createBackendServerHttp(createMetrics()).send({ address: server.address, id: 'i-1' }, { ...sent, resumeAfter: undefined, timeLeftMs: undefined, isRepeatable: false }, new AbortController().signal)
      expect(response._unsafeUnwrap().requestLimit).to.equal(limit)
    })
  }

  // Guards against a request that has not run being reported as failed, so that its caller can't safely send it again.
  it('retries a request that the server reports as not run, and sends a retry-after when no attempt succeeds', async () => {
    const { server, gateway } = await start(socket => socket.end('HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'))
    const response = await request(`${gateway.url}/p/1`, { headers })
    expect(response.statusCode).to.equal(503)
    expect(Number(response.headers['retry-after'])).to.be.above(0)
    expect(server.received.length).to.be.above(1)
    await response.body.dump()
  })

  // Guards against a second run of an unsafe request, and against a 503 that invites the caller to send it again.
  it('responds 502 without a server stamp after a reset when the request may have run', async () => {
    const { server, gateway } = await start(socket => socket.resetAndDestroy(), { kind: RouteKind.Unsafe })
    const response = await request(`${gateway.url}/p/1`, { headers })
    expect(response.statusCode).to.equal(502)
    expect(response.headers['x-server-stamp']).to.equal(undefined)
    expect(server.received).to.have.length(1)
    await response.body.dump()
  })

  // Guards against servers that keep working for callers that have disconnected.
  it('closes the connection to the server when the caller disconnects', async () => {
    const { server, gateway } = await start(() => {})
    const caller = connect(gateway.port, '127.0.0.1')
    caller.write('GET /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q-1\r\n\r\n')
    while (server.sockets.length === 0) await new Promise(resolve => setImmediate(resolve))
    const closed = once(server.sockets[0] as Socket, 'close')
    const disconnectedAt = performance.now()
    caller.destroy()
    await closed
    // The timeout of the route would close it too, but only after 2 s.
    expect(performance.now() - disconnectedAt).to.be.below(500)
  })

  const longBody = Buffer.alloc(maxBufferedBodyBytes * 3, 'b')

  /** Opens a connection of a caller and sends the head of a request with a body. */
  function sendHead (gateway: Gateway, framing: string): { readonly caller: Socket, readonly text: () => string } {
    const caller = connect(gateway.port, '127.0.0.1')
    caller.on('error', () => {})
    let text = ''
    caller.on('data', data => { text += data.toString() })
    caller.write(`POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q-1\r\n${framing}\r\n\r\n`)
    return { caller, text: () => text }
  }

  function chunkOf (bytes: Buffer): Buffer {
    return Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')])
  }

  // Failure: long request bodies were buffered completely, with no limit on how many at once.
  for (const framing of [`Content-Length: ${longBody.length}`, 'Transfer-Encoding: chunked']) {
    it(`streams a long body to the server before its end has arrived, and completely: ${framing}`, async () => {
      const { server, gateway } = await start(() => {})
      const { caller, text } = sendHead(gateway, framing)
      const isChunked = framing.includes('chunked')
      const [first, second] = [longBody.subarray(0, maxBufferedBodyBytes * 2), longBody.subarray(maxBufferedBodyBytes * 2)]
      caller.write(isChunked ? chunkOf(first) : first)
      await eventually('the start of the body at the server', 2_000, () => server.received.join('').length > maxBufferedBodyBytes ? true : undefined)
      expect(text()).to.equal('')
      caller.write(isChunked ? Buffer.concat([chunkOf(second), Buffer.from('0\r\n\r\n')]) : second)
      await eventually('the complete body at the server', 2_000, () => server.received.join('').replaceAll(/[^b]/g, '').length >= longBody.length ? true : undefined)
      server.sockets[0]?.end(`${responseHead}Content-Length: 2\r\n\r\nok`)
      await eventually('the response', 2_000, () => text().endsWith('ok') ? true : undefined)
      caller.destroy()
    })
  }

  // Failure: each time that a slow server paused the body, an event listener was leaked, until Node.js warned of a leak
  // on standard error.
  it('leaks no listeners while a server reads slowly', async () => {
    const bytes = 6_000_000
    const warnings: string[] = []
    const recordWarning = (warning: Error): void => { warnings.push(warning.message) }
    process.on('warning', recordWarning)
    try {
      let received = 0
      const { server, gateway } = await start((socket, text) => {
        received += text.length
        socket.pause()
        setTimeout(() => socket.resume(), 5)
        if (text.endsWith('end')) socket.end(`${responseHead}Content-Length: 2\r\n\r\nok`)
      }, { timeoutMs: 20_000 }, { bodyBytes: bytes })
      const body = Buffer.concat([Buffer.alloc(bytes - 3, 'b'), Buffer.from('end')])
      const response = await request(`${gateway.url}/p/1`, { method: 'POST', body, headers })
      expect(await response.body.text()).to.equal('ok')
      expect(received).to.be.above(bytes)
      expect(server.sockets).to.have.length(1)
      await new Promise(resolve => setImmediate(resolve))
      expect(warnings).to.deep.equal([])
    } finally {
      process.off('warning', recordWarning)
    }
  })

  // Guards against a second run with an incomplete body: streamed bytes are not kept.
  it('does not retry a request whose long body was already partly streamed to a server that failed', async () => {
    const { server, gateway } = await start(socket => socket.resetAndDestroy(), { kind: RouteKind.Safe, attempts: 3 })
    const response = await request(`${gateway.url}/p/1`, { method: 'POST', body: longBody, headers })
    expect(response.statusCode).to.equal(502)
    expect(server.received).to.have.length(1)
    await response.body.dump()
  })

  // Guards against reading or forwarding a body beyond the limit.
  it('refuses a body that is too long: by its length at once, and by its chunks once they exceed the limit', async () => {
    const { server, gateway } = await start(() => {}, {}, { bodyBytes: 1_000 })
    const withLength = sendHead(gateway, 'Content-Length: 5000')
    await eventually('the refusal', 2_000, () => withLength.text().startsWith('HTTP/1.1 413') ? true : undefined)
    const chunked = sendHead(gateway, 'Transfer-Encoding: chunked')
    chunked.caller.write(chunkOf(Buffer.alloc(1_200)))
    await eventually('the refusal', 2_000, () => chunked.text().startsWith('HTTP/1.1 413') ? true : undefined)
    expect(server.sockets).to.have.length(0)
  })

  // Failure: a caller that stopped sending in the middle of a body kept its connection and the buffered bytes for ever.
  it('responds 408 when a body stalls, and sends nothing to a server', async () => {
    const { server, gateway } = await start(() => {}, {}, { idleMs: 100 })
    const { caller, text } = sendHead(gateway, 'Content-Length: 500')
    caller.write('half')
    await eventually('the refusal', 2_000, () => text().startsWith('HTTP/1.1 408') ? true : undefined)
    expect(server.sockets).to.have.length(0)
  })

  // Failure: a timer for such a time fires after 1 ms, so that each request of the route timed out.
  for (const [name, route, limits] of [
    ['timeout', { timeoutMs: 1e300 }, {}], ['objective', { kind: RouteKind.Safe, attempts: 2, objectiveMs: 1e300 }, {}], ['pause', { attempts: 2, pauseMs: 1e300 }, {}], ['idle time of callers', {}, { idleMs: 1e300 }]
  ] as const) {
    it(`completes a response under an enormous ${name}`, async () => {
      const { server, gateway } = await start(() => {}, route, limits)
      const { caller, text } = sendHead(gateway, 'Content-Length: 8')
      caller.write('half')
      setTimeout(() => caller.write('full'), 50)
      await eventually('the request', 2_000, () => server.sockets[0])
      server.sockets[0]?.write('HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 30\r\n\r\nid: 0\ndata: a\n\n')
      await new Promise(resolve => setTimeout(resolve, 100))
      server.sockets[0]?.write('id: 1\ndata: b\n\n')
      await eventually('the response', 2_000, () => text().includes('data: b\n\n') && text().endsWith('0\r\n\r\n') ? true : undefined)
      expect(text()).to.match(/^HTTP\/1\.1 200 /)
      caller.destroy()
    })
  }

  // Guards against a server that waits for the rest of a body for ever.
  it('responds 502 and closes the connection to the server when a long body stalls', async () => {
    const { server, gateway } = await start(() => {}, {}, { idleMs: 100 })
    const { caller, text } = sendHead(gateway, `Content-Length: ${longBody.length}`)
    caller.write(longBody.subarray(0, maxBufferedBodyBytes * 2))
    await eventually('the error response and the closed connection', 2_000, () => text().startsWith('HTTP/1.1 502') && server.sockets[0]?.destroyed === true ? true : undefined)
  })

  // Failure: a response that its caller read slowly was buffered completely in memory.
  it('applies backpressure to the server when the caller reads slowly', async () => {
    const responseBytes = 30_000_000
    const { server, gateway } = await start(socket => socket.end(Buffer.concat([Buffer.from(`${responseHead}Content-Length: ${responseBytes}\r\n\r\n`), Buffer.alloc(responseBytes)])), { timeoutMs: 10_000 })
    const caller = connect(gateway.port, '127.0.0.1')
    caller.pause()
    caller.write('GET /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q-1\r\n\r\n')
    await eventually('the first bytes of the response', 2_000, () => (server.sockets[0]?.bytesWritten ?? 0) > 0 ? true : undefined)
    // Without backpressure the complete response is sent in a fraction of this time.
    for (let sample = 0; sample < 10; sample++) {
      await new Promise(resolve => setTimeout(resolve, 200))
      expect(server.sockets[0]?.writableLength).to.be.above(0)
    }
    let bytes = 0
    caller.on('data', data => { bytes += data.length })
    caller.resume()
    await eventually('the complete response', 5_000, () => bytes > responseBytes ? true : undefined)
    caller.destroy()
  })

  // Guards against a second response that the caller would take for that of its next request.
  it('sends exactly one response of its own for each request on a persistent connection', async () => {
    const { gateway } = await start(() => {})
    const caller = connect(gateway.port, '127.0.0.1')
    let text = ''
    caller.on('data', data => { text += data.toString() })
    for (let count = 1; count <= 2; count++) {
      caller.write('GET /none/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q-1\r\n\r\n')
      while (text.split('HTTP/1.1 404').length <= count) await new Promise(resolve => setImmediate(resolve))
    }
    caller.destroy()
    expect(text.split('HTTP/1.1')).to.have.length(3)
    expect(text).to.match(/keep-alive: timeout=\d+/i)
  })

  // Failure: a path that can't be parsed as part of a URL closed the connection without a response.
  it('responds to a request with any path', async () => {
    const { gateway } = await start(() => {})
    for (const path of ['//', '//[', '/%', '/p/?x=1?y=/v1/lots/']) {
      const caller = connect(gateway.port, '127.0.0.1')
      caller.write(`DELETE ${path} HTTP/1.1\r\nHost: none.example\r\nX-Request-Id: q-1\r\nConnection: close\r\n\r\n`)
      let text = ''
      caller.on('data', data => { text += data.toString() })
      await once(caller, 'close')
      expect(text, path).to.match(/^HTTP\/1\.1 404 /)
    }
  })

  // Guards against altered items, and against a status that does not tell a malformed job from one over the quota.
  it('accepts a job with its items, and refuses a malformed job or one over the quota', async () => {
    const { gateway } = await start(() => {})
    const item = { id: 'x', path: '/batch/1', headers: { 'X-Model': 'm' }, body: Buffer.from([0, 255]).toString('base64'), tokens: 7 }
    const statuses: number[] = []
    for (const [id, body] of [['j', { items: [item] }], ['full', { items: [item] }], ['bad', { items: [{ id: 'x' }] }], ['bad', { items: 1 }]] as const) {
      const response = await request(`${gateway.url}/batch/j`, { method: 'POST', headers: { host: 'a.example', 'x-request-id': id }, body: JSON.stringify(body) })
      statuses.push(response.statusCode)
      await response.body.dump()
    }
    expect(statuses).to.deep.equal([202, 429, 400, 400])
    expect(gateway.jobs[0]).to.deep.equal({
      id: 'j', host: 'a.example', path: '/batch/j', items: [{ id: 'x', path: '/batch/1', headers: { 'X-Model': 'm' }, body: Buffer.from([0, 255]), tokens: 7 }]
    })
  })

  /** Submits a job with one item, and returns the status of the response. */
  async function submitItem (gateway: Gateway, item: string): Promise<number> {
    const response = await request(`${gateway.url}/batch/j`, { method: 'POST', headers: { host: 'a.example', 'x-request-id': 'j' }, body: `{"items":[${item}]}` })
    await response.body.dump()
    return response.statusCode
  }

  function nestedObject (depth: number): string {
    return `${'{"a":'.repeat(depth)}"x"${'}'.repeat(depth)}`
  }

  // Failure: such headers were accepted into the log. Deeply nested ones could not be encoded, and the leader ended at prompt
  // parts that were no text.
  for (const [name, headers] of [
    ['a number', '{"X-Prefix-Hash":5}'], ['no object', '"x"'], ['an array', '[["X-Model","m"]]'], ['nested', nestedObject(2_000)], ['deeply nested', nestedObject(50_000)]
  ] as const) {
    it(`refuses a job with an item whose headers are not text: ${name}`, async () => {
      const { gateway } = await start(() => {})
      const status = await submitItem(gateway, `{"id":"x","path":"/batch/1","headers":${headers},"body":"","tokens":1}`)
      expect(status).to.equal(400)
      expect(gateway.jobs).to.deep.equal([])
    })
  }

  // Failure: an item that no request can carry was accepted. Each start of it counted as an unreachable server, which then got no
  // items for a second.
  for (const [field, value] of [
    ['id', 'a\nb'], ['id', '\u2028'], ['path', ''], ['path', 'batch/1'], ['path', '/batch/a b'], ['path', '/batch/\u2028'], ['headers', { 'X-Model': 'a\r\nb' }], ['headers', { 'X Model': 'm' }], ['headers', { '': 'm' }]
  ] as const) {
    it(`refuses a job with an item that can't be sent: ${field} ${JSON.stringify(value)}`, async () => {
      const { gateway } = await start(() => {})
      expect(await submitItem(gateway, JSON.stringify({ id: 'x', path: '/batch/1', headers: {}, body: '', tokens: 1, [field]: value }))).to.equal(400)
    })
  }

  // Failure: an item with a negative number of tokens lifted the limit of waiting tokens for all other jobs of its route.
  for (const tokens of ['-1', '-1e308', '1e308', '1e999', '0.5', '"1"']) {
    it(`refuses a job with an item of ${tokens} tokens`, async () => {
      const { gateway } = await start(() => {})
      expect(await submitItem(gateway, `{"id":"x","path":"/batch/1","body":"","tokens":${tokens}}`)).to.equal(400)
    })
  }

  // Guards against a job that is refused because of a field that it may omit.
  it('accepts a job with an item without headers', async () => {
    const { gateway } = await start(() => {})
    for (const headers of ['', '"headers":null,', '"headers":{},']) expect(await submitItem(gateway, `{"id":"x",${headers}"path":"/batch/1","body":"","tokens":1}`)).to.equal(202)
    expect(gateway.jobs.map(job => job.items[0]?.headers)).to.deep.equal([{}, {}, {}])
  })

  // Guards against a 404 for a job that exists, read while control could not be reached.
  it('serves the results, bodies and end of a job, and responds 503 instead of 404 when it can\'t tell whether a job exists', async () => {
    const { gateway } = await start(() => {})
    const read = async (method: 'GET' | 'DELETE', path: string): Promise<[number, string]> => {
      const response = await request(`${gateway.url}${path}`, { method, headers: { host: 'a.example' } })
      return [response.statusCode, Buffer.from(await response.body.arrayBuffer()).toString('latin1')]
    }
    expect(await read('GET', '/v1/lots/j?after=2')).to.deep.equal([200, '{"total":3,"next":3,"results":[{"id":"x","state":"errored","output":""}]}'])
    expect((await read('GET', '/v1/lots/none'))[0]).to.equal(404)
    expect((await read('GET', '/v1/lots/unsure'))[0]).to.equal(503)
    expect(await read('GET', '/v1/items/j?id=x')).to.deep.equal([200, '\u0000\u00ff\n'])
    expect((await read('GET', '/v1/items/j?id=y'))[0]).to.equal(404)
    expect((await read('DELETE', '/v1/lots/j'))[0]).to.equal(200)
  })
})
