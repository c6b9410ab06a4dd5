/**
 * HTTP/1.1 servers for clients that are not trusted, at any address of a process: limits of connections, of the requests on each, and of the
 * bytes that are held for them.
 * @module
 */
import { createServer, type Server } from 'node:http'
import { computeMemoryBudgetBytes, createMemoryBudget, type MemoryBudget } from '../process/program/memoryBudget.ts'
import { type CloseReason, computeMaxConnections, limitConnections } from './clientConnections.ts'
import { ClientMessage } from './clientMessage.ts'
import { limitReads } from './clientReads.ts'
import { ClientResponse } from './clientResponse.ts'
import { createFragmentedUploads, type FragmentedUploads } from './fragmentedUploads.ts'

/** Longest head that the parser reads, in bytes. */
const maxHeadBytes = 64 * 1024

/** Interval at which a server checks whether heads have arrived in time, in milliseconds. */
const headTimeoutCheckMs = 1_000

/** Memory and connections that the servers of a process may use. */
export interface ClientResources {
  readonly budget: MemoryBudget
  readonly fragmented: FragmentedUploads
  readonly maxConnections: number
  /** Monotonic time, in milliseconds. */
  readonly now: () => number
  /** Called when a connection is closed because of the limits. */
  readonly onClosed?: (reason: CloseReason) => void
}

/** What a server passes to the routes of an API with each request. An API that is called without a server gets none of it. */
export interface ClientExchange {
  readonly incoming: ClientMessage
  readonly outgoing: ClientResponse
  readonly resources: ClientResources
}

/**
 * Creates the resources of a process by its heap and descriptors.
 * @param now - monotonic time, in milliseconds
 * @returns the resources
 */
export function createDefaultResources (now: () => number): ClientResources {
  return { budget: createMemoryBudget({ limitBytes: computeMemoryBudgetBytes(), now }), fragmented: createFragmentedUploads(), maxConnections: computeMaxConnections(), now }
}

/**
 * Creates a server, not listening yet.
 * @param resources - what the process has for clients
 * @param serve - serves a request
 * @returns the server
 */
export function createClientServer (resources: ClientResources, serve: (request: ClientMessage, response: ClientResponse) => void): Server {
  const options = { IncomingMessage: ClientMessage, ServerResponse: ClientResponse, maxHeaderSize: maxHeadBytes, requestTimeout: 0, connectionsCheckingInterval: headTimeoutCheckMs, noDelay: true }
  const server: Server = createServer(options, (request, response) => {
    // The rest of what was read together with a request that closed the connection.
    if (request.socket.destroyed) return
    response.limitUnread(resources.budget)
    serve(request, response)
  })
  limitReads(server)
  limitConnections(server, resources)
  return server
}
