/**
 * HTTP calls and operators' commands to a fleet of real processes, for tests.
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { type Dispatcher, request } from 'undici'
import type { JobStatus } from '../src/process/state/queries.ts'
import type { RecordedRun } from '../test/standIn/standIn.ts'
import type { Fleet, FleetHost } from './fleet.ts'
import { eventually } from './processes.ts'

const startTimeoutMs = 20_000

/** Status of a backend server as an entry host reports it. */
export interface ServerStatus {
  readonly address: string
  readonly leaving: boolean
  readonly liveInFlight: number
  readonly batchInFlight: number
}

/** A response whose body was read to the end. */
export interface CompleteResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly text: string
}

/**
 * Applies a pool `assist` and a route of the same name to it, and waits until every entry host has the new configuration.
 * @param fleet - a fleet whose configuration is unchanged so far
 * @param pool - fields of the pool that differ from the default
 * @param route - fields of the route that differ from the default
 * @throws Error if an entry host does not have it within 20 s
 */
export async function configureRoute (fleet: Fleet, pool: object = {}, route: object = {}): Promise<void> {
  for (const [table, row] of [['pools', { name: 'assist', ...pool }], ['routes', { name: 'assist', pool: 'assist', ...route }]] as const) {
    const file = join(fleet.folder, `${table}.json`)
    await writeFile(file, JSON.stringify([row]))
    await eventually(`${table} applied`, startTimeoutMs, async () =>
      (await fleet.operate(table, 'apply', '--file', file)).code === 0 ? true : undefined)
  }
  for (const host of fleet.entryHosts) {
    await eventually(`version 2 on ${host.name}`, startTimeoutMs, async () => (await readEntryStatus(host)).version === 2 ? true : undefined)
  }
}

/**
 * Reads the status of an entry host.
 * @param host - the entry host
 * @returns its configuration version and the backend servers that it has announcements of
 */
export async function readEntryStatus (host: FleetHost): Promise<{ version: number, backendServers: ServerStatus[] }> {
  const response = await request(`http://${host.administrationAddress}/v1/status`)
  return (await response.body.json() as { entry: { version: number, backendServers: ServerStatus[] } }).entry
}

/**
 * Waits until every entry host lists the given number of backend servers.
 * @param fleet - the fleet
 * @param count - number of backend servers
 * @returns their addresses, as the last entry host lists them
 * @throws Error if an entry host does not list them within 20 s
 */
export async function waitForServers (fleet: Fleet, count: number): Promise<string[]> {
  let addresses: string[] = []
  for (const host of fleet.entryHosts) {
    addresses = await eventually(`${count} backend servers on ${host.name}`, startTimeoutMs, async () => {
      const { backendServers } = await readEntryStatus(host)
      return backendServers.length === count ? backendServers.map(server => server.address) : undefined
    })
  }
  return addresses
}

/** Options of a live request. */
export interface LiveRequestOptions {
  /** Connections to use. */
  readonly dispatcher?: Dispatcher
  /** Name of the route; `assist` by default. */
  readonly route?: string
}

/**
 * Posts a live request and returns the response without reading its body.
 * @param host - the entry host
 * @param maxTokens - length of the output in tokens; above 50 it is streamed
 * @param options - connections and route
 * @returns the response
 */
export function startRequest (host: FleetHost, maxTokens: number, options: LiveRequestOptions = {}): Promise<Dispatcher.ResponseData> {
  const { dispatcher, route = 'assist' } = options
  return request(`http://${host.callerAddress}/v1/routes/${route}/requests`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar' },
    body: JSON.stringify({ input: 'site note', maxTokens, stream: maxTokens > 50 }),
    ...(dispatcher === undefined ? {} : { dispatcher })
  })
}

/**
 * Posts a live request and reads the whole response.
 * @param host - the entry host
 * @param maxTokens - length of the output in tokens; above 50 it is streamed
 * @param options - connections and route
 * @returns the response
 */
export async function sendRequest (host: FleetHost, maxTokens: number, options: LiveRequestOptions = {}): Promise<CompleteResponse> {
  const response = await startRequest(host, maxTokens, options)
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

/**
 * Reads the requests that a stand-in backend server has received.
 * @param address - address of the stand-in
 * @returns the requests in order of arrival
 */
export async function readRuns (address: string): Promise<RecordedRun[]> {
  return await (await request(`http://${address}/stand-in/runs`)).body.json() as RecordedRun[]
}

/**
 * Reads the list of addresses that an entry host returns to callers.
 * @param host - the entry host
 * @returns caller addresses of entry hosts
 */
export async function readAddresses (host: FleetHost): Promise<string[]> {
  const response = await request(`http://${host.callerAddress}/v1/addresses`)
  return (await response.body.json() as { addresses: Array<{ address: string }> }).addresses.map(({ address }) => address)
}

/**
 * Submits a job by the operators' command.
 * @param fleet - the fleet
 * @param key - submission key of the job
 * @param items - number of items
 * @param maxTokens - length of each result in tokens
 * @returns id of the job
 * @throws Error if the command fails
 */
export async function submit (fleet: Fleet, key: string, items: number, maxTokens: number): Promise<string> {
  const file = join(fleet.folder, `${key}.ndjson`)
  const lines = Array.from({ length: items }, (_, number) => JSON.stringify({ name: `item-${number}`, input: `sheet ${number}`, maxTokens }))
  await writeFile(file, lines.join('\n'))
  const result = await fleet.operate('jobs', 'submit', '--file', file, '--account', 'rothar', '--key', key, '--route', 'assist')
  if (result.code !== 0) throw new Error(result.errors)
  return result.output.trim()
}

/**
 * Waits until a job has finished.
 * @param host - a host that serves the administration API
 * @param job - id of the job
 * @param timeoutMs - maximum wait, in milliseconds
 * @returns final status of the job
 * @throws Error if the job has not finished by then
 */
export async function waitForJob (host: FleetHost, job: string, timeoutMs: number): Promise<JobStatus> {
  return await eventually(`end of job ${job}`, timeoutMs, async () => {
    const status = await (await request(`http://${host.administrationAddress}/v1/jobs/${job}`)).body.json() as JobStatus
    return status.phase === 'finished' ? status : undefined
  })
}

/**
 * Waits until an entry host has batch items in flight.
 * @param fleet - the fleet
 * @returns the entry host
 * @throws Error if none has within 20 s
 */
export async function findBatchHost (fleet: Fleet): Promise<FleetHost> {
  return await eventually('an entry host with batch items', startTimeoutMs, async () => {
    for (const host of fleet.entryHosts) {
      const { backendServers } = await readEntryStatus(host)
      if (backendServers.some(server => server.batchInFlight > 0)) return host
    }
    return undefined
  })
}
