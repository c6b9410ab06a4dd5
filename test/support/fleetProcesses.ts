/**
 * A fleet of real processes on loopback addresses, with a backend server of its own, for tests.
 * @module
 */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { eventually, type Program, reserveAddresses, startProgram } from '../../scripts/processes.ts'

const startLimitMs = 20_000
const heartbeatMs = 300
const eventMs = 20

/** A backend server that streams events and can be told to leave or to hang up. */
export interface StreamServer {
  readonly id: string
  readonly address: string
  /** Ids of the requests that it ran, in order. */
  readonly ran: string[]
  /** Events of one answer. */
  events: number
  close (): void
}

/** A fleet of processes. */
export interface Fleet {
  readonly controls: ReadonlyMap<string, Program>
  readonly gateways: readonly string[]
  readonly servers: readonly StreamServer[]
  startControl (name: string): Promise<void>
  /** Calls a control host, the next one when it does not answer. */
  callControl (method: 'GET' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<{ readonly status: number, readonly text: string }>
  publish (version: number): Promise<number>
  /** Sends a request of a caller to a gateway. */
  call (method: 'GET' | 'POST' | 'DELETE', path: string, headers?: Readonly<Record<string, string>>, body?: string, gateway?: number): Promise<{ readonly status: number, readonly text: string }>
  close (): Promise<void>
}

/**
 * Starts a backend server; it sends no heartbeats by itself.
 * @param id - its id
 * @returns the server
 */
export async function startStreamServer (id: string): Promise<StreamServer> {
  const ran: string[] = []
  const server: Server = createServer((incoming, response) => {
    incoming.resume()
    incoming.once('end', () => {
      ran.push(String(incoming.headers['x-request-id']))
      stream(response, Number(incoming.headers['last-event-id'] ?? -1) + 1)
    })
  })

  function stream (response: ServerResponse, from: number): void {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-server-stamp': `stamp-${id}` })
    let next = from
    const timer = setInterval(() => {
      if (next < standIn.events) response.write(`id: ${next}\ndata: e${next}\n\n`)
      next++
      if (next < standIn.events) return
      clearInterval(timer)
      response.end()
    }, eventMs)
    response.once('close', () => clearInterval(timer))
  }

  server.listen(0, '127.0.0.1')
  await new Promise(resolve => server.once('listening', resolve))
  const standIn: StreamServer = {
    id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    ran,
    events: 5,
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
  return standIn
}

/**
 * Starts three control hosts, two gateways and two backend servers, and waits until the control hosts answer.
 * @returns the fleet, without tables
 */
export async function startFleet (): Promise<Fleet> {
  const folder = await mkdtemp(join(tmpdir(), 'jaychute-fleet-'))
  // Control hosts share their ports and differ in their loopback addresses.
  const ports = (await reserveAddresses(3)).map(address => Number(address.split(':')[1]))
  const [controlPort = 0, operatorPort = 0, directoryPort = 0] = ports
  const names = ['127.0.0.1', '127.0.0.2', '127.0.0.3']
  const seeds = names.map(ip => `${ip}:${operatorPort}`)
  const controls = new Map<string, Program>()
  const others: Program[] = []
  const servers = await Promise.all([startStreamServer('i-1'), startStreamServer('i-2')])
  const common = { availabilityZone: 'z1', region: 'r1', regions: { z1: 'r1' }, seeds: seeds.join(','), controlPort, heartbeatMs }
  let isFirstStart = true

  async function startHost (settings: Readonly<Record<string, unknown>>): Promise<Program> {
    const file = join(folder, `${String(settings['host'])}.json`)
    await writeFile(file, JSON.stringify({ ...common, ...settings }))
    return startProgram(String(settings['host']), 'src/daemons/jaychuteHost.js', ['--settings-file', file])
  }

  const fleet: Fleet = {
    controls,
    gateways: (await reserveAddresses(2)),
    servers,
    async startControl (ip) {
      controls.set(ip, await startHost({
        role: 'control', host: `control-${ip}`, address: ip, form: isFirstStart, controlAddress: `${ip}:${operatorPort}`, directoryAddress: `${ip}:${directoryPort}`, dataFolder: join(folder, ip)
      }))
    },
    async callControl (method, path, body) {
      let last = { status: 0, text: '' }
      for (const address of seeds) {
        try {
          const answer = await request(`http://${address}${path}`, { method, body: body === undefined ? null : JSON.stringify(body), headersTimeout: 1_500 })
          last = { status: answer.statusCode, text: await answer.body.text() }
          if (last.status < 500) return last
        } catch {
          // The next control host is asked.
        }
      }
      return last
    },
    async publish (version) {
      const route = { host: 'a.example', timeout_ms: 5_000, slo_ms: 300, service: 's', max_attempts: 2 }
      const answer = await fleet.callControl('PUT', '/v1/config', {
        version,
        routes: [
          { ...route, name: 'live', path_prefix: '/live/', kind: 'streaming', resumable: true, gap_target_ms: 250 },
          { ...route, name: 'batch', path_prefix: '/batch/', kind: 'batch', max_queued: 1_000, run_target_ms: 10_000, max_wait_s: 60 }
        ],
        services: [{ name: 's', engine: { slots: 2 } }],
        limits: { header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
      })
      return answer.status
    },
    async call (method, path, headers = {}, body, gateway = 0) {
      const answer = await request(`http://${fleet.gateways[gateway] ?? ''}${path}`, { method, body: body ?? null, headers: { host: 'a.example', ...headers } })
      return { status: answer.statusCode, text: await answer.body.text() }
    },
    async close () {
      clearInterval(heartbeats)
      for (const program of [...controls.values(), ...others]) await program.end('SIGKILL')
      for (const server of servers) server.close()
      await rm(folder, { recursive: true, force: true })
    }
  }

  let sequence = 0
  const heartbeats = setInterval(() => {
    sequence++
    for (const server of servers) {
      const beat = { service: 's', addr: server.address, zone: 'z1', version: 'v1', slots: 2, state: 'ready', seq: sequence, born: 1 }
      fleet.callControl('PUT', `/v1/instances/${server.id}`, beat).catch(() => {})
    }
  }, heartbeatMs)

  for (const ip of names) await fleet.startControl(ip)
  isFirstStart = false
  for (const [index, address] of fleet.gateways.entries()) others.push(await startHost({ role: 'gateway', host: `gateway-${index}`, callerAddress: address }))
  await eventually('a control host that answers reads', startLimitMs, async () => {
    const answer = await fleet.callControl('GET', '/v1/config')
    return answer.text.includes('no configuration') ? true : undefined
  })
  return fleet
}
