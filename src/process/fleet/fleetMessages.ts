/**
 * Messages between the leading control host and the hosts of the fleet.
 * @module
 */
import type { GatewayTables } from '../../version/gatewayTables.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'

/** Longest time for which the leader delays the response to a long poll while it has no update, in milliseconds. */
export const fleetLongPollMs = 500

/** Role of a host in the fleet. */
export const FleetRole = { Gateway: 'gateway', Control: 'control', Executor: 'executor' } as const
export type FleetRole = typeof FleetRole[keyof typeof FleetRole]

/** A host's description of itself. */
export interface FleetHost {
  readonly name: string
  /** Identifies one start of the host's process. */
  readonly holder: string
  readonly role: FleetRole
  readonly availabilityZone: string
  readonly region: string
  /** Address for callers; set at gateways only. */
  readonly callerAddress: string | undefined
  /** Whether callers may be directed to this host. */
  readonly ready: boolean
}

/** A long poll of a host. */
export interface FleetWatchRequest {
  readonly host: FleetHost
  /** The leadership (leader and term) that the revisions below refer to. */
  readonly leadership: string
  readonly tablesVersion: number
  readonly serversRevision: number
  readonly hostsRevision: number
  /** Whether the host has received an update of this leadership with `isComplete` set. */
  readonly isSettled: boolean
}

/** The response to a long poll. */
export interface FleetUpdate {
  readonly leadership: string
  /** Present when newer than the version in the poll. */
  readonly tables?: GatewayTables | undefined
  readonly serversRevision: number
  /** Backend servers changed since the revision in the poll; all of them when the leadership differs. */
  readonly servers: readonly BackendServerRecord[]
  /** Whether every backend server has had time to contact this leader since its election. */
  readonly isComplete: boolean
  readonly hostsRevision: number
  /** Present when the list or the leadership changed; sent to control hosts only. */
  readonly hosts?: readonly FleetHost[] | undefined
  /** Internal addresses of the control hosts, the closest to the polling host first. */
  readonly controlHosts: readonly string[]
}

/** Live requests in flight by backend server. */
export type LiveCounts = Readonly<Record<string, number>>

/** Load report of a gateway. */
export interface LoadReport {
  readonly holder: string
  readonly live: LiveCounts
  /** Backend servers to which a connection failed recently. */
  readonly suspects: readonly string[]
}

/** Requests in flight on one backend server. */
export interface ServerLoad {
  /** Number of live requests. */
  readonly live: number
  /** Number of batch items. */
  readonly batch: number
}

/** The response to a load report. */
export interface LoadTotals {
  readonly loads: Readonly<Record<string, ServerLoad>>
  readonly suspects: readonly string[]
  /** Minimum time until the next report, in milliseconds; grows with the number of hosts. */
  readonly intervalMs: number
}
