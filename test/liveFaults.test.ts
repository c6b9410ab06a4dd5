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
import { type FakeRequest, type FakeBackendServer, startFake, writeEvent } from './support/fakeBackendServer.ts'
import { startSystem, type TestSystem } from './support/system.ts'
import { responseText, tokenText } from './standIn/standIn.ts'

type Answer = Parameters<typeof startFake>[0]

function writeTokens (asked: FakeRequest, response: Parameters<Answer>[1], from: number, to: number): void {
  for (let offset = from; offset < to; offset++) writeEvent(response, { requestId: asked.requestId, offset, text: tokenText(asked.prompt, offset) })
}

const answerWhole: Answer = (asked, response) => {
  writeTokens(asked, response, asked.offset, 4)
  writeEvent(response, { requestId: asked.requestId, offset: 4, done: true })
  response.end()
}

describe('answers with faults', () => {
  let system: TestSystem
  let fake: FakeBackendServer
  let answer: Answer

  before(async () => {
    system = await startSystem()
    await system.apply([
      { name: 'assist', pool: 'assist', firstByteMs: 300, betweenBytesMs: 300 },
      { name: 'once', pool: 'assist', idempotent: false, firstByteMs: 300, betweenBytesMs: 300 }
    ], [{ name: 'assist' }])
    fake = await startFake((...asked) => answer(...asked))
    answer = answerWhole
    fake.announceTo(system)
    // A hundred first attempts save up ten retries.
    for (let number = 0; number < 100; number++) await system.ask('assist', { input: 'warm', maxTokens: 4 })
  })

  beforeEach(() => fake.announceTo(system))

  after(async () => {
    await system.close()
    await fake.close()
  })

  const faults: ReadonlyArray<[string, Answer]> = [
    ['a part of another request', (asked, response) => {
      writeTokens(asked, response, 0, 2)
      writeTokens({ ...asked, requestId: 'another', prompt: 'another' }, response, 2, 4)
      writeTokens(asked, response, 2, 4)
      writeEvent(response, { requestId: asked.requestId, offset: 4, done: true })
      response.end()
    }],
    ['a part of an earlier attempt of the same request', (asked, response) => {
      writeTokens({ ...asked, requestId: `${asked.requestId.split('/')[0]}/earlier`, prompt: 'earlier' }, response, 0, 4)
      writeEvent(response, { requestId: asked.requestId, offset: 0, done: true })
      response.end()
    }],
    ['repeated parts', (asked, response) => {
      for (const offset of [0, 1, 0, 1, 2, 1, 3]) writeTokens(asked, response, offset, offset + 1)
      writeEvent(response, { requestId: asked.requestId, offset: 4, done: true })
      response.end()
    }],
    ['a gap', (asked, response) => {
      writeTokens(asked, response, 0, 2)
      writeTokens(asked, response, 3, 4)
      writeEvent(response, { requestId: asked.requestId, offset: 4, done: true })
      response.end()
    }],
    ['an early end without an end mark', (asked, response) => {
      writeTokens(asked, response, 0, 2)
      response.end()
    }],
    ['an end mark ahead of its tokens', (asked, response) => {
      writeTokens(asked, response, 0, 2)
      writeEvent(response, { requestId: asked.requestId, offset: 4, done: true })
      response.end()
    }],
    ['a broken connection', (asked, response) => {
      writeTokens(asked, response, 0, 2)
      setImmediate(() => response.destroy())
    }],
    ['an event that is not JSON', (asked, response) => {
      writeTokens(asked, response, 0, 2)
      response.end('data: {"requestId\n\n')
    }]
  ]
  for (const [name, fault] of faults) {
    // Guards against another request's text, doubled or missing tokens, and half an answer passed for a whole one.
    it(`reach the caller whole and in order after ${name}`, async () => {
      for (const stream of [false, true]) {
        answer = (asked, response, number) => {
          answer = answerWhole
          fault(asked, response, number)
        }
        const got = await system.ask('assist', { input: `site ${name}`, maxTokens: 4, stream }, { 'jaychute-request-id': 'same-id' })
        const text = stream ? [...got.text.matchAll(/"text":"([^"]*)"/g)].map(match => match[1]).join('') : got.json().text
        expect(text).to.equal(responseText(`site ${name}`, 4))
        if (stream) expect(got.text).to.include('event: done')
        for (let number = 0; number < 10; number++) await system.ask('assist', { input: 'warm', maxTokens: 4 })
      }
    })
  }

  // Guards against a half answer with status 200 when there is no retry left that could complete it.
  it('end with an error that says so when they can not be completed', async () => {
    answer = (asked, response) => {
      writeTokens(asked, response, 0, 2)
      response.end()
    }
    const whole = await system.ask('once', { input: 'half', maxTokens: 4 })
    expect(whole.status).to.equal(502)
    expect(whole.json().error).to.include({ reason: 'incomplete answer', execution: 'ran' })
    const streamed = await system.ask('once', { input: 'half', maxTokens: 4, stream: true })
    expect(streamed.text).to.include('event: error').and.include('"incomplete answer"')
    expect(streamed.text).not.to.include('event: done')
    answer = answerWhole
  })

  // Guards against a second run of a request whose answer was lost, and against "not run" for it.
  it('are never asked for again when the request is not idempotent', async () => {
    answer = (_, response) => { response.destroy() }
    const before = fake.requests.length
    const got = await system.ask('once', { input: 'lost', maxTokens: 4 })
    expect(got.json().error).to.include({ reason: 'answer lost', execution: 'unknown' })
    expect(fake.requests.length).to.equal(before + 1)
    answer = answerWhole
  })

  // Guards against a backend server that is taken for dead because connections to it went silent.
  it('arrive over a new connection when all open ones are silent, and the backend server stays healthy', async () => {
    await Promise.all([1, 2, 3].map(() => system.ask('assist', { input: 'warm', maxTokens: 4 })))
    const silent = new Set(fake.connections)
    answer = (asked, response, number) => {
      if (response.socket !== null && !silent.has(response.socket)) answerWhole(asked, response, number)
    }
    const got = await system.ask('assist', { input: 'silent', maxTokens: 4 })
    expect(got.json().text).to.equal(responseText('silent', 4))
    await eventually('no silent connection is left open', 2_000, () => [...silent].some(socket => fake.connections.has(socket)) ? undefined : true)
    expect(system.daemon.entryHost?.backendServers.listAvailable('assist').length).to.equal(1)
    answer = answerWhole
  })

  // Guards against a stream that goes silent in the middle and holds its caller until the deadline.
  it('go on from their offset when the stream goes silent', async () => {
    answer = (asked, response) => {
      answer = answerWhole
      writeTokens(asked, response, 0, 2)
    }
    const got = await system.ask('assist', { input: 'half silent', maxTokens: 4 })
    expect(got.json().text).to.equal(responseText('half silent', 4))
    expect(fake.requests.at(-1)?.offset).to.equal(2)
  })

  // Guards against memory without bound for a caller that stops reading, and against one that slows the others.
  it('hold back the stream of a caller that does not read, and no other stream', async () => {
    const text = 'x'.repeat(16_384)
    const total = 4_000
    let written = 0
    answer = (asked, response) => {
      answer = answerWhole
      const write = (): void => {
        while (written < total) {
          writeEvent(response, { requestId: asked.requestId, offset: written, text })
          written++
          if (response.writableNeedDrain) {
            response.once('drain', write)
            return
          }
        }
        writeEvent(response, { requestId: asked.requestId, offset: written, done: true })
        response.end()
      }
      write()
    }
    const body = JSON.stringify({ input: 'slow', maxTokens: total, stream: true })
    const [ip = '', port = ''] = system.callerAddress.split(':')
    const caller = connect({ host: ip, port: Number(port) }).pause()
    caller.write(`POST /v1/routes/assist/requests HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\njaychute-account: slow\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    let last = 0
    let looks = 0
    await eventually('the stream to be held back', 10_000, () => {
      looks = written > 0 && written === last ? looks + 1 : 0
      last = written
      return looks === 10 ? true : undefined
    })
    const got = await system.ask('assist', { input: 'quick', maxTokens: 4 })
    expect(got.json().text).to.equal(responseText('quick', 4))
    // Kernel buffers hold a few MB on each side; 64 MB would pass through without backpressure.
    expect(written).to.be.below(total / 2)
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

  function attemptOf (changes: Partial<Attempt> = {}): Attempt {
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

  // Guards against "not run" for a request that undici still sends after the attempt was given up.
  it('are not sent later when they were given up before they were sent', async () => {
    const fake = await startFake(answerWhole)
    const controller = new AbortController()
    const result = connections.to(fake.address).post('/v1/generate', '{"requestId":"r"}', attemptOf({ signal: controller.signal }), () => {})
    controller.abort()
    expect((await result)._unsafeUnwrapErr().sent).to.equal(false)
    // The connection was being opened; once a second exchange has been answered, the first would have been sent too.
    for (let number = 0; number < 3; number++) await connections.to(fake.address).post('/v1/generate', '{"requestId":"s"}', attemptOf(), () => {})
    expect(fake.requests.map(asked => asked.requestId)).to.deep.equal(['s', 's', 's'])
    await fake.close()
  })

  // Guards against "not run" for a request that reached the backend server.
  it('say that they were sent whenever the request arrived', async () => {
    for (const cut of [(response: { destroy: () => void }) => response.destroy(), () => {}]) {
      const fake = await startFake((_, response) => cut(response))
      const result = await connections.to(fake.address).post('/v1/generate', '{"requestId":"r"}', attemptOf({ firstByteMs: 200 }), () => {})
      expect(result._unsafeUnwrapErr().sent).to.equal(true)
      expect(fake.requests.length).to.equal(1)
      await fake.close()
    }
  })

  // Guards against parts of an attempt that was given up, which would follow the parts of the next one.
  it('deliver nothing after their result', async () => {
    const fake = await startFake((asked, response) => { writeTokens(asked, response, 0, 4) })
    const controller = new AbortController()
    const parts: OutputChunk[] = []
    let finish = (): void => {}
    let ended = false
    const running = createEngineProtocol().run(connections.to(fake.address), attemptOf({ signal: controller.signal }), part => {
      parts.push(part)
      return new Promise(resolve => { finish = resolve })
    }).finally(() => { ended = true })
    await eventually('the first part', 2_000, () => parts.length === 1 ? true : undefined)
    controller.abort()
    await new Promise(resolve => setImmediate(resolve))
    expect(ended).to.equal(false)
    finish()
    expect((await running).isErr()).to.equal(true)
    expect(parts.length).to.equal(1)
    await fake.close()
  })

  it('take only events that continue their own attempt', () => {
    fc.assert(fc.property(fc.boolean(), fc.nat(5), fc.nat(5), fc.boolean(), (own, offset, expected, done) => {
      const kind = classifyEvent({ requestId: own ? 'r' : 'other', offset, done }, 'r', expected)
      expect(kind === EventKind.Token || kind === EventKind.End).to.equal(own && offset === expected)
    }))
  })
})

describe('queue towards a caller', () => {
  it('holds its writer back at the limit until the reader has taken a piece or is gone', async () => {
    const gone = new AbortController()
    const queue = createResponseQueue(gone.signal)
    for (let offset = 0; offset < queueLimitChunks - 1; offset++) expect(queue.push({ offset, text: '' })).to.equal(undefined)
    let released = false
    const held = queue.push({ offset: queueLimitChunks - 1, text: '' })?.then(() => { released = true })
    expect(released).to.equal(false)
    expect((await queue.take())?.offset).to.equal(0)
    await held
    expect(released).to.equal(true)
    const again = queue.push({ offset: queueLimitChunks, text: '' })
    gone.abort()
    await again
    expect(await queue.take()).to.equal(undefined)
  })

  it('notices a caller that takes nothing', async () => {
    expect(await isWrittenWithin(new Promise(() => {}), 10)).to.equal(false)
    expect(await isWrittenWithin(Promise.resolve(), 10)).to.equal(true)
  })
})
