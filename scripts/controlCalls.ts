/**
 * HTTP calls to the control hosts of a fleet, for tests and benchmarks.
 * @module
 */
import { setTimeout } from 'node:timers/promises'
import { request } from 'undici'
import type { MemberStatus } from '../src/process/log/memberStatus.ts'
import type { FleetHost } from './fleet.ts'
import { eventually } from './processes.ts'

/** Status that a control host reports. */
export interface ControlStatus {
  readonly identity: string
  readonly role: string
  readonly term: number
  readonly leader: string | undefined
  readonly appliedIndex: number
  readonly members: readonly MemberStatus[]
}

const callTimeoutMs = 2_000
const startTimeoutMs = 30_000
const retryDelayMs = 10

/**
 * Reads the status of a control host.
 * @param host - the host
 * @returns the status, or undefined if the host does not respond
 */
export async function readStatus (host: FleetHost): Promise<ControlStatus | undefined> {
  try {
    const response = await request(`http://${host.administrationAddress}/v1/status`, { signal: AbortSignal.timeout(callTimeoutMs) })
    return (await response.body.json() as { control?: ControlStatus }).control
  } catch {
    return undefined
  }
}

/**
 * Waits until one of the hosts is leader and has applied an entry.
 * @param hosts - running control hosts
 * @returns the leader
 * @throws Error if there is none within 30 s
 */
export async function findLeader (hosts: readonly FleetHost[]): Promise<FleetHost> {
  return await eventually('a leader', startTimeoutMs, async () => {
    for (const host of hosts) {
      const status = await readStatus(host)
      if (status?.role === 'leader' && status.appliedIndex > 0) return host
    }
    return undefined
  })
}

/**
 * Reads the version of the configuration.
 * @param host - any control host
 * @returns the version, or undefined if no leader confirmed it or the host does not respond
 */
export async function readVersion (host: FleetHost): Promise<number | undefined> {
  try {
    const response = await request(`http://${host.administrationAddress}/v1/configuration`, { signal: AbortSignal.timeout(callTimeoutMs) })
    const content = await response.body.json() as { version?: number }
    return response.statusCode === 200 ? content.version : undefined
  } catch {
    return undefined
  }
}

/**
 * Changes the tables of the configuration, and retries the same operation until it is accepted.
 * @param hosts - control hosts, tried in turn
 * @param expected - version before the change
 * @returns version after the change
 * @throws Error if the change is rejected, or not accepted within 30 s
 */
export async function changeTables (hosts: readonly FleetHost[], expected: number): Promise<number> {
  // One field has the value of the expected version, so that each change has different tables.
  const body = JSON.stringify({
    operation: `change-${expected}`,
    expected,
    tables: { routes: [{ name: 'assist', pool: 'assist' }], pools: [{ name: 'assist', batchBytesAcrossRegions: expected }] }
  })
  const deadline = performance.now() + startTimeoutMs
  for (let attempt = 0; performance.now() < deadline; attempt++) {
    const host = hosts[attempt % hosts.length]
    if (host === undefined) break
    try {
      const response = await request(`http://${host.administrationAddress}/v1/configuration`, {
        method: 'PUT', headers: { 'content-type': 'application/json' }, body, signal: AbortSignal.timeout(callTimeoutMs)
      })
      const content = await response.body.json() as { version?: number }
      if (response.statusCode === 200 && content.version !== undefined) return content.version
      if (response.statusCode === 409 || response.statusCode === 422) throw new Error(`change of configuration version ${expected} was refused: ${JSON.stringify(content)}`)
    } catch (error) {
      if (error instanceof Error && error.message.includes('was refused')) throw error
    }
    await setTimeout(retryDelayMs)
  }
  throw new Error(`change of configuration version ${expected} was not accepted within ${startTimeoutMs} ms`)
}
