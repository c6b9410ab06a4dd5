/**
 * Messages between the leader and the hosts of the fleet.
 * @module
 */
import type { GatewayTables } from '../../version/gatewayTables.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'

/** How long the leader holds a poll without news, in milliseconds. */
export const fleetLongPollMs = 500

/** What a host does in the fleet. */
export const FleetRole = { Gateway: 'gateway', Control: 'control', Executor: 'executor' } as const
export type FleetRole = typeof FleetRole[keyof typeof FleetRole]

/** A host of the fleet as it describes itself. */
export interface FleetHost {
  readonly name: string
  /** One start of the process. */
  readonly holder: string
  readonly role: FleetRole
  readonly availabilityZone: string
  readonly region: string
  /** Where callers connect, at a gateway. */
  readonly callerAddress: string | undefined
  /** Whether callers may be sent there. */
  readonly ready: boolean
}

/** A poll. */
export interface FleetWatchRequest {
  readonly host: FleetHost
  /** The leadership that the revisions below refer to. */
  readonly leadership: string
  readonly tablesVersion: number
  readonly serversRevision: number
  readonly hostsRevision: number
  /** Whether the host knows that the leader has heard from every backend server. */
  readonly isSettled: boolean
}

/** The answer to a poll. */
export interface FleetUpdate {
  readonly leadership: string
  /** Present when newer than the version in the poll. */
  readonly tables?: GatewayTables | undefined
  readonly serversRevision: number
  /** Backend servers that changed, or all of them under another leadership. */
  readonly servers: readonly BackendServerRecord[]
  /** Whether the leader has led long enough to have heard from every backend server. */
  readonly isComplete: boolean
  readonly hostsRevision: number
  /** Present when it changed; only told to control hosts. */
  readonly hosts?: readonly FleetHost[] | undefined
  /** Internal addresses of the control hosts. */
  readonly controlHosts: readonly string[]
}

/** Live requests in flight by backend server. */
export type LiveCounts = Readonly<Record<string, number>>

/** What a gateway reports of its live requests. */
export interface LoadReport {
  readonly holder: string
  readonly live: LiveCounts
  /** Backend servers whose connections failed lately. */
  readonly suspects: readonly string[]
}

/** Requests in flight on one backend server, from all hosts. */
export interface ServerLoad {
  readonly live: number
  readonly batch: number
}

/** The answer to a report. */
export interface LoadTotals {
  readonly loads: Readonly<Record<string, ServerLoad>>
  readonly suspects: readonly string[]
  /** Shortest time until the next report, in milliseconds; grows with the number of hosts. */
  readonly intervalMs: number
}
