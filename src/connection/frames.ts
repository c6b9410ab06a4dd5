/**
 * Frames on a connection between hosts: a header with the length of the body and whether it is compressed, and a body
 * of msgpack. Large bodies are compressed, since the link between regions is paid for by the byte.
 * @module
 */
import type { Socket } from 'node:net'
import { promisify } from 'node:util'
import { constants, gunzip, gzip } from 'node:zlib'
import { Packr } from 'msgpackr'

/** Length from which a body is compressed, in bytes. */
export const compressionThresholdBytes = 4_096

/** Longest body, before and after decompression, in bytes. */
export const maxFrameBodyBytes = 64 * 1024 * 1024

/** Length of a header: four bytes for the length of the body and one for its encoding. */
const headerBytes = 5

const encodingOffset = 4

/** How a body is encoded. */
const BodyEncoding = { Plain: 0, Gzip: 1 } as const

const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false })
const compress = promisify(gzip)
const decompress = promisify(gunzip)

// The lowest level takes about a third of the time of the default one; items of jobs shrink nearly as far.
const compressionOptions = { level: constants.Z_BEST_SPEED }

/**
 * Encodes a message.
 * @param message - any value that msgpack carries
 * @param thresholdBytes - length from which the body is compressed, in bytes; Infinity for never
 * @returns the frame
 */
export async function encodeMessage (message: unknown, thresholdBytes: number): Promise<Buffer> {
  const plain = codec.pack(message)
  if (plain.length < thresholdBytes) return createFrame(plain, BodyEncoding.Plain)
  return createFrame(await compress(plain, compressionOptions), BodyEncoding.Gzip)
}

/**
 * Encodes a message that stays below the length of compression, or is never compressed.
 * @param message - any value that msgpack carries
 * @param thresholdBytes - length from which the body would be compressed, in bytes
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
 * Reads the messages of a connection until it ends. A frame that is too long or damaged ends the connection.
 * @param socket - the connection
 * @param receive - takes each message
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
 * Writes a frame. Frames of one turn of the event loop leave in one system call.
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
