import { connect } from 'node:net'
import { expect } from 'chai'
import fc from 'fast-check'
import { createBackendServerConnections, type BackendServerConnections } from '../src/connection/backendServerConnection.ts'
import { classifyEvent, createEngineProtocol, EventKind } from '../src/connection/engineProtocol.ts'
import { TrafficClass } from '../src/connection/internalClient.ts'
import type { OutputChunk } from '../src/connection/protocol.ts'
import type { Attempt } from '../src/connection/backendAttempt.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createResponseQueue, isWrittenWithin, queueLimitChunks } from '../src/request/responseQueue.ts'
import { eventually } from '../scripts/processes.ts'
import { type FakeRequest, type FakeBackendServer, startFakeBackendServer, writeEvent } from './support/fakeBackendServer.ts'
import { startSystem, type TestSystem } from './support/system.ts'
import { responseText, tokenText } from './standIn/standIn.ts'

type RequestHandler = Parameters<typeof startFakeBackendServer>[0]

function writeTokens (request: FakeRequest, response: Parameters<RequestHandler>[1], from: number, to: number): void {
  for (let offset = from; offset < to; offset++) writeEvent(response, { requestId: request.requestId, offset, text: tokenText(request.prompt, offset) })
}

const sendCompleteResponse: RequestHandler = (request, response) => {
  writeTokens(request, response, request.offset, 4)
  writeEvent(response, { requestId: request.requestId, offset: 4, done: true })
  response.end()
}

describe('faulty responses', () => {
  let system: TestSystem
  let fake: FakeBackendServer
  let handleRequest: RequestHandler

  before(async () => {
    system = await startSystem()
    await system.apply([
      { name: 'assist', pool: 'assist', firstByteMs: 300, betweenBytesMs: 300 },
      { name: 'once', pool: 'assist', idempotent: false, firstByteMs: 300, betweenBytesMs: 300 }
    ], [{ name: 'assist' }])
    fake = await startFakeBackendServer((...request) => handleRequest(...request))
    handleRequest = sendCompleteResponse
    fake.announceTo(system)
    // 100 first attempts save 10 retries in the retry budget.
    for (let number = 0; number < 100; number++) await system.sendRequest('assist', { input: 'warm', maxTokens: 4 })
  })

  beforeEach(() => fake.announceTo(system))

  after(async () => {
    await system.close()
    await fake.close()
  })

  const faults: ReadonlyArray<[string, RequestHandler]> = [
    ['a part of another request', (request, response) => {
      writeTokens(request, response, 0, 2)
      writeTokens({ ...request, requestId: 'another', prompt: 'another' }, response, 2, 4)
      writeTokens(request, response, 2, 4)
      writeEvent(response, { requestId: request.requestId, offset: 4, done: true })
      response.end()
    }],
    ['a part of an earlier attempt of the same request', (request, response) => {
      writeTokens({ ...request, requestId: `${request.requestId.split('/')[0]}/earlier`, prompt: 'earlier' }, response, 0, 4)
      writeEvent(response, { requestId: request.requestId, offset: 0, done: true })
      response.end()
    }],
    ['repeated parts', (request, response) => {
      for (const offset of [0, 1, 0, 1, 2, 1, 3]) writeTokens(request, response, offset, offset + 1)
      writeEvent(response, { requestId: request.requestId, offset: 4, done: true })
      response.end()
    }],
    ['a gap', (request, response) => {
      writeTokens(request, response, 0, 2)
      writeTokens(request, response, 3, 4)
      writeEvent(response, { requestId: request.requestId, offset: 4, done: true })
      response.end()
    }],
    ['an early end without an end mark', (request, response) => {
      writeTokens(request, response, 0, 2)
      response.end()
    }],
    ['an end mark ahead of its tokens', (request, response) => {
      writeTokens(request, response, 0, 2)
      writeEvent(response, { requestId: request.requestId, offset: 4, done: true })
      response.end()
    }],
    ['a broken connection', (request, response) => {
      writeTokens(request, response, 0, 2)
      setImmediate(() => response.destroy())
    }],
    ['an event that is not JSON', (request, response) => {
      writeTokens(request, response, 0, 2)
      response.end('data: {"requestId\n\n')
    }]
  ]
  for (const [name, fault] of faults) {
    // Guards against text of another request, duplicate or missing tokens, and a truncated response reported as complete.
    it(`reach the caller complete and in order after ${name}`, async () => {
      for (const stream of [false, true]) {
        handleRequest = (request, response, number) => {
          handleRequest = sendCompleteResponse
          fault(request, response, number)
        }
        const callerResponse = await system.sendRequest('assist', { input: `site ${name}`, maxTokens: 4, stream }, { 'jaychute-request-id': 'same-id' })
        const text = stream ? [...callerResponse.text.matchAll(/"text":"([^"]*)"/g)].map(match => match[1]).join('') : callerResponse.json().text
        expect(text).to.equal(responseText(`site ${name}`, 4))
        if (stream) expect(callerResponse.text).to.include('event: done')
        for (let number = 0; number < 10; number++) await system.sendRequest('assist', { input: 'warm', maxTokens: 4 })
      }
    })
  }

  // Guards against a truncated response with status 200 when no retry is left to complete it.
  it('end with an error when they cannot be completed', async () => {
    handleRequest = (request, response) => {
      writeTokens(request, response, 0, 2)
      response.end()
    }
    const unstreamed = await system.sendRequest('once', { input: 'half', maxTokens: 4 })
    expect(unstreamed.status).to.equal(502)
    expect(unstreamed.json().error).to.include({ reason: 'incomplete answer', execution: 'ran' })
    const streamed = await system.sendRequest('once', { input: 'half', maxTokens: 4, stream: true })
    expect(streamed.text).to.include('event: error').and.include('"incomplete answer"')
    expect(streamed.text).not.to.include('event: done')
    handleRequest = sendCompleteResponse
  })

  // Guards against a second run of a request whose response was lost, and against reporting it as "not run".
  it('are never retried when the request is not idempotent', async () => {
    handleRequest = (_, response) => { response.destroy() }
    const requestsBefore = fake.requests.length
    const callerResponse = await system.sendRequest('once', { input: 'lost', maxTokens: 4 })
    expect(callerResponse.json().error).to.include({ reason: 'answer lost', execution: 'unknown' })
    expect(fake.requests.length).to.equal(requestsBefore + 1)
    handleRequest = sendCompleteResponse
  })

  // Guards against a backend server that counts as failed because open connections to it stopped responding.
  it('arrive over a new connection when all open ones stopped responding, and the backend server stays available', async () => {
    await Promise.all([1, 2, 3].map(() => system.sendRequest('assist', { input: 'warm', maxTokens: 4 })))
    const unresponsiveConnections = new Set(fake.connections)
    handleRequest = (request, response, number) => {
      if (response.socket !== null && !unresponsiveConnections.has(response.socket)) sendCompleteResponse(request, response, number)
    }
    const callerResponse = await system.sendRequest('assist', { input: 'silent', maxTokens: 4 })
    expect(callerResponse.json().text).to.equal(responseText('silent', 4))
    await eventually('all unresponsive connections closed', 2_000, () => [...unresponsiveConnections].some(socket => fake.connections.has(socket)) ? undefined : true)
    expect(system.daemon.entryHost?.backendServers.listAvailable('assist').length).to.equal(1)
    handleRequest = sendCompleteResponse
  })

  // Guards against a stream that stalls halfway and blocks its caller until the deadline.
  it('resume at their offset when the stream stalls', async () => {
    handleRequest = (request, response) => {
      handleRequest = sendCompleteResponse
      writeTokens(request, response, 0, 2)
    }
    const callerResponse = await system.sendRequest('assist', { input: 'half silent', maxTokens: 4 })
    expect(callerResponse.json().text).to.equal(responseText('half silent', 4))
    expect(fake.requests.at(-1)?.offset).to.equal(2)
  })

  // Guards against unbounded buffering for a caller that stops reading, and against slowing down the streams of others.
  it('apply backpressure to the stream of a caller that does not read, and to no other stream', async () => {
    const text = 'x'.repeat(16_384)
    const totalTokens = 4_000
    let writtenTokens = 0
    handleRequest = (request, response) => {
      handleRequest = sendCompleteResponse
      const write = (): void => {
        while (writtenTokens < totalTokens) {
          writeEvent(response, { requestId: request.requestId, offset: writtenTokens, text })
          writtenTokens++
          if (response.writableNeedDrain) {
            response.once('drain', write)
            return
          }
        }
        writeEvent(response, { requestId: request.requestId, offset: writtenTokens, done: true })
        response.end()
      }
      write()
    }
    const body = JSON.stringify({ input: 'slow', maxTokens: totalTokens, stream: true })
    const [ip = '', port = ''] = system.callerAddress.split(':')
    const caller = connect({ host: ip, port: Number(port) }).pause()
    caller.write(`POST /v1/routes/assist/requests HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\njaychute-account: slow\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    let lastWritten = 0
    let unchangedChecks = 0
    await eventually('the stream paused by backpressure', 10_000, () => {
      unchangedChecks = writtenTokens > 0 && writtenTokens === lastWritten ? unchangedChecks + 1 : 0
      lastWritten = writtenTokens
      return unchangedChecks === 10 ? true : undefined
    })
    const callerResponse = await system.sendRequest('assist', { input: 'quick', maxTokens: 4 })
    expect(callerResponse.json().text).to.equal(responseText('quick', 4))
    // Kernel buffers hold a few MB on each side; 64 MB would pass through without backpressure.
    expect(writtenTokens).to.be.below(totalTokens / 2)
    caller.destroy()
  })
})

describe('exchanges with a backend server', () => {
  let lifecycle: Lifecycle
  let connections: BackendServerConnections

  beforeEach(() => {
    lifecycle = createLifecycle()
    connections = createBackendServerConnections({ metrics: createMetrics(), lifecycle, isInOtherRegion: () => false })
  })

  afterEach(() => lifecycle.close())

  function createAttempt (changes: Partial<Attempt> = {}): Attempt {
    return {
      requestId: 'r',
      input: 'i',
      maxTokens: 4,
      partial: '',
      offset: 0,
      trafficClass: TrafficClass.Live,
      firstByteMs: 5_000,
      betweenBytesMs: 5_000,
      signal: new AbortController().signal,
      ...changes
    }
  }

  // Guards against reporting "not run" for a request that undici still sends after the attempt was aborted.
  it('are not sent later when they were aborted before they were sent', async () => {
    const fake = await startFakeBackendServer(sendCompleteResponse)
    const controller = new AbortController()
    const result = connections.to(fake.address).post('/v1/generate', '{"requestId":"r"}', createAttempt({ signal: controller.signal }), () => {})
    controller.abort()
    expect((await result)._unsafeUnwrapErr().sent).to.equal(false)
    // The connection was still being opened at the abort. The first request would be sent before the later ones are answered.
    for (let number = 0; number < 3; number++) await connections.to(fake.address).post('/v1/generate', '{"requestId":"s"}', createAttempt(), () => {})
    expect(fake.requests.map(request => request.requestId)).to.deep.equal(['s', 's', 's'])
    await fake.close()
  })

  // Guards against reporting "not run" for a request that reached the backend server.
  it('report that they were sent whenever the request arrived', async () => {
    for (const interrupt of [(response: { destroy: () => void }) => response.destroy(), () => {}]) {
      const fake = await startFakeBackendServer((_, response) => interrupt(response))
      const result = await connections.to(fake.address).post('/v1/generate', '{"requestId":"r"}', createAttempt({ firstByteMs: 200 }), () => {})
      expect(result._unsafeUnwrapErr().sent).to.equal(true)
      expect(fake.requests.length).to.equal(1)
      await fake.close()
    }
  })

  // Guards against chunks of an aborted attempt that are delivered among the chunks of the next one.
  it('deliver nothing after their result', async () => {
    const fake = await startFakeBackendServer((request, response) => { writeTokens(request, response, 0, 4) })
    const controller = new AbortController()
    const chunks: OutputChunk[] = []
    let resolveDelivery = (): void => {}
    let ended = false
    const result = createEngineProtocol().run(connections.to(fake.address), createAttempt({ signal: controller.signal }), chunk => {
      chunks.push(chunk)
      return new Promise(resolve => { resolveDelivery = resolve })
    }).finally(() => { ended = true })
    await eventually('the first chunk', 2_000, () => chunks.length === 1 ? true : undefined)
    controller.abort()
    await new Promise(resolve => setImmediate(resolve))
    expect(ended).to.equal(false)
    resolveDelivery()
    expect((await result).isErr()).to.equal(true)
    expect(chunks.length).to.equal(1)
    await fake.close()
  })

  // Guards against output of another request, or of another position, in the output of this attempt.
  it('accept only events that continue their own attempt', () => {
    fc.assert(fc.property(fc.boolean(), fc.nat(5), fc.nat(5), fc.boolean(), (isOwnRequest, offset, expected, done) => {
      const kind = classifyEvent({ requestId: isOwnRequest ? 'r' : 'other', offset, done }, 'r', expected)
      expect(kind === EventKind.Token || kind === EventKind.End).to.equal(isOwnRequest && offset === expected)
    }))
  })
})

describe('response queue to a caller', () => {
  // Guards against unbounded buffering for a slow caller, and against a writer that waits for a caller that disconnected.
  it('blocks its writer at the limit until the reader has taken a chunk or disconnected', async () => {
    const disconnect = new AbortController()
    const queue = createResponseQueue(disconnect.signal)
    for (let offset = 0; offset < queueLimitChunks - 1; offset++) expect(queue.push({ offset, text: '' })).to.equal(undefined)
    let released = false
    const pendingPush = queue.push({ offset: queueLimitChunks - 1, text: '' })?.then(() => { released = true })
    expect(released).to.equal(false)
    expect((await queue.take())?.offset).to.equal(0)
    await pendingPush
    expect(released).to.equal(true)
    const secondPush = queue.push({ offset: queueLimitChunks, text: '' })
    disconnect.abort()
    await secondPush
    expect(await queue.take()).to.equal(undefined)
  })

  // Guards against a write that waits without end for a caller that stopped reading.
  it('detects a caller that reads nothing', async () => {
    expect(await isWrittenWithin(new Promise(() => {}), 10)).to.equal(false)
    expect(await isWrittenWithin(Promise.resolve(), 10)).to.equal(true)
  })
})
