/**
 * Reads of connections of clients: how much of what has arrived is parsed at once, and in one turn of the event loop.
 * @module
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { releaseBytes } from '../process/program/releaseBytes.ts'

/** Bytes that the parser gets at once, unless they are a part of one body. */
const sliceBytes = 2_048

/** Chunks of bodies from which the rest of a read waits for the next turn: a chunk takes about 3 us, however short it is. */
const maxChunksPerTurn = 1_024

/** The body of the request that is arriving on a connection. */
export interface ArrivingBody {
  /** Bytes of the body that have not arrived; 0 if their number is not announced. Until its end nothing else can arrive. */
  readonly announcedRest: number
}

/** What has been read from a connection and is not parsed yet. */
interface ConnectionReads {
  readonly socket: Socket
  readonly parse: (bytes: Buffer) => void
  readonly waiting: Buffer[]
  /** Offset of the first byte in the first buffer that is not parsed. */
  offset: number
  /** Whether the rest waits for the next turn. */
  isYielding: boolean
  /** Whether the connection is to be read once the rest is parsed. */
  isResumed: boolean
  /** Reads that bodies have asked for meanwhile. */
  deferred: Array<() => void>
}

const bodiesBySocket = new WeakMap<Socket, ArrivingBody>()
const readsBySocket = new WeakMap<Socket, ConnectionReads>()
let parsedChunks = 0

/**
 * Limits what is parsed of connections from now on. The parser passes on all messages of a read before anything else runs, a thousand
 * requests or eleven thousand chunks of 64 KiB, and keeps them until the connection has closed. With slices, a limit that closes the
 * connection takes effect within the read, and the next connection gets its turn.
 * @param server - the server, not listening yet
 */
export function limitReads (server: Server): void {
  server.on('connection', (socket: Socket) => {
    const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>
    if (parse === undefined) return
    const reads: ConnectionReads = { socket, parse, waiting: [], offset: 0, isYielding: false, isResumed: false, deferred: [] }
    readsBySocket.set(socket, reads)
    // A further listener also stops the HTTP server from reading the socket without events.
    socket.off('data', parse)
    socket.on('data', (bytes: Buffer) => {
      // An ordinary request needs no slices.
      if (bytes.length <= sliceBytes && reads.waiting.length === 0) return parse(bytes)
      reads.waiting.push(bytes)
      if (!reads.isYielding) parseWaiting(reads)
    })
  })
}

/**
 * Names the body that is arriving on a connection.
 * @param socket - the connection
 * @param body - the body of its latest request
 */
export function setArrivingBody (socket: Socket, body: ArrivingBody): void {
  bodiesBySocket.set(socket, body)
}

/** Called for each chunk of a body that the parser passes on. */
export function countParsedChunk (): void {
  parsedChunks++
}

/**
 * Returns how many chunks of bodies the parsers of the process have passed on.
 * @returns the number
 */
export function getParsedChunks (): number {
  return parsedChunks
}

/**
 * Puts off a read of a connection while a part of an earlier one is not parsed.
 * @param socket - the connection
 * @param read - the read
 * @returns whether it was put off
 */
export function deferRead (socket: Socket, read: () => void): boolean {
  const reads = readsBySocket.get(socket)
  if (reads?.isYielding !== true) return false
  reads.deferred.push(read)
  return true
}

/**
 * Counts what has been read from a connection and is not parsed yet.
 * @param socket - the connection
 * @returns the bytes
 */
export function countWaitingBytes (socket: Socket): number {
  const reads = readsBySocket.get(socket)
  let bytes = socket.readableLength - (reads?.offset ?? 0)
  for (const { length } of reads?.waiting ?? []) bytes += length
  return bytes
}

function parseWaiting (reads: ConnectionReads): void {
  const { socket, waiting } = reads
  const firstChunk = parsedChunks
  for (let [bytes] = waiting; bytes !== undefined && isWanted(socket); [bytes] = waiting) {
    while (reads.offset < bytes.length && isWanted(socket)) {
      if (parsedChunks - firstChunk >= maxChunksPerTurn) return yieldTurn(reads)
      const end = reads.offset + Math.max(sliceBytes, bodiesBySocket.get(socket)?.announcedRest ?? 0)
      const slice = bytes.subarray(reads.offset, end)
      reads.offset = end
      reads.parse(slice)
    }
    waiting.shift()
    reads.offset = 0
    // The parser passes on copies.
    releaseBytes(bytes)
  }
  waiting.length = reads.offset = 0
}

function yieldTurn (reads: ConnectionReads): void {
  const { socket } = reads
  if (!reads.isYielding) reads.isResumed = !socket.isPaused()
  reads.isYielding = true
  socket.pause()
  setImmediate(() => {
    parseWaiting(reads)
    if (reads.waiting.length === 0) resume(reads)
  })
}

function resume (reads: ConnectionReads): void {
  const { socket, deferred } = reads
  reads.isYielding = false
  reads.deferred = []
  if (socket.destroyed) return
  for (const read of deferred) read()
  if (reads.isResumed) socket.resume()
}

// After the end of the last response nothing that arrives can be answered.
function isWanted ({ destroyed, writableEnded }: Socket): boolean {
  return !destroyed && !writableEnded
}
