/**
 * Starts HTTP servers and closes them with a life cycle.
 * @module
 */
import type { Server } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import type { Hono } from 'hono'
import { ResultAsync } from 'neverthrow'
import { type ClientResources, createClientServer } from '../../connection/clientServer.ts'
import { type Failure, Step, toFailure } from './failure.ts'
import type { Lifecycle } from './lifecycle.ts'
import { parseAddress } from './address.ts'

/** Longest time until a request has arrived completely, in milliseconds. */
const requestTimeoutMs = 300_000

/** Longest body of a request whose route reads none, in bytes. */
const maxUnreadBodyBytes = 256 * 1024

/**
 * Serves the routes of a Hono application.
 * @param address - IP address and port
 * @param api - the application
 * @param resources - memory and connections that its clients may use
 * @param lifecycle - closes the server and its connections
 * @returns the listening server, or a failure of the step `listen`
 */
export function serveApi (address: string, api: Hono, resources: ClientResources, lifecycle: Lifecycle): ResultAsync<Server, Failure> {
  const respond = getRequestListener((request, exchange) => api.fetch(request, { ...exchange, resources }))
  const server = createClientServer(resources, (request, response) => {
    // No route reads a body with these methods.
    if (request.method === 'GET' || request.method === 'HEAD') request.discardRest(maxUnreadBodyBytes)
    respond(request, response).catch(() => response.destroy())
  })
  server.requestTimeout = requestTimeoutMs
  return listen(address, server, lifecycle)
}

/**
 * Starts listening.
 * @param address - IP address and port
 * @param server - the server
 * @param lifecycle - closes the server and its connections
 * @returns the listening server, or a failure of the step `listen`
 */
export function listen (address: string, server: Server, lifecycle: Lifecycle): ResultAsync<Server, Failure> {
  const { ip, port } = parseAddress(address)
  const listening = new Promise<Server>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, () => resolve(server))
  })
  lifecycle.addCleanup(() => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  }))
  return ResultAsync.fromPromise(listening, error => toFailure(error, { step: Step.Listen, peer: address }))
}
