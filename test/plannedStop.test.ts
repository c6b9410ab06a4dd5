import { expect } from 'chai'
import { once } from 'node:events'
import type { Server } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { ok } from 'neverthrow'
import { createCallerServer } from '../platform/callerHttp.ts'
import { createOpenRequests, type OpenRequests } from '../src/connection/openRequests.ts'
import { createGatewayDrain, drainGateway } from '../src/process/fleet/gatewayDrain.ts'
import type { CallerRequest, CallerResponse } from '../src/request/callerExchange.ts'
import type { CallerService } from '../src/request/callerService.ts'
import { eventually } from '../scripts/processes.ts'
import { FakeClock } from './support/fakeClock.ts'

const waitMs = 2_000
const graceMs = 8_000

/** A request that the gateway has passed on and that the test answers. */
interface Forwarded {
  readonly request: CallerRequest
  readonly response: CallerResponse
  readonly end: () => void
}

function encodeRequest (id: string, body = 'body', declaredBytes = body.length): string {
  return `POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nContent-Length: ${declaredBytes}\r\n\r\n${body}`
}

describe('connections of callers during a planned stop', () => {
  let server: Server
  let openRequests: OpenRequests
  let forwarded: Forwarded[]
  let sockets: Socket[]
  let port: number

  beforeEach(async () => {
    forwarded = []
    sockets = []
    openRequests = createOpenRequests()
    server = createCallerServer({
      limits: () => ({ headerBytes: 16_384, bodyBytes: 1_000_000, headerMs: 3_000, idleMs: 15_000 }),
      isJob: () => false,
      hasAccounts: () => false,
      now: () => performance.now(),
      forward: (request: CallerRequest, response: CallerResponse) => new Promise<void>(resolve => { forwarded.push({ request, response, end: resolve }) }),
      results: async () => ok({ total: 0, next: 0, results: [] }),
      reportError () {}
    } as unknown as CallerService)
    openRequests.watch(server)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    port = (server.address() as AddressInfo).port
  })

  afterEach(() => {
    server.close()
    server.closeAllConnections()
    for (const socket of sockets) socket.destroy()
  })

  function open (): { readonly socket: Socket, readonly read: () => string, readonly closed: Promise<unknown> } {
    const socket = connect(port, '127.0.0.1')
    sockets.push(socket)
    const chunks: Buffer[] = []
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('error', () => {})
    return { socket, read: () => Buffer.concat(chunks).toString(), closed: once(socket, 'close') }
  }

  async function waitForForwarded (count: number): Promise<void> {
    await eventually(`${count} forwarded requests`, waitMs, async () => forwarded.length >= count ? true : undefined)
  }

  async function respond (position: number): Promise<void> {
    const { request, response, end } = forwarded[position] as Forwarded
    response.start(200, ['content-length', String(request.id.length)], true)
    await response.write(Buffer.from(request.id))
    response.end()
    end()
  }

  // The response to the first request closed the connection, and the second one, which a server had run, got none.
  it('carry the responses to all requests that were accepted on them', async () => {
    const { socket, read, closed } = open()
    socket.write(encodeRequest('first') + encodeRequest('second'))
    await waitForForwarded(2)
    openRequests.closeAfterResponses()
    await respond(0)
    await respond(1)
    await closed
    expect(read().match(/HTTP\/1\.1 200/g)).to.have.length(2)
    expect(read()).to.match(/first[\s\S]*connection: close[\s\S]*second$/i)
  })

  it('carry the responses to requests that arrive one behind the other after the stop has begun', async () => {
    openRequests.closeAfterResponses()
    const { socket, read, closed } = open()
    socket.write(encodeRequest('first') + encodeRequest('second'))
    await waitForForwarded(2)
    await respond(0)
    await respond(1)
    await closed
    expect(read().match(/HTTP\/1\.1 200/g)).to.have.length(2)
  })

  // The head of a long response had promised to keep the connection, and the next request on it was dropped.
  it('carry the request after a response whose head was sent before the stop', async () => {
    const { socket, read, closed } = open()
    socket.write(encodeRequest('first'))
    await waitForForwarded(1)
    const { request, response, end } = forwarded[0] as Forwarded
    response.start(200, ['content-length', String(request.id.length)], true)
    await eventually('the head of the response', waitMs, async () => read().includes('200') ? true : undefined)
    openRequests.closeAfterResponses()
    await response.write(Buffer.from('first'))
    response.end()
    end()
    await eventually('the end of the response', waitMs, async () => read().endsWith('first') ? true : undefined)
    socket.write(encodeRequest('second'))
    await waitForForwarded(2)
    await respond(1)
    await closed
    expect(read()).to.match(/second$/)
  })

  // A request behind a response that closes the connection can't be answered, so it must not run.
  it('pass on no request behind a response that has announced the end of the connection', async () => {
    openRequests.closeAfterResponses()
    const { socket, read, closed } = open()
    socket.write(encodeRequest('first'))
    await waitForForwarded(1)
    const { request, response, end } = forwarded[0] as Forwarded
    response.start(200, ['content-length', String(request.id.length)], true)
    await eventually('the head of the response', waitMs, async () => read().includes('close') ? true : undefined)
    socket.write(encodeRequest('second'))
    const third = open()
    third.socket.write(encodeRequest('third'))
    await waitForForwarded(2)
    expect(forwarded.map(one => one.request.id)).to.deep.equal(['first', 'third'])
    await response.write(Buffer.from('first'))
    response.end()
    end()
    await closed
    expect(read()).to.match(/first$/)
  })

  // The process ended while a body was on its way, and the caller got a closed connection for a request that it had begun in time.
  it('take the rest of a body that is half sent when the stop begins', async () => {
    const clock = new FakeClock()
    const drain = createGatewayDrain()
    const { socket, read, closed } = open()
    const [start, rest] = ['half ', 'body']
    await once(socket, 'connect')
    socket.write(encodeRequest('upload', start, 9))
    await eventually('the head of the request', waitMs, async () => openRequests.count === 1 ? true : undefined)
    let isEnded = false
    const ended = drainGateway({ drain, server, openRequests, clock, graceMs, announce: async () => {} }).then(() => { isEnded = true })
    await clock.advance(graceMs / 2)
    expect(isEnded, 'the stop waits for the request').to.equal(false)
    socket.write(rest)
    await waitForForwarded(1)
    await respond(0)
    await closed
    expect(read()).to.match(/^HTTP\/1\.1 200[\s\S]*upload$/)
    await clock.advance(graceMs)
    await ended
  })
})
