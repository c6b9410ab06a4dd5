/**
 * Connections of callers: their number, the heads that arrive on them, and the requests that wait for each other on one connection.
 * @module
 */
import { readFileSync } from 'node:fs'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { getHeapStatistics } from 'node:v8'
import { whenEnded } from './exchangeEnd.ts'
import { HoldingKind, type MemoryBudget, type MemoryHolding } from '../process/program/memoryBudget.ts'

/** Heap that a connection with a request takes at most, in bytes, apart from bodies. */
const bytesPerConnection = 32 * 1024

/** Share of the descriptors of the process that connections of callers may take; the rest is for backend servers, hosts and files. */
const descriptorShare = 0.75

/** Descriptors of a process on a system that doesn't tell its limit. */
const assumedDescriptors = 1_024

/** Requests of one connection that may be open at once. Their answers are sent one after the other. */
const maxOpenRequests = 16

/** Interval between two looks at the heads that are arriving, in milliseconds. */
const headCheckIntervalMs = 250

/** Time after which a connection without any request is closed before those that have served one, in milliseconds, if there are too many. */
const firstRequestMs = 1_000

/** Why a connection was closed. */
export const CloseReason = {
  /** There are too many connections, and this one was idle for the longest time. */
  Idle: 'idle at the limit of connections',
  /** There are too many connections, and each has a request. */
  Limit: 'limit of connections',
  /** It has too many requests at once. */
  Pipelined: 'too many requests on a connection'
} as const
export type CloseReason = typeof CloseReason[keyof typeof CloseReason]

/** Limits and dependencies of the connections. */
export interface ClientConnectionInputs {
  readonly budget: MemoryBudget
  readonly maxConnections: number
  /** Monotonic time, in milliseconds. */
  readonly now: () => number
  readonly onClosed?: ((reason: CloseReason) => void) | undefined
}

interface Connection {
  /** The responses that have not ended. */
  readonly responses: Set<ServerResponse>
  /** The latest request, as long as it may not be complete. */
  request: IncomingMessage | undefined
  /** Monotonic time since which it has no request, in milliseconds. */
  idleSince: number
  /** Bytes read from it before the head that is arriving. */
  idleBytes: number
  /** The head that is arriving. */
  head: MemoryHolding | undefined
}

/**
 * Computes the default limit of connections.
 * @returns the limit, from the descriptors and the heap of the process
 */
export function computeMaxConnections (): number {
  return Math.floor(Math.min(readDescriptorLimit() * descriptorShare, getHeapStatistics().heap_size_limit / bytesPerConnection))
}

function readDescriptorLimit (): number {
  try {
    const [, soft] = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8')) ?? []
    return soft === undefined ? assumedDescriptors : Number(soft)
  } catch {
    return assumedDescriptors
  }
}

/**
 * Limits the connections of a server from now on.
 * @param server - the server, not listening yet
 * @param inputs - limits and dependencies
 */
export function limitConnections (server: Server, { budget, maxConnections, now, onClosed }: ClientConnectionInputs): void {
  const connections = new Map<Socket, Connection>()
  // Both in the order in which the connections became idle.
  const withoutRequest = new Map<Socket, Connection>()
  const kept = new Map<Socket, Connection>()
  let openRequests = 0

  function close (socket: Socket, reason: CloseReason): void {
    onClosed?.(reason)
    forget(socket)
    socket.destroy()
  }

  function forget (socket: Socket): void {
    connections.get(socket)?.head?.close()
    connections.delete(socket)
    withoutRequest.delete(socket)
    kept.delete(socket)
  }

  function closeIdle (): boolean {
    const [first] = withoutRequest
    const [second] = kept
    const isFirst = first !== undefined && (second === undefined || now() - first[1].idleSince > firstRequestMs || first[1].idleSince < second[1].idleSince)
    const closed = isFirst ? first : second
    if (closed === undefined) return false
    close(closed[0], CloseReason.Idle)
    return true
  }

  function checkHeads (): void {
    for (const idle of [withoutRequest, kept]) {
      for (const [socket, connection] of idle) {
        // The response may have ended before the body of the request, whose rest is not kept.
        if (connection.request?.complete === false) connection.idleBytes = socket.bytesRead
        const bytes = socket.bytesRead - connection.idleBytes
        if (bytes === 0) continue
        connection.head ??= budget.open({ kind: HoldingKind.Head, giveWay: () => socket.destroy() })
        connection.head.resize(bytes)
      }
    }
  }

  server.on('connection', (socket: Socket) => {
    if (connections.size >= maxConnections && !closeIdle()) return close(socket, CloseReason.Limit)
    const connection: Connection = { responses: new Set(), request: undefined, idleSince: now(), idleBytes: 0, head: undefined }
    connections.set(socket, connection)
    withoutRequest.set(socket, connection)
    socket.once('close', () => {
      forget(socket)
      closeQueued(connection.responses)
    })
  })
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request
    const connection = connections.get(socket)
    if (connection === undefined) return
    connection.head?.close()
    connection.head = undefined
    withoutRequest.delete(socket)
    kept.delete(socket)
    connection.request = request
    connection.responses.add(response)
    openRequests++
    whenEnded(socket, response, () => {
      openRequests--
      connection.responses.delete(response)
      if (connection.request === request && request.complete) connection.request = undefined
      if (connection.responses.size > 0 || !connections.has(socket)) return
      connection.idleSince = now()
      connection.idleBytes = socket.bytesRead
      kept.set(socket, connection)
    })
    const { size } = connection.responses
    if (size > 1 && (size > maxOpenRequests || openRequests > maxConnections)) close(socket, CloseReason.Pipelined)
  })
  const timer = setInterval(checkHeads, headCheckIntervalMs)
  timer.unref()
  server.once('close', () => clearInterval(timer))
}

// The HTTP server closes only the response that is being sent; those that wait for it would never learn of the end of their connection.
function closeQueued (responses: ReadonlySet<ServerResponse>): void {
  for (const response of responses) {
    if (response.socket !== null) continue
    response.destroy()
    response.emit('close')
  }
}
