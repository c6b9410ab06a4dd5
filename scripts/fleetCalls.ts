/**
 * Calls to a fleet of real processes.
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { type Dispatcher, request } from 'undici'
import type { JobStatus } from '../src/process/state/queries.ts'
import type { RecordedRun } from '../test/standIn/standIn.ts'
import type { Fleet, FleetHost } from './fleet.ts'
import { eventually } from './processes.ts'

const startLimitMs = 20_000

/** What an entry host says about a backend server. */
export interface ServerStatus {
  readonly address: string
  readonly leaving: boolean
  readonly liveInFlight: number
  readonly batchInFlight: number
}

/** An answer whose body was read to its end. */
export interface CompleteResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly text: string
}

/**
 * Accepts a route `assist` to a pool of the same name, and waits until every entry host serves under it.
 * @param fleet - the fleet
 * @param pool - fields of the pool that differ from the default
 * @param route - fields of the route that differ from the default
 * @returns a promise that resolves when all of them do
 */
export async function configureRoute (fleet: Fleet, pool: object = {}, route: object = {}): Promise<void> {
  for (const [table, row] of [['pools', { name: 'assist', ...pool }], ['routes', { name: 'assist', pool: 'assist', ...route }]] as const) {
    const file = join(fleet.folder, `${table}.json`)
    await writeFile(file, JSON.stringify([row]))
    await eventually(`${table} applied`, startLimitMs, async () =>
      (await fleet.operate(table, 'apply', '--file', file)).code === 0 ? true : undefined)
  }
  for (const host of fleet.entryHosts) {
    await eventually(`version 2 on ${host.name}`, startLimitMs, async () => (await readEntryStatus(host)).version === 2 ? true : undefined)
  }
}

/**
 * Reads what an entry host knows.
 * @param host - the entry host
 * @returns its version and backend servers
 */
export async function readEntryStatus (host: FleetHost): Promise<{ version: number, backendServers: ServerStatus[] }> {
  const answer = await request(`http://${host.administrationAddress}/v1/status`)
  return (await answer.body.json() as { entry: { version: number, backendServers: ServerStatus[] } }).entry
}

/**
 * Waits until every entry host knows a number of backend servers.
 * @param fleet - the fleet
 * @param count - how many
 * @returns their addresses
 */
export async function waitForServers (fleet: Fleet, count: number): Promise<string[]> {
  let addresses: string[] = []
  for (const host of fleet.entryHosts) {
    addresses = await eventually(`${count} backend servers on ${host.name}`, startLimitMs, async () => {
      const { backendServers } = await readEntryStatus(host)
      return backendServers.length === count ? backendServers.map(server => server.address) : undefined
    })
  }
  return addresses
}

/**
 * Posts a live request and hands the answer over with its body still open.
 * @param host - the entry host
 * @param maxTokens - length of the answer; above 50 it is streamed
 * @param dispatcher - connections to use
 * @returns the answer
 */
export function startRequest (host: FleetHost, maxTokens: number, dispatcher?: Dispatcher): Promise<Dispatcher.ResponseData> {
  return request(`http://${host.callerAddress}/v1/routes/assist/requests`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar' },
    body: JSON.stringify({ input: 'site note', maxTokens, stream: maxTokens > 50 }),
    ...(dispatcher === undefined ? {} : { dispatcher })
  })
}

/**
 * Posts a live request and reads the whole answer.
 * @param host - the entry host
 * @param maxTokens - length of the answer
 * @param dispatcher - connections to use
 * @returns the answer
 */
export async function sendRequest (host: FleetHost, maxTokens: number, dispatcher?: Dispatcher): Promise<CompleteResponse> {
  const answer = await startRequest(host, maxTokens, dispatcher)
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
}

/**
 * Reads the requests that reached a stand-in.
 * @param address - address of the stand-in
 * @returns the requests in order of arrival
 */
export async function readRuns (address: string): Promise<RecordedRun[]> {
  return await (await request(`http://${address}/stand-in/runs`)).body.json() as RecordedRun[]
}

/**
 * Reads the addresses that an entry host gives to callers.
 * @param host - the entry host
 * @returns caller addresses
 */
export async function readAddresses (host: FleetHost): Promise<string[]> {
  const answer = await request(`http://${host.callerAddress}/v1/addresses`)
  return (await answer.body.json() as { addresses: Array<{ address: string }> }).addresses.map(({ address }) => address)
}

/**
 * Submits a job through the operators' command.
 * @param fleet - the fleet
 * @param key - key of the job
 * @param items - how many items
 * @param maxTokens - length of each result
 * @returns the id of the job
 */
export async function submit (fleet: Fleet, key: string, items: number, maxTokens: number): Promise<string> {
  const file = join(fleet.folder, `${key}.ndjson`)
  const lines = Array.from({ length: items }, (_, number) => JSON.stringify({ name: `item-${number}`, input: `sheet ${number}`, maxTokens }))
  await writeFile(file, lines.join('\n'))
  const finished = await fleet.operate('jobs', 'submit', '--file', file, '--account', 'rothar', '--key', key, '--route', 'assist')
  if (finished.code !== 0) throw new Error(finished.errors)
  return finished.output.trim()
}

/**
 * Waits until a job has finished.
 * @param host - any host with an administration address
 * @param job - the job
 * @param limitMs - the longest wait, in milliseconds
 * @returns its status
 */
export async function waitForJob (host: FleetHost, job: string, limitMs: number): Promise<JobStatus> {
  return await eventually(`job ${job} finished`, limitMs, async () => {
    const status = await (await request(`http://${host.administrationAddress}/v1/jobs/${job}`)).body.json() as JobStatus
    return status.phase === 'finished' ? status : undefined
  })
}

/**
 * Waits until an entry host runs batch items, and finds it.
 * @param fleet - the fleet
 * @returns the entry host
 */
export async function findBatchHost (fleet: Fleet): Promise<FleetHost> {
  return await eventually('an entry host with batch items', startLimitMs, async () => {
    for (const host of fleet.entryHosts) {
      const { backendServers } = await readEntryStatus(host)
      if (backendServers.some(server => server.batchInFlight > 0)) return host
    }
    return undefined
  })
}
