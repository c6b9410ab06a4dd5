/**
 * Stand-in backend servers inside the process of the measurement: they stream events at a pace of their own, and announce
 * themselves through the control address.
 * @module
 */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, request } from 'undici'
import type { Random } from '../../src/process/program/random.ts'
import { heartbeatMs } from './powerLossFleet.ts'

/** Number of events of a response. */
export const eventCount = 140

/** Concurrent requests of a server. */
export const slots = 8

/** Longest and shortest pace of the events of a response, in milliseconds. */
const minPaceMs = 4
const maxPaceMs = 8
const tickMs = 8
const eventText = 'token-of-thirty-bytes-of-text'

/** The servers. */
export interface PowerLossServers {
  /** Requests that ran, from the start or resumed. */
  readonly runs: () => number
  readonly resumed: () => number
  /** Requests that were refused because all slots were in use. */
  readonly refused: () => number
  /** Announces the servers until closed. */
  announce (controls: readonly string[]): void
  close (): void
}

interface Stream {
  readonly response: ServerResponse
  readonly paceMs: number
  readonly startedAt: number
  readonly first: number
  next: number
}

/**
 * Starts the servers.
 * @param count - number of servers
 * @param random - source of the paces
 * @returns the servers
 */
export async function startPowerLossServers (count: number, random: Random): Promise<PowerLossServers> {
  let runs = 0
  let resumed = 0
  let refused = 0
  const streams = new Set<Stream>()
  const agent = new Agent({ connections: 8, headersTimeout: 1_000, bodyTimeout: 1_000 })

  function createStreamServer (id: string): ReturnType<typeof createServer> {
    let used = 0
    return createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
      incoming.resume()
      incoming.once('end', () => {
        if (used >= slots) {
          refused++
          response.writeHead(503, { 'x-not-executed': '1', 'x-server-stamp': id }).end()
          return
        }
        used++
        runs++
        const first = Number(incoming.headers['last-event-id'] ?? -1) + 1
        if (first > 0) resumed++
        const paceMs = minPaceMs + random.next() * (maxPaceMs - minPaceMs)
        const stream: Stream = { response, paceMs, startedAt: performance.now(), first, next: first }
        response.writeHead(200, { 'content-type': 'text/event-stream', 'x-server-stamp': `stamp-${id}` })
        streams.add(stream)
        response.once('close', () => {
          used--
          streams.delete(stream)
        })
      })
    })
  }

  // One timer for all streams: thousands of timers would take the processor time that the hosts need.
  const ticks = setInterval(() => {
    const now = performance.now()
    for (const stream of streams) {
      const due = Math.min(eventCount, stream.first + Math.floor((now - stream.startedAt) / stream.paceMs))
      let text = ''
      while (stream.next < due) text += `id: ${stream.next}\ndata: ${eventText}-${stream.next++}\n\n`
      if (text !== '') stream.response.write(text)
      if (stream.next < eventCount) continue
      streams.delete(stream)
      stream.response.end()
    }
  }, tickMs)

  const servers = Array.from({ length: count }, (_, index) => ({ id: `i-${index}`, zone: index % 2 === 0 ? 'z1' : 'z2', server: createStreamServer(`i-${index}`), born: Date.now() }))
  for (const { server } of servers) await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const timers: NodeJS.Timeout[] = []
  let sequence = 0

  async function sendHeartbeat (controls: readonly string[], { id, zone, server, born }: typeof servers[number]): Promise<void> {
    const body = JSON.stringify({ service: 's', addr: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone, version: 'v1', slots, state: 'ready', cold_ms: 0, seq: ++sequence, born })
    const offset = random.below(controls.length)
    for (let attempt = 0; attempt < controls.length; attempt++) {
      try {
        const response = await request(`http://${controls[(offset + attempt) % controls.length] ?? ''}/v1/instances/${id}`, { method: 'PUT', body, dispatcher: agent, headers: { 'content-type': 'application/json' } })
        await response.body.dump()
        if (response.statusCode === 200) return
      } catch {
        // The control host is down: the next one is tried.
      }
    }
  }

  return {
    runs: () => runs,
    resumed: () => resumed,
    refused: () => refused,
    announce (controls) {
      for (const server of servers) {
        timers.push(setTimeout(() => {
          timers.push(setInterval(() => { sendHeartbeat(controls, server).catch(() => {}) }, heartbeatMs))
          sendHeartbeat(controls, server).catch(() => {})
        }, random.next() * heartbeatMs))
      }
    },
    close () {
      clearInterval(ticks)
      for (const timer of timers) clearInterval(timer)
      for (const { server } of servers) {
        server.close()
        server.closeAllConnections()
      }
      agent.destroy().catch(() => {})
    }
  }
}
