import { expect } from 'chai'
import { once } from 'node:events'
import { connect, type AddressInfo } from 'node:net'
import fc from 'fast-check'
import { ok } from 'neverthrow'
import { createCallerServer } from '../platform/callerHttp.ts'
import { decodeConfiguration } from '../platform/configuration.ts'
import { createControlApi } from '../platform/controlHttp.ts'
import { decodeHeartbeat } from '../platform/heartbeat.ts'
import { decodeSharedPromptParts } from '../platform/promptParts.ts'
import { type ControlService, PublicationResult } from '../src/process/fleet/controlService.ts'
import { decodeFrames, encodeFrame, encodeRecord } from '../src/process/log/recordCodec.ts'
import { decodeSnapshot } from '../src/process/log/snapshotFile.ts'
import type { CallerResponse } from '../src/request/callerExchange.ts'
import type { CallerService } from '../src/request/callerService.ts'
import type { CallerLimits } from '../src/version/gatewayTables.ts'

const fuzzSeed = 4_711
const fuzzRuns = 300

/** Changes bytes of a valid message: replaces, removes and inserts some of them. */
function mutationsOf (valid: Buffer): fc.Arbitrary<Buffer> {
  const edit = fc.record({ at: fc.nat(valid.length), remove: fc.nat(6), insert: fc.uint8Array({ maxLength: 6 }) })
  return fc.array(edit, { minLength: 1, maxLength: 4 }).map(edits => {
    let bytes = valid
    for (const { at, remove, insert } of edits) bytes = Buffer.concat([bytes.subarray(0, at), insert, bytes.subarray(at + remove)])
    return bytes
  })
}

/** Values that a field of a message may hold by mistake. */
const oddValues = [null, -1, 0, 1e308, -1e308, 0.5, '', 'x', [], {}, true, Number.MAX_SAFE_INTEGER]

/** Replaces one field, at any depth, by an odd value. */
function * replaceFields (value: unknown, rebuild: (changed: unknown) => unknown = changed => changed): Iterable<unknown> {
  for (const odd of oddValues) yield rebuild(odd)
  if (typeof value !== 'object' || value === null) return
  for (const [name, field] of Object.entries(value)) {
    const rebuildField = (changed: unknown): unknown => rebuild(Array.isArray(value) ? value.map((element, index) => String(index) === name ? changed : element) : { ...value, [name]: changed })
    yield * replaceFields(field, rebuildField)
  }
}

const configuration = {
  version: 7,
  routes: [{ name: 'r', host: 'a.example', path_prefix: '/p/', kind: 'streaming', timeout_ms: 5_000, slo_ms: 300, split: [{ service: 's', weight: 1 }], max_attempts: 2, resumable: true, gap_target_ms: 250 }],
  services: [{ name: 's', engine: { slots: 8 } }],
  limits: { header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
}
const heartbeat = { service: 's', addr: '10.0.0.1:80', zone: 'z1', version: 'v1', slots: 8, state: 'ready', seq: 4, born: 1 }
const limits: CallerLimits = { headerBytes: 16_384, bodyBytes: 1_000_000, headerMs: 3_000, idleMs: 15_000 }

describe('malformed messages', () => {
  const fuzz = { seed: fuzzSeed, numRuns: fuzzRuns }

  // A reader that throws where nobody expects it ends the process of the host.
  it('are rejected by the readers of files, heartbeats and configurations', () => {
    const frame = encodeFrame(0, [encodeRecord({ kind: 'entry', entry: { index: 1, term: 1, payload: { kind: 'nothing' } } }), encodeRecord({ parts: 0 })])
    fc.assert(fc.property(mutationsOf(frame), bytes => {
      decodeFrames(bytes)
      decodeSnapshot(bytes)
    }), fuzz)
    fc.assert(fc.property(mutationsOf(Buffer.from(JSON.stringify(configuration))), bytes => { decodeConfiguration(bytes.toString('utf8')) }), fuzz)
    for (const changed of replaceFields(configuration)) decodeConfiguration(JSON.stringify(changed))
    for (const changed of replaceFields(heartbeat)) decodeHeartbeat('i-1', changed)
    fc.assert(fc.property(fc.string(), text => { decodeSharedPromptParts(text) }), fuzz)
  })

  it('get a response of the control API, which still serves the next one', async () => {
    const service = {
      publish: async () => PublicationResult.Accepted,
      logRefusedPublication () {},
      receiveHeartbeat: async () => ok(true),
      logIgnoredHeartbeat () {}
    } as unknown as ControlService
    const api = createControlApi(service)
    const put = async (path: string, body: Uint8Array): Promise<number> => (await api.request(path, { method: 'PUT', body, headers: { 'content-length': String(body.length) } })).status
    for (const [path, valid] of [['/v1/config', configuration], ['/v1/instances/i-1', heartbeat]] as const) {
      const bytes = Buffer.from(JSON.stringify(valid))
      await fc.assert(fc.asyncProperty(mutationsOf(bytes), async changed => { expect(await put(path, changed)).to.be.oneOf([200, 400, 409]) }), fuzz)
      for (const changed of replaceFields(valid)) expect(await put(path, Buffer.from(JSON.stringify(changed))), JSON.stringify(changed)).to.be.oneOf([200, 400, 409])
      expect(await put(path, bytes)).to.equal(200)
    }
  })

  // Every configuration that is accepted is applied to the connections of callers.
  it('leave no accepted limits under which a gateway fails', async () => {
    for (const changed of replaceFields(configuration.limits)) {
      const decoded = decodeConfiguration(JSON.stringify({ ...configuration, limits: changed }))
      if (decoded.isErr()) continue
      const server = createCallerServer({
        limits: () => decoded.value.tables.limits,
        isJob: () => false,
        hasAccounts: () => false,
        now: () => performance.now(),
        async forward (_request: unknown, response: CallerResponse) {
          response.start(200, ['content-length', '0'], true)
          response.end()
        },
        reportError () {}
      } as unknown as CallerService)
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
      const { port } = server.address() as AddressInfo
      const socket = connect(port, '127.0.0.1')
      socket.on('error', () => {})
      socket.write('GET /p/1 HTTP/1.1\r\nHost: a.example\r\n\r\n')
      await once(socket, 'data')
      // The limits of the idle time apply after the response.
      await new Promise(resolve => setImmediate(resolve))
      socket.destroy()
      server.close()
      server.closeAllConnections()
    }
  })

  it('end the connection of their caller, and the gateway serves the next request', async () => {
    let served = 0
    const server = createCallerServer({
      limits: () => limits,
      isJob: (_host: string, path: string) => path.startsWith('/batch/'),
      hasAccounts: () => false,
      now: () => performance.now(),
      async forward (_request: unknown, response: CallerResponse) {
        served++
        response.start(200, ['content-length', '0'], true)
        response.end()
      },
      submit: async () => ok(undefined),
      results: async () => ok(undefined),
      body: async () => ok(undefined),
      end: async () => ok(false),
      reportError (error: unknown) { throw error }
    } as unknown as CallerService)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const exchange = async (bytes: Uint8Array): Promise<string> => {
      const socket = connect(port, '127.0.0.1')
      socket.on('error', () => {})
      const chunks: Buffer[] = []
      socket.on('data', chunk => chunks.push(chunk))
      socket.end(bytes)
      await once(socket, 'close')
      return Buffer.concat(chunks).toString('latin1')
    }
    const item = { id: 'x', path: '/p/1', headers: {}, body: 'AA==', tokens: 5 }
    const job = JSON.stringify({ items: [item] })
    const messages = [
      'POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\nX-Deadline-Ms: 900\r\nLast-Event-Id: 3\r\nX-Prefix-Hash: ab:10,cd:20\r\nContent-Length: 2\r\n\r\nok',
      `POST /batch/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\nContent-Length: ${job.length}\r\n\r\n${job}`,
      'GET /v1/lots/j?after=1 HTTP/1.1\r\nHost: a.example\r\nX-Wait-Ms: 10\r\n\r\n',
      'GET /v1/items/j?id=x HTTP/1.1\r\nHost: a.example\r\n\r\n'
    ]
    for (const message of messages) {
      await fc.assert(fc.asyncProperty(mutationsOf(Buffer.from(message)), async bytes => { await exchange(bytes) }), { seed: fuzzSeed, numRuns: 60 })
    }
    const before = served
    expect(await exchange(Buffer.from(messages[0] ?? ''))).to.match(/^HTTP\/1\.1 200/)
    expect(served).to.equal(before + 1)
    server.close()
    server.closeAllConnections()
  })
})
