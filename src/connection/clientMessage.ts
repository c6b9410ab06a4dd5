/**
 * Requests of callers as the HTTP server reads them. The server's parser passes on each chunk of a body as an object of its own and
 * reads up to 64 KiB beyond the point where it is paused; a body in chunks of one byte would fill megabytes for each connection.
 * @module
 */
import { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { type ByteCollector, createByteCollector } from '../process/program/byteCollector.ts'
import { type ArrivingBody, countParsedChunk, countWaitingBytes, deferRead, setArrivingBody } from './clientReads.ts'
import { releaseBytes } from '../process/program/releaseBytes.ts'

/** Bytes that wait for their reader, from which no more are read from the connection. */
const maxWaitingBytes = 16 * 1024

/** Chunks from which their mean size counts: far more than a client of ordinary chunks sends in a body of the largest size. */
const minCountedChunks = 4_096

/** Mean size of chunks below which reading a body takes its time for the chunks, not for the bytes: about 3 us for each. */
const minMeanChunkBytes = 64

/** A request whose chunks are joined until their reader takes them. */
export class ClientMessage extends IncomingMessage implements ArrivingBody {
  /** The complete body, once it has been received; the adapter of Hono reads it from here. */
  rawBody: Buffer | undefined
  private readonly waiting: ByteCollector = createByteCollector()
  private isWanted = false
  private isHandingOver = false
  /** Bytes of the body that may still be read without being kept; undefined as long as it has a reader. */
  private discardableBytes: number | undefined
  private chunks = 0
  private bytes = 0

  constructor (socket: Socket) {
    super(socket)
    setArrivingBody(socket, this)
  }

  /** Bytes of the body, and of what follows it, that have been read from the connection and have not reached their reader. */
  get unreadBytes (): number {
    return this.waiting.bytes + this.readableLength + countWaitingBytes(this.socket)
  }

  /** Bytes of the body that have not arrived; 0 if their number is not announced. */
  get announcedRest (): number {
    if (this.complete || this.headers['transfer-encoding'] !== undefined) return 0
    return Math.max(0, Number(this.headers['content-length'] ?? 0) - this.bytes)
  }

  /** Whether the body has arrived in very many small chunks so far. */
  get isFragmented (): boolean {
    return this.chunks >= minCountedChunks && this.bytes < this.chunks * minMeanChunkBytes
  }

  /**
   * Reads the rest of the body without keeping it, so that the response reaches the caller.
   * @param maxBytes - bytes after which the connection is closed; a chunk counts as at least 64 bytes, since it takes time however short it is
   */
  discardRest (maxBytes = Infinity): void {
    this.discardableBytes = maxBytes
    this.waiting.discard()
    // Without a read before the response ends, the HTTP server discards the rest itself, past the limits.
    this.read(0)
    this.resume()
  }

  /**
   * Called by the parser for each chunk, and with null at the end.
   * @param chunk - the bytes
   * @returns whether the parser may read on
   */
  override push (chunk: Uint8Array | null): boolean {
    if (chunk === null) {
      if (this.waiting.bytes > 0) super.push(this.waiting.take())
      return super.push(null)
    }
    countParsedChunk()
    this.chunks++
    this.bytes += chunk.length
    if (this.discardableBytes !== undefined) {
      this.discardableBytes -= Math.max(chunk.length, minMeanChunkBytes)
      releaseBytes(chunk)
      if (this.discardableBytes < 0) this.socket.destroy()
      return true
    }
    this.waiting.add(chunk)
    if (this.isWanted && !this.isHandingOver) {
      // All chunks of one read of the connection are parsed before this runs.
      this.isHandingOver = true
      process.nextTick(() => this.handOver())
    }
    return this.waiting.bytes < maxWaitingBytes
  }

  /**
   * Called when the reader wants more.
   * @param size - ignored
   */
  override _read (size: number): void {
    if (!deferRead(this.socket, () => super._read(size))) super._read(size)
    this.isWanted = true
    this.handOver()
  }

  private handOver (): void {
    this.isHandingOver = false
    if (!this.isWanted || this.waiting.bytes === 0) return
    this.isWanted = false
    super.push(this.waiting.take())
  }
}
