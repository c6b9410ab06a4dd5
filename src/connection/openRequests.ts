/**
 * Tracks the requests in flight on HTTP servers, so that a shutdown can wait for their responses.
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { createCondition } from '../process/program/condition.ts'
import { whenEnded } from './exchangeEnd.ts'

/** Maximum interval between two checks, in milliseconds. */
const maxCheckIntervalMs = 1_000

/** The requests in flight on one or more HTTP servers. */
export interface OpenRequests {
  /** Number of requests in flight. */
  readonly count: number
  /**
   * Tracks the requests of a server from now on.
   * @param server - the server
   */
  watch (server: Server): void
  /** Closes each connection after the response to the last request on it, so that callers connect to another host. */
  closeAfterResponses (): void
  /** Stops listening and closes idle connections; requests in flight continue. */
  stopListening (): void
  /**
   * Waits until no request is in flight.
   * @param signal - ends the wait early
   * @returns a promise that resolves when no request is in flight or the signal aborts
   */
  ended (signal: AbortSignal): Promise<void>
}

/**
 * Creates the tracker of requests in flight.
 * @returns the tracker, without a server
 */
export function createOpenRequests (): OpenRequests {
  const changed = createCondition()
  const open = new Set<ServerResponse>()
  const servers = new Set<Server>()
  // The last request of each connection; the responses before it must not close the connection.
  const latest = new WeakMap<Socket, ServerResponse>()
  let isClosing = false
  return {
    get count () { return open.size },
    watch (server) {
      servers.add(server)
      // Must run before the other listeners, since they may write the headers at once.
      server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
        // A listener before this one has closed the connection.
        if (socket.destroyed) return
        open.add(response)
        const previous = latest.get(socket)
        latest.set(socket, response)
        if (isClosing) {
          if (previous?.headersSent === false) previous.shouldKeepAlive = true
          response.shouldKeepAlive = false
        }
        whenEnded(socket, response, () => {
          open.delete(response)
          changed.notify()
        })
      })
    },
    closeAfterResponses () {
      isClosing = true
      for (const response of open) {
        const { socket } = response.req
        // A head that has been sent may have promised to keep the connection.
        if (latest.get(socket) === response && !response.headersSent) response.shouldKeepAlive = false
      }
    },
    stopListening () {
      for (const server of servers) server.close()
    },
    async ended (signal) {
      while (open.size > 0 && !signal.aborted) await changed.wait(maxCheckIntervalMs, signal)
    }
  }
}
