import { expect } from 'chai'
import { ok } from 'neverthrow'
import { createControlApi } from '../platform/controlHttp.ts'
import type { Heartbeat } from '../src/process/fleet/backendServerRegistry.ts'
import { type ControlService, PublicationResult } from '../src/process/fleet/controlService.ts'
import type { Publication } from '../src/version/gatewayTables.ts'

const megabyte = 1_048_576

describe('platform control API', () => {
  const heartbeats: Heartbeat[] = []
  const ignored: string[] = []
  const publications: Publication[] = []
  const service = {
    async publish (publication: Publication) {
      publications.push(publication)
      return PublicationResult.Accepted
    },
    logRefusedPublication () {},
    async receiveHeartbeat (heartbeat: Heartbeat) {
      heartbeats.push(heartbeat)
      return ok(true)
    },
    logIgnoredHeartbeat: (id: string) => { ignored.push(id) }
  } as unknown as ControlService
  const api = createControlApi(service)

  const heartbeat = { service: 's', addr: '10.0.0.1:80', zone: 'z1', version: 'v1', slots: 8, state: 'ready', seq: 4, born: 1 }
  const configuration = {
    version: 7,
    routes: [{ name: 'r', host: 'a.example', path_prefix: '/p/', kind: 'streaming', timeout_ms: 5_000, slo_ms: 300, service: 's' }],
    services: [{ name: 's' }],
    limits: { header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  }

  beforeEach(() => {
    for (const list of [heartbeats, ignored, publications]) list.length = 0
  })

  async function put (path: string, body: string | Uint8Array): Promise<number> {
    return (await api.request(path, { method: 'PUT', body, headers: { 'content-length': String(Buffer.byteLength(body)) } })).status
  }

  /** Sends a body without its length, and counts the bytes that the API reads. */
  async function putChunks (path: string, chunks: number): Promise<{ readonly status: number, readonly readBytes: number }> {
    let readBytes = 0
    const body = new ReadableStream<Uint8Array>({
      pull (controller) {
        if (readBytes >= chunks * megabyte) return controller.close()
        readBytes += megabyte
        controller.enqueue(new Uint8Array(megabyte).fill(0x20))
      }
    })
    const response = await api.request(new Request(`http://a.example${path}`, { method: 'PUT', body, duplex: 'half' } as RequestInit))
    return { status: response.status, readBytes }
  }

  // Failure: a body of any length was read into memory.
  it('refuses bodies that are too long, without reading them', async () => {
    for (const path of ['/v1/instances/i-1', '/v1/config']) {
      expect(await put(path, Buffer.alloc(20 * megabyte, ' ')), path).to.equal(413)
      const { status, readBytes } = await putChunks(path, 100)
      expect(status, path).to.equal(413)
      expect(readBytes, path).to.be.below(20 * megabyte)
    }
    expect([heartbeats, publications]).to.deep.equal([[], []])
  })

  // Guards against a limit that refuses a long configuration, or a heartbeat with fields that are not read.
  it('accepts a long configuration, and a heartbeat with and without a length', async () => {
    expect(await put('/v1/config', `${JSON.stringify(configuration)}${' '.repeat(8 * megabyte)}`)).to.equal(200)
    expect(await put('/v1/instances/i-1', JSON.stringify({ ...heartbeat, models: 'm'.repeat(4_096) }))).to.equal(200)
    expect((await api.request('/v1/instances/i-2', { method: 'PUT', body: JSON.stringify(heartbeat) })).status).to.equal(200)
    expect(publications).to.have.length(1)
    expect(heartbeats.map(({ id }) => id)).to.deep.equal(['i-1', 'i-2'])
  })

  // Guards against an entry of another writer that ends the request with an error, on which its sender repeats it.
  it('ignores heartbeats that can\'t be read', async () => {
    const deep = `${'['.repeat(10_000)}${']'.repeat(10_000)}`
    for (const body of ['', '{"service":', 'null', '[]', '7', deep, `{"service":${deep}}`, new Uint8Array([0xff, 0xfe, 0x22])]) expect(await put('/v1/instances/i-1', body)).to.equal(200)
    expect(ignored).to.have.length(8)
    expect(heartbeats).to.deep.equal([])
  })

  // Guards against an id that is decoded differently from how it was sent, or that ends the request with an error.
  it('reads any id of a path', async () => {
    for (const id of ['__proto__', 'constructor', '%E0%A4%A', '%00', 'x'.repeat(10_000)]) expect(await put(`/v1/instances/${id}`, JSON.stringify(heartbeat))).to.equal(200)
    expect(heartbeats.map(({ id }) => id)).to.deep.equal(['__proto__', 'constructor', '%E0%A4%A', '\u0000', 'x'.repeat(10_000)])
  })
})
