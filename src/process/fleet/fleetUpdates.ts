/**
 * What the leader of the fleet sends to a host in response to its long poll.
 * @module
 */
import type { GatewayTables } from '../../version/gatewayTables.ts'
import type { Replica } from '../log/replica.ts'
import { Counter, type Metrics } from '../program/metrics.ts'
import type { ControlState } from '../state/controlState.ts'
import type { BackendServerRegistry } from './backendServerRegistry.ts'
import { type FleetHost, FleetRole, type FleetUpdate, type FleetWatchRequest, type RequestLimitUpdate } from './fleetMessages.ts'
import type { HostSessions } from './hostSessions.ts'
import type { RequestPermits } from './requestPermits.ts'
import { selectStreamKeepers } from './streamKeepers.ts'
import type { TraitQuarantine } from './traitQuarantine.ts'

/** State of the leader that the updates are made of. */
export interface FleetUpdateSources {
  readonly replica: Replica
  readonly state: ControlState
  readonly sessions: HostSessions
  readonly registry: BackendServerRegistry
  readonly quarantine: TraitQuarantine
  readonly permits: RequestPermits
  readonly metrics: Metrics
  readonly getLeadership: () => string
  /** Checks whether every backend server and host has had time to contact this leader. */
  readonly isComplete: () => boolean
  /** Returns the time since the leadership was last known to be the only one, in milliseconds; undefined if it is not known, or not needed. */
  readonly getTablesAgeMs: () => number | undefined
  /** Returns the region of an availability zone; undefined when the settings do not name it. */
  readonly getRegion: (availabilityZone: string) => string | undefined
}

/** The updates of one leader. */
export interface FleetUpdates {
  /** Returns the version of the tables that this leader may name as in force; 0 before it has committed an entry of its own. */
  getConfirmedVersion (): number
  /**
   * Checks whether a host lacks something that the leader has.
   * @param request - the poll, with what the host has
   */
  hasUpdate (request: FleetWatchRequest): boolean
  /**
   * Creates the response to a poll.
   * @param request - the poll, with what the host has
   * @returns what the host lacks
   */
  createUpdate (request: FleetWatchRequest): FleetUpdate
}

/**
 * Creates the updates.
 * @param sources - state of the leader
 * @returns the updates
 */
export function createFleetUpdates ({ replica, state, sessions, registry, quarantine, permits, metrics, getLeadership, isComplete, getTablesAgeMs, getRegion }: FleetUpdateSources): FleetUpdates {
  // The selection of the latest revision of the sessions: every poll of a gateway is answered with it.
  let executorsRevision = -1
  let keepingExecutors: readonly string[] = []

  // Until this leader has committed an entry of its own, it may lack entries that were acknowledged under its predecessors.
  function getConfirmedTables (): GatewayTables | undefined {
    return replica.state.commitIndex < replica.state.termStartIndex ? undefined : state.publication?.tables
  }

  function getConfirmedVersion (): number {
    return getConfirmedTables()?.version ?? 0
  }

  function hasUpdate (request: FleetWatchRequest): boolean {
    if (request.leadership !== getLeadership()) return true
    if (isComplete() && !request.isSettled) return true
    if (getConfirmedVersion() > Math.max(request.tablesVersion, request.knownTablesVersion ?? 0)) return true
    if (registry.revision > request.serversRevision) return true
    if (shouldSendQuarantine(request) || shouldSendLimits(request)) return true
    return shouldSendHosts(request)
  }

  function shouldSendQuarantine (request: FleetWatchRequest): boolean {
    return request.leadership !== getLeadership() || quarantine.revision > (request.quarantineRevision ?? 0)
  }

  function shouldSendLimits (request: FleetWatchRequest): boolean {
    return request.leadership !== getLeadership() || permits.revision > (request.limitsRevision ?? 0)
  }

  function createLimitUpdate (): RequestLimitUpdate {
    const hosts = sessions.list().filter(({ role }) => role !== FleetRole.Control).length
    return { revision: permits.revision, limits: permits.list(), hosts }
  }

  // Only control hosts serve the gateway directory, so only they receive the list of hosts.
  function shouldSendHosts (request: FleetWatchRequest): boolean {
    if (request.host.role !== FleetRole.Control) return false
    return request.leadership !== getLeadership() || request.hostsRevision !== sessions.revision || request.isSettled !== isComplete()
  }

  function createUpdate (request: FleetWatchRequest): FleetUpdate {
    const version = getConfirmedVersion()
    const tables = request.fetchesTables !== true && version > request.tablesVersion ? getConfirmedTables() : undefined
    if (tables !== undefined) metrics.count(Counter.TablesEncoded, 'fleet.watch')
    return {
      leadership: getLeadership(),
      tablesVersion: version,
      tablesAgeMs: version > 0 ? getTablesAgeMs() : undefined,
      tables,
      serversRevision: registry.revision,
      servers: registry.listChangesSince(request.leadership === getLeadership() ? request.serversRevision : 0),
      isComplete: isComplete(),
      hostsRevision: sessions.revision,
      hosts: shouldSendHosts(request) ? sessions.list() : undefined,
      quarantine: shouldSendQuarantine(request) ? quarantine.createUpdate() : undefined,
      requestLimits: shouldSendLimits(request) ? createLimitUpdate() : undefined,
      controlHosts: listControlHostsByDistance(request.host),
      streamKeepers: request.host.role === FleetRole.Gateway ? listStreamKeepers() : undefined
    }
  }

  // Gateways that have just started use the executors known so far; the others keep theirs until the leader knows all hosts.
  function listStreamKeepers (): readonly string[] | undefined {
    if (executorsRevision !== sessions.revision) {
      executorsRevision = sessions.revision
      keepingExecutors = selectStreamKeepers(sessions.list())
    }
    if (keepingExecutors.length > 0) return keepingExecutors
    return isComplete() ? replica.state.members.map(({ address }) => address) : undefined
  }

  function listControlHostsByDistance (host: FleetHost): string[] {
    const distances = new Map<string, number>()
    for (const { address, availabilityZone } of replica.state.members) {
      distances.set(address, availabilityZone === host.availabilityZone ? 0 : getRegion(availabilityZone) === host.region ? 1 : 2)
    }
    return [...distances.keys()].sort((left, right) => (distances.get(left) ?? 0) - (distances.get(right) ?? 0))
  }

  return { getConfirmedVersion, hasUpdate, createUpdate }
}
