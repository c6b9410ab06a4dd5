/**
 * A fake backend server whose responses are written by the test.
 * @module
 */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Announcement } from '../../src/connection/share.ts'
import type { TestSystem } from './system.ts'

/** A request that the fake received. */
export interface FakeRequest {
  readonly requestId: string
  readonly prompt: string
  readonly offset: number
  readonly path: string
}

/** A running fake backend server. */
export interface FakeBackendServer {
  readonly address: string
  readonly requests: readonly FakeRequest[]
  /** Open connections. */
  readonly connections: ReadonlySet<Socket>
  /** Records an announcement of the fake on the entry host of a system in this process. */
  announceTo (system: TestSystem, overrides?: Partial<Announcement>): void
  close (): Promise<void>
}

/**
 * Starts a fake backend server.
 * @param handleRequest - writes the response to a request; `number` counts the requests from 1
 * @returns the fake, listening on a free port
 */
export async function startFakeBackendServer (handleRequest: (request: FakeRequest, response: ServerResponse, number: number) => void): Promise<FakeBackendServer> {
  const requests: FakeRequest[] = []
  const connections = new Set<Socket>()
  let sequence = 0
  const server = createServer((incoming, response) => {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    incoming.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as { requestId: string, prompt?: string, input?: string, offset?: number }
      const request = { requestId: body.requestId, prompt: body.prompt ?? body.input ?? '', offset: body.offset ?? 0, path: incoming.url ?? '' }
      requests.push(request)
      handleRequest(request, response, requests.length)
    })
  })
  server.on('connection', socket => {
    connections.add(socket)
    socket.once('close', () => connections.delete(socket))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return {
    address,
    requests,
    connections,
    announceTo (system, overrides = {}) {
      sequence++
      system.daemon.entryHost?.backendServers.recordAnnouncement({ ...createAnnouncement(address), sequence, ...overrides }, 0)
    },
    async close () {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/**
 * Builds an announcement with default values.
 * @param address - address of the backend server
 * @returns the announcement
 */
export function createAnnouncement (address: string): Announcement {
  return {
    address,
    availabilityZone: 'zone-a',
    region: 'region-a',
    pool: 'assist',
    capacity: 16,
    models: [],
    fencingChecked: true,
    incarnation: '1',
    sequence: 1,
    leaving: false,
    running: 0
  }
}

/** Writes one server-sent event, as an engine does. */
export function writeEvent (response: ServerResponse, event: object): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`)
}
