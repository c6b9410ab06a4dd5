import { expect } from 'chai'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { gzipSync } from 'node:zlib'
import { request } from 'undici'
import { compressionBytes, compressRequest, compressResponse, decompressRequest } from '../src/connection/messageCompression.ts'

describe('compression of messages between hosts', () => {
  const limitBytes = 100_000
  const server = createServer((incoming, response) => {
    compressResponse(incoming, response)
    decompressRequest(incoming, limitBytes).then(() => {
      const body = (incoming as unknown as { body?: string }).body ?? ''
      response.write(body.slice(0, 10))
      response.end(body.slice(10))
    }, () => response.writeHead(400).end())
  })
  let address = ''
  before(done => {
    server.listen(0, '127.0.0.1', () => {
      address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
      done()
    })
  })
  after(() => server.close())

  it('leaves small messages as they are', async () => {
    const init = { method: 'POST', body: 'x'.repeat(compressionBytes - 1) }
    expect(await compressRequest(init, compressionBytes)).to.equal(init)
  })

  it('carries a large message both ways and back unchanged', async () => {
    const text = 'höhe '.repeat(compressionBytes)
    const sent = await compressRequest({ method: 'POST', body: text }, compressionBytes)
    expect((sent.body as Uint8Array).length).to.be.lessThan(text.length / 10)
    const answer = await fetch(address, sent)
    expect(answer.headers.get('content-encoding')).to.equal('gzip')
    expect(await answer.text()).to.equal(text)
  })

  // A small message that expands without limit would take the memory of the host.
  for (const [name, body] of [['too long after decompression', gzipSync('x'.repeat(limitBytes + 1))], ['damaged', Buffer.from('no gzip')]] as const) {
    it(`refuses a message that is ${name}`, async () => {
      const answer = await request(address, { method: 'POST', headers: { 'content-encoding': 'gzip' }, body })
      expect(answer.statusCode).to.equal(400)
      await answer.body.dump()
    })
  }
})
