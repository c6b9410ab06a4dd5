/**
 * Listening HTTP servers.
 * @module
 */
import type { Server } from 'node:http'
import { createAdaptorServer } from '@hono/node-server'
import type { Hono } from 'hono'
import { ResultAsync } from 'neverthrow'
import { type Failure, Step, toFailure } from './failure.ts'
import type { Lifecycle } from './lifecycle.ts'
import { parseAddress } from './address.ts'

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
 * Listens with a server.
 * @param address - IP number and port
 * @param server - the server
 * @param lifecycle - closes the server
 * @returns the listening server, or a failure
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
