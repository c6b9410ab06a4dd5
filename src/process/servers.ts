/**
 * Listening HTTP servers.
 * @module
 */
import { createServer, type RequestListener, type Server } from 'node:http'
import { createAdaptorServer } from '@hono/node-server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { Hono } from 'hono'
import { ResultAsync } from 'neverthrow'
import type { createInternalRouter } from '../connection/internalRouter.ts'
import { compressResponse, decompressRequest } from '../connection/messageCompression.ts'
import { type Failure, Step, toFailure } from './failure.ts'
import type { Lifecycle } from './lifecycle.ts'
import { parseAddress } from './settings.ts'

/** Largest message between hosts, in bytes. */
const messageLimitBytes = 64 * 1024 * 1024

/**
 * Serves routes of hono.
 * @param address - IP number and port
 * @param api - the routes
 * @param lifecycle - closes the server
 * @returns the listening server, or a failure
 */
export function serveApi (address: string, api: Hono, lifecycle: Lifecycle): ResultAsync<Server, Failure> {
  return listen(address, createAdaptorServer({ fetch: api.fetch }) as Server, lifecycle)
}

/**
 * Serves the procedures for other hosts.
 * @param address - IP number and port
 * @param router - the procedures
 * @param lifecycle - closes the server
 * @returns the listening server, or a failure
 */
export function serveInternal (address: string, router: ReturnType<typeof createInternalRouter>, lifecycle: Lifecycle): ResultAsync<Server, Failure> {
  const handler = createHTTPHandler({ router, maxBodySize: messageLimitBytes }) as RequestListener
  const server = createServer((request, response) => {
    compressResponse(request, response)
    decompressRequest(request, messageLimitBytes).then(() => handler(request, response), () => response.writeHead(400).end())
  })
  return listen(address, server, lifecycle)
}

function listen (address: string, server: Server, lifecycle: Lifecycle): ResultAsync<Server, Failure> {
  const { ip, port } = parseAddress(address)
  const listening = new Promise<Server>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, () => resolve(server))
  })
  lifecycle.own(() => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  }))
  return ResultAsync.fromPromise(listening, error => toFailure(error, { step: Step.Listen, peer: address }))
}
