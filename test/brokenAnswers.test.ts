import { expect } from 'chai'
import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { createBackendServerHttp } from '../platform/backendServerHttp.ts'
import { createCallerServer } from '../platform/callerHttp.ts'
import { eventually } from '../scripts/processes.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { RunEnd, type RunOutcome, runSubmittedItem } from '../src/request/submittedItemRun.ts'
import { type GatewayRoute, RouteKind } from '../src/version/gatewayTables.ts'
import { forwardingServicesOf, recordOf, routeOf } from './support/fakeFleet.ts'

const timeoutMs = 5_000

/** Length of an upload, of which the caller holds back the second half; both are longer than what a gateway buffers. */
const uploadBytes = 1_000_000

/** Length of an item's body that the kernel does not buffer completely. */
const itemBytes = 16_000_000

const routes: Readonly<Record<string, Partial<GatewayRoute>>> = {
  safe: { kind: RouteKind.Safe },
  unsafe: { kind: RouteKind.Unsafe },
  streaming: { kind: RouteKind.Streaming, resumable: false },
  'resumable streaming': { kind: RouteKind.Streaming, resumable: true }
}

const head = 'X-Server-Stamp: st\r\nContent-Type: text/event-stream\r\n'
const events = 'id: 0\ndata: a\n\n'
const unframed = `HTTP/1.1 200 OK\r\n${head}\r\n${events}`

/** Ends of a connection by a server that goes on. */
const ends: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: socket => { socket.end() },
  reset: socket => { socket.resetAndDestroy() }
}

describe('broken answers of backend servers', () => {
  const closers: Array<() => void> = []
  afterEach(() => {
    for (const close of closers.splice(0)) close()
  })

  async function listen (server: Server): Promise<number> {
    const sockets: Socket[] = []
    server.on('connection', (socket: Socket) => {
      sockets.push(socket)
      socket.on('error', () => {})
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    closers.push(() => {
      server.close()
      for (const socket of sockets) socket.destroy()
    })
    return (server.address() as AddressInfo).port
  }

  async function startBackendServer (serve: (socket: Socket) => void): Promise<string> {
    return `127.0.0.1:${await listen(createServer({ allowHalfOpen: true }, serve))}`
  }

  async function startGateway (address: string, route: Partial<GatewayRoute>): Promise<number> {
    const services = forwardingServicesOf(createBackendServerHttp(createMetrics()), [routeOf({ attempts: 1, ...route })], { servers: [recordOf('i-1', { address })] })
    return await listen(createCallerServer({
      limits: () => ({ headerBytes: 16_384, bodyBytes: 4_000_000, headerMs: 3_000, idleMs: 15_000 }),
      isJob: () => false,
      hasAccounts: () => false,
      now: () => performance.now(),
      forward: (request, response) => runForwardedRequest(request, response, services),
      submit: () => expect.fail(),
      results: () => expect.fail(),
      body: () => expect.fail(),
      end: () => expect.fail(),
      reportError () {}
    }))
  }

  /** Sends a request, perhaps without its end, and returns what its caller receives until the connection ends. */
  async function call (port: number, bodyBytes: number, sentBytes: number): Promise<string> {
    const caller = connect(port, '127.0.0.1')
    let text = ''
    caller.on('data', data => { text += data.toString() })
    caller.on('error', () => {})
    caller.write(`POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q-1\r\nConnection: close\r\nContent-Length: ${bodyBytes}\r\n\r\n`)
    caller.write(Buffer.alloc(sentBytes))
    const closed = once(caller, 'close').then(() => true)
    closers.push(() => caller.destroy())
    await eventually('the end of the response', timeoutMs, async () => await Promise.race([closed, new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), 100))]))
    return text
  }

  function isComplete (text: string): boolean {
    return text.startsWith('HTTP/1.1 200') && (!/transfer-encoding: chunked/i.test(text) || text.endsWith('\r\n0\r\n\r\n'))
  }

  async function runItem (serve: (socket: Socket) => void, bodyBytes: number): Promise<RunOutcome> {
    return await runSubmittedItem({
      item: { id: 'q-1', path: '/p', headers: {}, body: Buffer.alloc(bodyBytes), tokens: 10 },
      host: 'a.example',
      target: { address: await startBackendServer(serve), id: 'i-1' },
      client: createBackendServerHttp(createMetrics()),
      // A run that adds nothing to saved progress confirms that the output is complete.
      progress: { data: ['a'], lastEvent: 0 },
      saved: { events: 1, characters: 1 },
      reserve: () => true,
      idleTimeoutMs: timeoutMs,
      recordResponse () {},
      signal: new AbortController().signal
    })
  }

  // Failure: a status that HTTP doesn't have reached the caller as a complete answer, which it did not ask for again.
  for (const status of ['000', '000 Bad', '099', '600 Bad', '999']) {
    const answer = `HTTP/1.1 ${status}\r\n${head}X-Request-Id: q-1\r\nContent-Length: 2\r\n\r\nok`
    for (const [name, route] of Object.entries(routes)) {
      it(`takes no status line "${status}" for an answer: ${name}`, async () => {
        const port = await startGateway(await startBackendServer(socket => { socket.once('data', () => socket.write(answer)) }), route)
        expect((await call(port, 3, 3)).slice(0, 12)).to.equal('HTTP/1.1 502')
      })
    }
    it(`takes no status line "${status}" for an answer: item`, async () => {
      const { end, failure } = await runItem(socket => { socket.once('data', () => socket.write(answer)) }, 3)
      expect([end, failure?.reason]).to.deep.equal([RunEnd.Interrupted, 'invalid'])
    })
  }

  for (const [endName, end] of Object.entries(ends)) {
    // Failure: a server that broke off while it was still receiving the request looked like one that had answered.
    for (const [name, route] of Object.entries(routes)) {
      it(`completes no response without length whose connection is ${endName} before the upload: ${name}`, async () => {
        const port = await startGateway(await startBackendServer(socket => { socket.write(unframed, () => end(socket)) }), route)
        expect(isComplete(await call(port, uploadBytes, uploadBytes / 2))).to.equal(false)
      })

      it(`completes no response without length whose connection is ${endName} in the upload: ${name}`, async () => {
        const port = await startGateway(await startBackendServer(socket => {
          socket.resume()
          socket.once('data', () => socket.write(unframed, () => end(socket)))
        }), route)
        expect(isComplete(await call(port, uploadBytes, uploadBytes / 2))).to.equal(false)
      })

      // Failure: a rule against early ends that also breaks off sound responses.
      it(`${endName === 'reset' ? 'does not complete' : 'completes'} a response without length whose connection is ${endName} after the upload: ${name}`, async () => {
        const port = await startGateway(await startBackendServer(socket => {
          let received = 0
          socket.on('data', data => {
            received += data.length
            if (received < uploadBytes || received - data.length >= uploadBytes) return
            socket.write(unframed, () => end(socket))
          })
        }), route)
        // A resumable stream is confirmed by another server, of which there is none.
        expect(isComplete(await call(port, uploadBytes, uploadBytes))).to.equal(endName === 'closed')
      })
    }
    const answer = (socket: Socket): unknown => socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`, () => end(socket))
    const itemServers: Readonly<Record<string, (socket: Socket) => void>> = {
      before: answer,
      in (socket) {
        socket.once('data', () => {
          socket.pause()
          answer(socket)
        })
      },
      after (socket) {
        let received = 0
        socket.on('data', data => {
          received += data.length
          if (received >= itemBytes && received - data.length < itemBytes) answer(socket)
        })
      }
    }
    for (const [moment, serve] of Object.entries(itemServers)) {
      const isSound = endName === 'closed' && moment === 'after'
      it(`${isSound ? 'completes' : 'does not complete'} an item whose connection is ${endName} ${moment} the upload`, async () => {
        // A request whose connection is reset at once has not been sent.
        expect((await runItem(serve, itemBytes)).end).to.be.oneOf(isSound ? [RunEnd.Complete] : [RunEnd.Interrupted, RunEnd.NotRun])
      })
    }
  }

  // Failure: what follows a response without a body was taken for the response to the next request.
  for (const status of ['204 No Content', '304 Not Modified']) {
    it(`delivers no body with ${status}, and keeps no connection with one`, async () => {
      let requests = 0
      const address = await startBackendServer(socket => {
        socket.on('data', () => {
          requests++
          socket.write(`HTTP/1.1 ${status}\r\n${head}X-Request-Id: q-1\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno`)
        })
      })
      const port = await startGateway(address, routes['safe'] ?? {})
      for (const count of [1, 2]) {
        const text = await call(port, 3, 3)
        expect(text).to.match(new RegExp(`^HTTP/1.1 ${status.slice(0, 3)} `)).and.match(/\r\n\r\n$/)
        expect(requests).to.equal(count)
      }
    })
  }

  // Failure: an interim answer with a body ended the request, or its body was taken for the answer.
  for (const status of ['100 Continue', '101 Switching Protocols', '103 Early Hints', '199 Odd']) {
    it(`takes no body of an interim answer for an answer: ${status}`, async () => {
      const port = await startGateway(await startBackendServer(socket => {
        socket.once('data', () => socket.write(`HTTP/1.1 ${status}\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n${head}X-Request-Id: q-1\r\nContent-Length: 2\r\n\r\nok`))
      }), routes['safe'] ?? {})
      expect((await call(port, 3, 3)).slice(0, 12)).to.equal('HTTP/1.1 502')
    })
  }
})
