/**
 * Counts the requests that a server has not finished answering, so that a shutdown can wait for them.
 * @module
 */
import type { Server, ServerResponse } from 'node:http'
import { createCondition } from '../process/program/condition.ts'

/** Longest wait between two looks, in milliseconds. */
const maxCheckIntervalMs = 1_000

/** Requests under way. */
export interface OpenRequests {
  /** Counts the requests of a server from now on. */
  watch (server: Server): void
  /** Closes the connection of each request with its answer, so that callers open their next one elsewhere. */
  closeAfterResponses (): void
  /** Stops listening and closes idle connections; requests under way go on. */
  stopListening (): void
  /**
   * Waits until none is left.
   * @param signal - ends the wait early
   * @returns a promise that resolves when none is left or the signal aborts
   */
  ended (signal: AbortSignal): Promise<void>
}

/**
 * Creates the count.
 * @returns the count
 */
export function createOpenRequests (): OpenRequests {
  const changed = createCondition()
  const open = new Set<ServerResponse>()
  const servers = new Set<Server>()
  let isClosing = false
  return {
    watch (server) {
      servers.add(server)
      // First of the listeners: the others may write the headers at once.
      server.prependListener('request', (_, response: ServerResponse) => {
        open.add(response)
        if (isClosing) response.shouldKeepAlive = false
        response.once('close', () => {
          open.delete(response)
          changed.notify()
        })
      })
    },
    closeAfterResponses () {
      isClosing = true
      for (const response of open) response.shouldKeepAlive = false
    },
    stopListening () {
      for (const server of servers) server.close()
    },
    async ended (signal) {
      while (open.size > 0 && !signal.aborted) await changed.wait(maxCheckIntervalMs, signal)
    }
  }
}
