import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { gzipSync } from 'node:zlib'
import { compressionThresholdBytes, encodeMessage, maxFrameBodyBytes, readMessages } from '../src/connection/frames.ts'

const gzipEncoding = 1

function encodeGzipFrame (body: Buffer): Buffer {
  const header = Buffer.alloc(5)
  header.writeUInt32LE(body.length, 0)
  header.writeUInt8(gzipEncoding, 4)
  return Buffer.concat([header, body])
}

// Resolves with the error by which the connection was closed.
function waitForError (socket: Socket): Promise<Error> {
  return new Promise(resolve => socket.once('error', resolve))
}

describe('compression of messages between hosts', () => {
  const server = createServer()
  before(async () => {
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })
  after(() => server.close())

  async function connectPair (): Promise<[sender: Socket, receiver: Socket]> {
    const accepted = once(server, 'connection')
    const sender = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [receiver] = await accepted as [Socket]
    return [sender, receiver]
  }

  // Compressing a small message takes processor time and saves hardly any bytes.
  it('leaves messages below the threshold uncompressed', () => {
    const text = 'x'.repeat(compressionThresholdBytes - 100)
    expect((encodeMessage([1, text], compressionThresholdBytes) as Buffer).includes(text)).to.equal(true)
    expect((encodeMessage([1, 'x'.repeat(compressionThresholdBytes)], compressionThresholdBytes) as Buffer).length).to.be.below(text.length / 10)
  })

  // A stream may deliver a frame byte by byte or several frames in one chunk; both must yield the same messages.
  it('delivers messages unchanged when a frame arrives byte by byte or several arrive in one chunk', async () => {
    const text = 'höhe '.repeat(compressionThresholdBytes)
    const large = await encodeMessage({ text }, compressionThresholdBytes)
    expect(large.length).to.be.lessThan(text.length / 10)
    const [sender, receiver] = await connectPair()
    const received: unknown[] = []
    const allReceived = new Promise<void>(resolve => readMessages(receiver, message => {
      received.push(message)
      if (received.length === 3) resolve()
    }))
    const small = encodeMessage('small', compressionThresholdBytes) as Buffer
    for (const byte of small) sender.write(Buffer.from([byte]))
    sender.write(Buffer.concat([large, small]))
    await allReceived
    sender.destroy()
    expect(received).to.have.deep.members(['small', { text }, 'small'])
  })

  // A small compressed message that expands without limit would exhaust the memory of the host.
  for (const [name, body] of [['too long after decompression', gzipSync(Buffer.alloc(maxFrameBodyBytes + 1))], ['damaged', Buffer.from('no gzip')]] as const) {
    it(`closes the connection on a message that is ${name}`, async () => {
      const [sender, receiver] = await connectPair()
      sender.on('error', () => {})
      readMessages(receiver, () => expect.fail('the message was delivered'))
      sender.write(encodeGzipFrame(body))
      await waitForError(receiver)
      sender.destroy()
    })
  }

  // A header with a wrong or hostile length would make the receiver buffer up to 4 GiB.
  it('closes the connection on a frame whose header announces too long a body', async () => {
    const [sender, receiver] = await connectPair()
    readMessages(receiver, () => expect.fail('the message was delivered'))
    const header = Buffer.alloc(5)
    header.writeUInt32LE(maxFrameBodyBytes + 1, 0)
    sender.write(header)
    await waitForError(receiver)
    sender.destroy()
  })
})
