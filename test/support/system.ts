/**
 * A complete system in one process: a host with both roles, and stand-in backend servers.
 * @module
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { eventually, reserveAddresses } from '../../scripts/processes.ts'
import { type Daemon, startDaemon } from '../../src/process/entry/daemon.ts'
import { Level } from '../../src/process/program/logEvents.ts'
import { Role } from '../../src/process/program/settings.ts'
import type { Pool, Route } from '../../src/version/tables.ts'
import { poolSchema, routeSchema } from '../../src/version/tables.ts'
import { type StandIn, type StandInSettings, startStandIn } from '../standIn/standIn.ts'

const startTimeoutMs = 10_000

/** A running system. */
export interface TestSystem {
  readonly daemon: Daemon
  readonly callerAddress: string
  readonly administrationAddress: string
  /** Replaces both tables and waits until the new version is in force, whatever the current version is. */
  apply (routes: ReadonlyArray<Partial<Route>>, pools: ReadonlyArray<Partial<Pool>>): Promise<void>
  /** Starts a stand-in backend server and waits until the entry host has its announcement. */
  startStandIn (settings?: Partial<StandInSettings>): Promise<StandIn>
  /** Starts another entry host and waits until it has a confirmed configuration. */
  startEntryHost (): Promise<{ readonly daemon: Daemon, readonly callerAddress: string }>
  /** Posts a live request to the first entry host, or to the given caller address, and reads the whole response. */
  sendRequest (route: string, body: unknown, headers?: Readonly<Record<string, string>>, address?: string): Promise<TestResponse>
  close (): Promise<void>
}

/** The response to a live request. */
export interface TestResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly text: string
  readonly json: () => Record<string, any>
}

/**
 * Starts a system.
 * @returns the system, with a confirmed configuration
 */
export async function startSystem (): Promise<TestSystem> {
  const folder = await mkdtemp(join(tmpdir(), 'jaychute-test-'))
  const [internalAddress = '', callerAddress = '', administrationAddress = ''] = await reserveAddresses(3)
  const startResult = await startDaemon({
    role: Role.Both,
    host: 'test',
    availabilityZone: 'zone-a',
    region: 'region-a',
    internalAddress,
    callerAddress,
    administrationAddress,
    controlHosts: [internalAddress],
    dataFolder: folder,
    voters: 3,
    addressKeepMs: 200,
    logLevel: Level.Error
  })
  if (startResult.isErr()) throw startResult.error
  const daemon = startResult.value
  const standIns: StandIn[] = []
  const otherEntryHosts: Daemon[] = []
  await eventually('a confirmed configuration', startTimeoutMs, () =>
    daemon.entryHost?.version.isConfirmed(performance.now()) === true ? true : undefined)

  return {
    daemon,
    callerAddress,
    administrationAddress,
    async apply (routes, pools) {
      const tables = { routes: routes.map(route => routeSchema.parse(route)), pools: pools.map(pool => poolSchema.parse(pool)) }
      const expected = daemon.controlHost?.state.configuration.version ?? 0
      const response = await request(`http://${administrationAddress}/v1/configuration`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ operation: `test-${expected}`, expected, tables })
      })
      if (response.statusCode !== 200) throw new Error(`the tables were not accepted: ${await response.body.text()}`)
      await response.body.dump()
      await eventually('the version in force', startTimeoutMs, () =>
        daemon.entryHost?.version.configuration.version === expected + 1 ? true : undefined)
    },
    async startStandIn (settings = {}) {
      const standIn = await startStandIn({ entryHosts: [callerAddress], ...settings })
      standIns.push(standIn)
      await eventually('the announcement', startTimeoutMs, () =>
        daemon.entryHost?.backendServers.list().find(server => server.announcement.address === standIn.address))
      return standIn
    },
    async startEntryHost () {
      const [ownInternalAddress = '', ownCallerAddress = ''] = await reserveAddresses(2)
      const other = await startDaemon({
        role: Role.Entry,
        host: 'other',
        availabilityZone: 'zone-a',
        region: 'region-a',
        internalAddress: ownInternalAddress,
        callerAddress: ownCallerAddress,
        controlHosts: [internalAddress],
        voters: 3,
        addressKeepMs: 200,
        logLevel: Level.Error
      })
      if (other.isErr()) throw other.error
      otherEntryHosts.push(other.value)
      await eventually('a confirmed configuration', startTimeoutMs, () =>
        other.value.entryHost?.version.isConfirmed(performance.now()) === true ? true : undefined)
      return { daemon: other.value, callerAddress: ownCallerAddress }
    },
    async sendRequest (route, body, headers = {}, address = callerAddress) {
      const response = await request(`http://${address}/v1/routes/${route}/requests`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar', ...headers },
        body: typeof body === 'string' ? body : JSON.stringify(body)
      })
      const text = await response.body.text()
      return { status: response.statusCode, headers: response.headers, text, json: () => JSON.parse(text) }
    },
    async close () {
      for (const standIn of standIns) await standIn.close()
      for (const other of otherEntryHosts) await other.lifecycle.close()
      await daemon.lifecycle.close()
      await rm(folder, { recursive: true, force: true })
    }
  }
}
