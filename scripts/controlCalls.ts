/**
 * Calls to the control hosts of a fleet for tests and benchmarks.
 * @module
 */
import { setTimeout } from 'node:timers/promises'
import { request } from 'undici'
import type { MemberStatus } from '../src/process/log/memberStatus.ts'
import type { FleetHost } from './fleet.ts'
import { eventually } from './processes.ts'

/** What a control host says about itself. */
export interface ControlStatus {
  readonly identity: string
  readonly role: string
  readonly term: number
  readonly leader: string | undefined
  readonly appliedIndex: number
  readonly members: readonly MemberStatus[]
}

const callLimitMs = 2_000
const startLimitMs = 30_000
const retryMs = 10

/**
 * Reads the status of a control host.
 * @param host - the host
 * @returns the status, or undefined when it does not answer
 */
export async function readStatus (host: FleetHost): Promise<ControlStatus | undefined> {
  try {
    const answer = await request(`http://${host.administrationAddress}/v1/status`, { signal: AbortSignal.timeout(callLimitMs) })
    return (await answer.body.json() as { control?: ControlStatus }).control
  } catch {
    return undefined
  }
}

/**
 * Waits until one of the hosts leads and has committed in its term.
 * @param hosts - hosts that run
 * @returns the leader
 */
export async function findLeader (hosts: readonly FleetHost[]): Promise<FleetHost> {
  return await eventually('a leader', startLimitMs, async () => {
    for (const host of hosts) {
      const status = await readStatus(host)
      if (status?.role === 'leader' && status.appliedIndex > 0) return host
    }
    return undefined
  })
}

/**
 * Reads the version of the tables.
 * @param host - any control host
 * @returns the version, or undefined when no leader confirmed it
 */
export async function readVersion (host: FleetHost): Promise<number | undefined> {
  try {
    const answer = await request(`http://${host.administrationAddress}/v1/configuration`, { signal: AbortSignal.timeout(callLimitMs) })
    const content = await answer.body.json() as { version?: number }
    return answer.statusCode === 200 ? content.version : undefined
  } catch {
    return undefined
  }
}

/**
 * Changes the tables, and sends the change again until it is answered.
 * @param hosts - hosts to send it to in turn
 * @param expected - the version before the change
 * @returns the version after it
 */
export async function changeTables (hosts: readonly FleetHost[], expected: number): Promise<number> {
  const body = JSON.stringify({
    operation: `change-${expected}`,
    expected,
    tables: { routes: [{ name: 'assist', pool: 'assist' }], pools: [{ name: 'assist', batchBytesAcrossRegions: expected }] }
  })
  const deadline = performance.now() + startLimitMs
  for (let attempt = 0; performance.now() < deadline; attempt++) {
    const host = hosts[attempt % hosts.length]
    if (host === undefined) break
    try {
      const answer = await request(`http://${host.administrationAddress}/v1/configuration`, {
        method: 'PUT', headers: { 'content-type': 'application/json' }, body, signal: AbortSignal.timeout(callLimitMs)
      })
      const content = await answer.body.json() as { version?: number }
      if (answer.statusCode === 200 && content.version !== undefined) return content.version
      if (answer.statusCode === 409 || answer.statusCode === 422) throw new Error(`change ${expected} was refused: ${JSON.stringify(content)}`)
    } catch (error) {
      if (error instanceof Error && error.message.includes('was refused')) throw error
    }
    await setTimeout(retryMs)
  }
  throw new Error(`change ${expected} was not accepted within ${startLimitMs} ms`)
}
