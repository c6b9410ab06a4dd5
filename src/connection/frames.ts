/**
 * Frames on a connection between hosts: a header with the length and encoding of the body, and a body in MessagePack.
 * Large bodies are compressed, since traffic between regions is billed by the byte.
 * @module
 */
import type { Socket } from 'node:net'
import { promisify } from 'node:util'
import { constants, gunzip, gunzipSync, gzip, gzipSync, type ZlibOptions } from 'node:zlib'
import { Packr } from 'msgpackr'
import { releaseBytes } from '../process/program/releaseBytes.ts'

/** Minimum length of a body that is compressed, in bytes. */
export const compressionThresholdBytes = 4_096

/** Maximum length of a body, before and after decompression, in bytes. */
export const maxFrameBodyBytes = 64 * 1024 * 1024

/** Length of a header in bytes: four for the length of the body and one for its encoding. */
const headerBytes = 5

/** Offset of the encoding in a header, in bytes. */
const encodingOffset = 4

/** Size from which the buffer of an encoded message is freed at once, in bytes: a job or the body of an item takes megabytes. */
const releasedMessageBytes = 256 * 1024

/** First size of the encoder's buffer, in bytes; it grows with the messages. */
const encoderBytes = 64 * 1024

const BodyEncoding = { Plain: 0, Gzip: 1 } as const

// Bodies are copied, since a view of one body would keep the whole message in memory.
const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false, copyBuffers: true })
const compressAsync = promisify(gzip)
const decompressAsync = promisify(gunzip)

/**
 * Maximum length of a body that is compressed or decompressed synchronously, in bytes. It takes less than a millisecond; a call
 * in the thread pool costs more than that on a host with one core.
 */
const maxSyncBytes = 32 * 1024

/** Minimum size of the output buffer of the compression, in bytes. */
const minOutputBytes = 1_024

/**
 * Options of the compression of a body. The lowest level takes about a third of the time of the default level and compresses the
 * items of jobs nearly as well; a window of 8 KiB allocates a sixth of the memory of the default one.
 */
function createCompressionOptions (length: number): ZlibOptions {
  return { level: constants.Z_BEST_SPEED, windowBits: 13, memLevel: 5, chunkSize: Math.max(minOutputBytes, Math.min(length, maxSyncBytes)) }
}

/**
 * Compresses bytes.
 * @param plain - the bytes
 * @returns the compressed bytes, as a promise if they are many
 */
export function compress (plain: Buffer): Buffer | Promise<Buffer> {
  const options = createCompressionOptions(plain.length)
  return plain.length <= maxSyncBytes ? gzipSync(plain, options) : compressAsync(plain, options)
}

/**
 * Decompresses bytes.
 * @param compressed - the bytes
 * @returns the plain bytes, as a promise if the compressed ones are many; throws or rejects when they are damaged or too many
 */
export function decompress (compressed: Uint8Array): Buffer | Promise<Buffer> {
  const options = { maxOutputLength: maxFrameBodyBytes }
  return compressed.length <= maxSyncBytes ? gunzipSync(compressed, options) : decompressAsync(compressed, options)
}

/**
 * Encodes a message.
 * @param message - any value that MessagePack can encode
 * @param thresholdBytes - minimum length of a body that is compressed, in bytes; Infinity for never
 * @returns the frame, as a promise if its body is compressed in the thread pool
 */
export function encodeMessage (message: unknown, thresholdBytes: number): Buffer | Promise<Buffer> {
  const plain = codec.pack(message)
  // The encoder takes a new buffer, so that nobody uses this one when it is freed.
  if (plain.length >= releasedMessageBytes) codec.useBuffer(Buffer.allocUnsafeSlow(encoderBytes))
  if (plain.length < thresholdBytes) return createFrameAndRelease(plain, plain, BodyEncoding.Plain)
  const compressed = compress(plain)
  if (compressed instanceof Promise) return compressed.then(body => createFrameAndRelease(body, plain, BodyEncoding.Gzip))
  return createFrame(compressed, BodyEncoding.Gzip)
}

// The frame is a copy. A message at the start of a buffer has it for itself; before another one, results of other encoders may lie that are
// still in use, because all encoders share their buffer.
function createFrameAndRelease (body: Buffer, plain: Buffer, encoding: number): Buffer {
  const frame = createFrame(body, encoding)
  if (plain.length >= releasedMessageBytes && plain.byteOffset === 0) releaseBytes(new Uint8Array(plain.buffer))
  return frame
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
 * @returns a function that tells whether a part of a message has arrived
 */
export function readMessages (socket: Socket, receive: (message: unknown) => void): () => boolean {
  let chunks: Buffer[] = []
  let bufferedBytes = 0
  // Bytes that complete the next frame, as far as its header is known; chunks are joined only then.
  let requiredBytes = headerBytes

  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk)
    bufferedBytes += chunk.length
    if (bufferedBytes < requiredBytes) return
    let bytes = chunks.length === 1 ? chunk : Buffer.concat(chunks)
    requiredBytes = headerBytes
    while (bytes.length >= headerBytes) {
      const bodyLength = bytes.readUInt32LE(0)
      if (bodyLength > maxFrameBodyBytes) {
        socket.destroy(new Error(`a message has more than ${maxFrameBodyBytes} bytes`))
        return
      }
      const end = headerBytes + bodyLength
      if (bytes.length < end) {
        requiredBytes = end
        break
      }
      deliverMessage(socket, bytes.subarray(headerBytes, end), bytes.readUInt8(encodingOffset), receive)
      bytes = bytes.subarray(end)
    }
    chunks = bytes.length === 0 ? [] : [bytes]
    bufferedBytes = bytes.length
  })
  return () => bufferedBytes > 0
}

function deliverMessage (socket: Socket, body: Buffer, encoding: number, receive: (message: unknown) => void): void {
  try {
    const plain = encoding === BodyEncoding.Plain ? body : decompress(body)
    if (plain instanceof Promise) plain.then(bytes => receive(unpackAndRelease(bytes))).catch((error: Error) => socket.destroy(error))
    else receive(codec.unpack(plain))
  } catch (error) {
    socket.destroy(error as Error)
  }
}

// The message is a copy.
function unpackAndRelease (bytes: Buffer): unknown {
  const message: unknown = codec.unpack(bytes)
  releaseBytes(bytes)
  return message
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
