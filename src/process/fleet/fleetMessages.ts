/**
 * Messages between the leading control host and the hosts of the fleet.
 * @module
 */
import type { AccountUse } from '../accounts/accountUse.ts'
import type { AccountTotals, EarlierUse } from '../accounts/accountUseSums.ts'
import type { EncodedPaceSamples } from './paceSamples.ts'
import type { ReportedWorks } from './serverWork.ts'
import type { GatewayTables } from '../../version/gatewayTables.ts'
import type { EncodedTables } from '../../connection/tablesCodec.ts'
import type { Trait } from '../../request/requestTraits.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'
import type { ServerStart } from './leavingServers.ts'

/** Longest time for which the leader delays the response to a long poll while it has no update, in milliseconds. */
export const fleetLongPollMs = 500

/** Time limit for the hosts to confirm that a server leaves, in milliseconds; the server retries after one second. */
export const leaveConfirmationTimeoutMs = 600

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
  /** Address for calls of other hosts; undefined at a gateway, and at hosts of an earlier version of the program. */
  readonly internalAddress?: string | undefined
  /** Whether callers may be directed to this host. */
  readonly ready: boolean
  /** Whether a gateway has been busy for most of the time for seconds; undefined at other hosts, and while it is not. */
  readonly isOverloaded?: true | undefined
}

/** A long poll of a host. */
export interface FleetWatchRequest {
  readonly host: FleetHost
  /** The leadership (leader and term) that the revisions below refer to. */
  readonly leadership: string
  readonly tablesVersion: number
  /** Whether the host fetches newer tables itself; hosts of an earlier version of the program receive them in the update. */
  readonly fetchesTables?: boolean | undefined
  /** Highest version of the tables that the host knows to be in force, whether or not it has it. */
  readonly knownTablesVersion?: number | undefined
  readonly serversRevision: number
  readonly hostsRevision: number
  /** Whether the host has received an update of this leadership with `isComplete` set. */
  readonly isSettled: boolean
  /** Revision of the quarantine; undefined if the host has none. */
  readonly quarantineRevision?: number | undefined
  /** Revision of the request limits; undefined if the host has none. */
  readonly limitsRevision?: number | undefined
}

/** A trait of requests that are refused. */
export interface BlockedTrait {
  readonly trait: Trait
  /** Time until it is released, in milliseconds. */
  readonly remainingMs: number
}

/** The traits of requests that crash backend servers. */
export interface QuarantineUpdate {
  readonly revision: number
  readonly blocked: readonly BlockedTrait[]
  /** Traits of requests that may be sent only with the permission of the leader. */
  readonly onTrial: readonly Trait[]
  /** Traits whose output is to be reported. */
  readonly suspects: readonly Trait[]
}

/** A crash of a backend server under a request that had no output yet. */
export interface ServerCrashReport {
  /** Id of the backend server. */
  readonly server: string
  /** Time of day at which the backend server had started, in milliseconds. */
  readonly startedAt: number
  /** Traits of the request: the shared parts of its prompt in order, then its content. */
  readonly traits: readonly Trait[]
  /** Time since the crash, in milliseconds; 0 if it is undefined. */
  readonly ageMs?: number | undefined
  /** The latest outputs with these traits that the gateway has seen. */
  readonly outputs?: readonly TraitOutput[] | undefined
}

/** The response to the report of a crash. */
export interface ServerCrashVerdict {
  /** Whether the request must not be sent to another backend server. */
  readonly isBlocked: boolean
}

/** A request for a trial: asks whether a request with traits on trial may be sent. */
export interface TrialRequest {
  readonly traits: readonly Trait[]
}

/** The latest output to a request with a trait. */
export interface TraitOutput {
  readonly trait: Trait
  /** Time since the output, in milliseconds. */
  readonly ageMs: number
}

/** The response to a long poll. */
export interface FleetUpdate {
  readonly leadership: string
  /** Version of the tables in force; 0 as long as the leader does not know it. */
  readonly tablesVersion?: number | undefined
  /**
   * Time for which `tablesVersion` may have been superseded unnoticed: since the leader last confirmed its leadership by a majority, in
   * milliseconds. Undefined if it has not, or if the tables have no accounts.
   */
  readonly tablesAgeMs?: number | undefined
  /** Present when newer than the version in the poll, for a host that does not fetch tables itself. */
  readonly tables?: GatewayTables | undefined
  readonly serversRevision: number
  /** Backend servers changed since the revision in the poll; all of them when the leadership differs. */
  readonly servers: readonly BackendServerRecord[]
  /** Whether every backend server has had time to contact this leader since its election. */
  readonly isComplete: boolean
  readonly hostsRevision: number
  /** Present when the list or the leadership changed; sent to control hosts only. */
  readonly hosts?: readonly FleetHost[] | undefined
  /** Present when newer than the revision in the poll, and when the leadership differs. */
  readonly quarantine?: QuarantineUpdate | undefined
  /** Present when newer than the revision in the poll, and when the leadership differs. */
  readonly requestLimits?: RequestLimitUpdate | undefined
  /** Internal addresses of the control hosts, the closest to the polling host first. */
  readonly controlHosts: readonly string[]
  /** Internal addresses of the hosts that keep the records of streams, as far as the leader knows them; sent to gateways only. */
  readonly streamKeepers?: readonly string[] | undefined
}

/** Tells the leader that a backend server leaves. */
export interface Withdrawal {
  readonly id: string
  /** Whether the host that received the call tells which start it knows; undefined at hosts of an earlier version of the program. */
  readonly namesStart?: true | undefined
  /** The server as that host knows it; undefined if it knows none. */
  readonly server?: BackendServerRecord | undefined
}

/** The request limit of a backend server. */
export interface NamedLimit {
  readonly server: string
  /** Requests per second that the server takes from all hosts together; undefined for no limit. */
  readonly perSecond: number | undefined
}

/** What a host has read about backend servers in responses. */
export interface LimitReport {
  readonly limits: readonly NamedLimit[]
  /** Servers that say that they leave. */
  readonly leaving?: readonly ServerStart[] | undefined
}

/** All limits that the leader knows. */
export interface RequestLimitUpdate {
  readonly revision: number
  readonly limits: readonly NamedLimit[]
  /** Number of hosts that send requests. */
  readonly hosts: number
}

/** Asks whether a request may be sent to a backend server with a limit. */
export interface PermitRequest extends NamedLimit {
  readonly perSecond: number
}

/** The response to such a request. */
export interface PermitResponse {
  readonly isGranted: boolean
  /** Time after which a further request may be granted, in milliseconds. */
  readonly retryMs: number
}

/** Live requests in flight by backend server. */
export type LiveCounts = Readonly<Record<string, number>>

/** Request for the tables in force. */
export interface TablesRequest {
  /** Version that the host has; 0 for none. */
  readonly knownVersion: number
  /** Lowest version that the response may have. */
  readonly requiredVersion: number
}

/** The response to a request for tables. */
export interface TablesResponse {
  /** Version in force, as far as the control host has applied the log. */
  readonly version: number
  /** Present when newer than the version that the host has. */
  readonly encoded?: EncodedTables | undefined
}

/** Load report of a gateway. */
export interface LoadReport {
  readonly holder: string
  /** Version of the tables by which the host serves. */
  readonly tablesVersion?: number | undefined
  readonly live: LiveCounts
  /** Backend servers to which a connection failed recently. */
  readonly suspects: readonly string[]
  /** Outputs with suspect traits since the last accepted report. */
  readonly outputs?: readonly TraitOutput[] | undefined
  /** What responses have shown of the pace of some servers since the last report; undefined if no server reports a slowdown. */
  readonly paces?: EncodedPaceSamples | undefined
  /** Servers on which the requests of the host are much more work than their number says; undefined without any. */
  readonly work?: ReportedWorks | undefined
  /** Requests of limited client accounts at the host; undefined if they are as last reported. */
  readonly accountUse?: AccountUse | undefined
  /** Number of this report of the use of accounts; undefined without one, and from hosts of earlier versions of the program. */
  readonly accountUseSequence?: number | undefined
  /** The last sums of an earlier leader; undefined if they are outdated, or of this leader. */
  readonly earlierUse?: EarlierUse | undefined
}

/** Requests in flight on one backend server. */
export interface ServerLoad {
  /** Number of live requests. */
  readonly live: number
  /** Number of batch items. */
  readonly batch: number
  /** Duration of work as a multiple of the mean of the service; undefined where it differs by less than a fifth. */
  readonly pace?: number | undefined
  /** Work of the live requests beyond their number, in usual requests; undefined for none. */
  readonly extraWork?: number | undefined
  /** Tokens that live requests of hosts with many tokens hold on the server; undefined without any. */
  readonly tokens?: number | undefined
}

/** The response to a load report. */
export interface LoadTotals extends AccountTotals {
  readonly loads: Readonly<Record<string, ServerLoad>>
  readonly suspects: readonly string[]
  /** Minimum time until the next report, in milliseconds; grows with the number of hosts. */
  readonly intervalMs: number
}
