/**
 * Frames on a connection between hosts: a header with the length and encoding of the body, and a body in MessagePack.
 * Large bodies are compressed, since traffic between regions is billed by the byte.
 * @module
 */
import type { Socket } from 'node:net'
import { promisify } from 'node:util'
import { constants, gunzip, gzip } from 'node:zlib'
import { Packr } from 'msgpackr'

/** Minimum length of a body that is compressed, in bytes. */
export const compressionThresholdBytes = 4_096

/** Maximum length of a body, before and after decompression, in bytes. */
export const maxFrameBodyBytes = 64 * 1024 * 1024

/** Length of a header in bytes: four for the length of the body and one for its encoding. */
const headerBytes = 5

/** Offset of the encoding in a header, in bytes. */
const encodingOffset = 4

const BodyEncoding = { Plain: 0, Gzip: 1 } as const

// Bodies are copied, since a view of one body would keep the whole message in memory.
const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false, copyBuffers: true })
const compress = promisify(gzip)
const decompress = promisify(gunzip)

// The lowest level takes about a third of the time of the default level and compresses the items of jobs nearly as well.
const compressionOptions = { level: constants.Z_BEST_SPEED }

/**
 * Encodes a message.
 * @param message - any value that MessagePack can encode
 * @param thresholdBytes - minimum length of a body that is compressed, in bytes; Infinity for never
 * @returns the frame
 */
export async function encodeMessage (message: unknown, thresholdBytes: number): Promise<Buffer> {
  const plain = codec.pack(message)
  if (plain.length < thresholdBytes) return createFrame(plain, BodyEncoding.Plain)
  return createFrame(await compress(plain, compressionOptions), BodyEncoding.Gzip)
}

/**
 * Encodes a message synchronously if its body needs no compression.
 * @param message - any value that MessagePack can encode
 * @param thresholdBytes - minimum length of a body that is compressed, in bytes; Infinity for never
 * @returns the frame, or undefined when the body must be compressed
 */
export function encodeSmallMessage (message: unknown, thresholdBytes: number): Buffer | undefined {
  const plain = codec.pack(message)
  return plain.length < thresholdBytes ? createFrame(plain, BodyEncoding.Plain) : undefined
}

function createFrame (body: Buffer, encoding: number): Buffer {
  const frame = Buffer.allocUnsafe(headerBytes + body.length)
  frame.writeUInt32LE(body.length, 0)
  frame.writeUInt8(encoding, encodingOffset)
  body.copy(frame, headerBytes)
  return frame
}

/**
 * Reads messages from a connection until it closes. A frame that is too long or malformed closes the connection.
 * @param socket - the connection
 * @param receive - called with each message
 */
export function readMessages (socket: Socket, receive: (message: unknown) => void): void {
  let chunks: Buffer[] = []
  let bufferedBytes = 0

  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk)
    bufferedBytes += chunk.length
    if (bufferedBytes < headerBytes) return
    let bytes = chunks.length === 1 ? chunk : Buffer.concat(chunks)
    while (bytes.length >= headerBytes) {
      const bodyLength = bytes.readUInt32LE(0)
      if (bodyLength > maxFrameBodyBytes) {
        socket.destroy(new Error(`a message has more than ${maxFrameBodyBytes} bytes`))
        return
      }
      const end = headerBytes + bodyLength
      if (bytes.length < end) break
      deliverMessage(socket, bytes.subarray(headerBytes, end), bytes.readUInt8(encodingOffset), receive)
      bytes = bytes.subarray(end)
    }
    chunks = bytes.length === 0 ? [] : [bytes]
    bufferedBytes = bytes.length
  })
}

function deliverMessage (socket: Socket, body: Buffer, encoding: number, receive: (message: unknown) => void): void {
  if (encoding === BodyEncoding.Plain) {
    try {
      receive(codec.unpack(body))
    } catch (error) {
      socket.destroy(error as Error)
    }
    return
  }
  decompress(body, { maxOutputLength: maxFrameBodyBytes })
    .then(plain => receive(codec.unpack(plain)))
    .catch((error: Error) => socket.destroy(error))
}

/**
 * Writes a frame. Frames written in the same turn of the event loop are sent in one system call.
 * @param socket - the connection
 * @param frame - the frame
 */
export function writeFrame (socket: Socket, frame: Buffer): void {
  if (socket.destroyed) return
  if (socket.writableCorked === 0) {
    socket.cork()
    process.nextTick(() => socket.uncork())
  }
  socket.write(frame)
}
