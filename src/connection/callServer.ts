/**
 * The server side of connections between hosts: runs the procedures of the router, one task for each connection.
 * @module
 */
import { once } from 'node:events'
import { createServer, type Server, type Socket } from 'node:net'
import { callTRPCProcedure } from '@trpc/server'
import { ResultAsync } from 'neverthrow'
import { parseAddress } from '../process/program/address.ts'
import { type Failure, Step, toFailure } from '../process/program/failure.ts'
import type { Lifecycle } from '../process/program/lifecycle.ts'
import { Counter, type Metrics, microsecondsPerMillisecond } from '../process/program/metrics.ts'
import type { ResponseMessage, CallMessage } from './callConnection.ts'
import { compressionThresholdBytes, encodeMessage, readMessages, writeFrame } from './frames.ts'
import type { createInternalRouter } from './internalRouter.ts'
import { DeferredReply } from './reply.ts'

/** Idle time of a connection before the first TCP keep-alive probe, in milliseconds. */
const keepAliveDelayMs = 2_000

/** Size of the responses on one connection that the peer has not read, in bytes, from which no further response is encoded. */
export const maxUnsentBytes = 1024 * 1024

/** Share of the time limit of a call up to which a deferred reply is made; the rest is for its way to the caller. */
const replyDeadlineShare = 0.75

type Router = ReturnType<typeof createInternalRouter>

/**
 * Starts a server that runs the procedures for other hosts.
 * @param address - IP address and port
 * @param router - the procedures
 * @param lifecycle - closes the server
 * @param metrics - counts the responses
 * @returns the listening server, or a failure
 */
export function serveInternalCalls (address: string, router: Router, lifecycle: Lifecycle, metrics: Metrics): ResultAsync<Server, Failure> {
  const { ip, port } = parseAddress(address)
  const sockets = new Set<Socket>()
  const server = createServer({ noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelayMs }, socket => {
    sockets.add(socket)
    serveConnection(socket, router, metrics)
    socket.once('close', () => sockets.delete(socket))
  })
  lifecycle.addCleanup(() => new Promise<void>(resolve => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  }))
  const listening = new Promise<Server>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, () => resolve(server))
  })
  return ResultAsync.fromPromise(listening, error => toFailure(error, { step: Step.Listen, peer: address }))
}

function serveConnection (socket: Socket, router: Router, metrics: Metrics): void {
  const closed = new AbortController()
  // The peer notices that the connection has closed and retries its calls, so the error isn't reported here.
  socket.on('error', () => {})
  socket.once('close', () => closed.abort())
  // A value that waits here is a part of the state or a deferred reply, and takes no memory of its own before it is encoded.
  let lastSent: Promise<void> = Promise.resolve()
  async function sendInTurn (procedure: string, message: ResponseMessage, giveUpAt: number): Promise<void> {
    if (socket.writableLength >= maxUnsentBytes) await once(socket, 'drain', { signal: closed.signal })
    const [number, value, error] = message
    const isWanted = performance.now() < giveUpAt
    if (value instanceof DeferredReply && !isWanted) metrics.count(Counter.ExpiredReads, procedure)
    await sendResponse(socket, procedure, [number, value instanceof DeferredReply ? value.create(isWanted) : value, error], metrics)
  }
  readMessages(socket, message => {
    const [number, procedure, input, timeLimitMs = Infinity] = message as CallMessage
    const giveUpAt = performance.now() + timeLimitMs * replyDeadlineShare
    runProcedure(router, procedure, input, closed.signal)
      .then(async ([value, error]) => {
        lastSent = lastSent.then(async () => await sendInTurn(procedure, [number, value, error], giveUpAt))
        await lastSent
      })
      .catch((error: Error) => socket.destroy(error))
  })
}

async function runProcedure (router: Router, path: string, input: unknown, signal: AbortSignal): Promise<[value: unknown, error: string | undefined]> {
  try {
    const value = await callTRPCProcedure({ router, path, getRawInput: async () => input, ctx: {}, type: 'mutation', signal, batchIndex: 0 })
    return [value, undefined]
  } catch (error) {
    return [undefined, error instanceof Error ? error.message : String(error)]
  }
}

async function sendResponse (socket: Socket, procedure: string, message: ResponseMessage, metrics: Metrics): Promise<void> {
  const startedAt = performance.now()
  const encoded = encodeMessage(message, compressionThresholdBytes)
  // The time in the event loop; large messages are compressed in the thread pool after it.
  metrics.count(Counter.ResponseEncoding, procedure, (performance.now() - startedAt) * microsecondsPerMillisecond)
  const frame = encoded instanceof Promise ? await encoded : encoded
  metrics.count(Counter.Responses, procedure)
  metrics.count(Counter.ResponseBytes, procedure, frame.length)
  // The caller has given up the call and may have repeated it, so the work for this response was in vain.
  if (socket.destroyed) metrics.count(Counter.UnsentResponses, procedure)
  writeFrame(socket, frame)
}
