/**
 * A host's local view of the fleet: the published tables, the backend servers, the hosts and the load. The view stays in
 * use while the leader is unreachable.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import type { QuotaBounds } from '../../request/placement/accountLimit.ts'
import { type AccountQuotas, createAccountQuotas, defaultQuotaBounds } from '../accounts/accountQuotas.ts'
import { createKeyLease } from '../accounts/keyLease.ts'
import { type AccountIndex, createAccountIndex } from '../../version/accounts.ts'
import { createRouteIndex, type GatewayTables, listLivePriorities, type RouteIndex, type Service } from '../../version/gatewayTables.ts'
import { type BackendServerRecord, isNewer, keepSoftwareVersion, ServerPhase } from './backendServerRegistry.ts'
import { completeWithdrawn } from './serverWithdrawal.ts'
import { createQuarantineView, type QuarantineView } from './quarantineView.ts'
import { createLeavingServers, type LeavingServers } from './leavingServers.ts'
import { createPaceSamples, type PaceSamples } from './paceSamples.ts'
import { createCostEstimator, type CostEstimator } from '../../request/placement/requestCost.ts'
import { createServerWork, type ReportedWorks, type ServerWork } from './serverWork.ts'
import { createRemoteLoads, type RemoteLoads } from './remoteLoads.ts'
import { createRemovedStarts } from './removedStarts.ts'
import { createRequestLimits, type RequestLimits } from './requestLimits.ts'
import type { FleetHost, FleetUpdate, FleetWatchRequest, LoadTotals } from './fleetMessages.ts'

/** Time for which a backend server is avoided after a failed connection, in milliseconds. A crash lasts a few seconds, and other hosts report when the server is reachable again. */
const suspectRetentionMs = 2_000

/**
 * Time for which a host may serve by tables that it knows to be outdated, in milliseconds. Shorter than the time within which
 * operators expect a published version to be in force everywhere, 2.5 s at the least.
 */
export const maxTablesOutdatedMs = 2_000

/** Weight of the latest run in the moving average of failed runs; about the last ten runs contribute. */
const failureSmoothingFactor = 0.1

/** Settings of client accounts at a host. */
export interface AccountSettings {
  /** Name of this host. */
  readonly host: string
  /** Identifies this process start. */
  readonly holder: string
  /** Returns the duration of the lease for keys, in milliseconds; 0 for no lease. */
  readonly keyLeaseMs: () => number
  /** Returns the tolerances of the limits of accounts. */
  readonly quotaBounds: () => QuotaBounds
}

/** Settings of a host whose settings file names none of them. */
export const defaultAccountSettings: AccountSettings = { host: '', holder: '', keyLeaseMs: () => 0, quotaBounds: () => defaultQuotaBounds }

/** A host's local view of the fleet. */
export interface FleetView {
  readonly tables: GatewayTables | undefined
  readonly routes: RouteIndex
  /** Version of the tables in force, as far as this host knows; 0 before the first. */
  readonly tablesVersionInForce: number
  /** Time for which this host has known that its tables are outdated, in milliseconds; undefined while they are up to date. */
  readonly tablesOutdatedMs: number | undefined
  /** Whether requests may be served by the tables: there are some, and they have not been outdated for too long. */
  readonly canServe: boolean
  /** Client accounts by the digests of their keys; undefined if requests need no key. */
  readonly accounts: AccountIndex | undefined
  /** Whether the accounts are recent enough to accept keys by them. */
  readonly canServeAccounts: boolean
  /** Whether a key that the accounts lack is unknown for certain: no later version can have been acknowledged. */
  readonly hasNewestAccounts: boolean
  /** Priorities that live requests of the accounts may have; empty without accounts. */
  readonly livePriorities: readonly number[]
  /** Quotas of the accounts at this host. */
  readonly accountQuotas: AccountQuotas
  /** Hosts of the fleet; only control hosts receive them. */
  readonly hosts: readonly FleetHost[]
  /** Internal addresses of the control hosts, the closest first, and the configured seeds. */
  readonly controlHosts: readonly string[]
  /** Whether the view was complete once since the start of this host. Until then it may lack servers and hosts. */
  readonly isPopulated: boolean
  /** Internal addresses of the hosts that keep the records of streams; some of them before the view is populated. */
  readonly streamKeepers: readonly string[]
  /** Requests to refuse because backend servers crash under them. */
  readonly quarantine: QuarantineView
  /** Limits that backend servers name in their responses. */
  readonly requestLimits: RequestLimits
  /** Servers that have said in a response that they leave. */
  readonly leavingServers: LeavingServers
  /** Notified after each update from the leader. */
  readonly changed: Condition
  /** Notified when the load or the suspects of this host changed and should be reported. */
  readonly loadChanged: Condition
  /** Monotonic time of the last update from the leader, in milliseconds; -Infinity before the first. */
  readonly lastContactAt: number
  /**
   * Creates the next long-poll request.
   * @param host - description of this host
   * @returns the request, with the versions and revisions that this view has
   */
  createWatchRequest (host: FleetHost): FleetWatchRequest
  /**
   * Applies the response to a long poll.
   * @param update - the response
   * @param sentAt - monotonic time at which the poll was sent, in milliseconds; without it the response does not extend the lease for keys
   */
  applyUpdate (update: FleetUpdate, sentAt?: number): void
  /**
   * Applies fetched tables, unless they are older than those that the host has.
   * @param tables - the tables
   */
  applyTables (tables: GatewayTables): void
  /**
   * Records a version that is in force, whether or not the host has it.
   * @param version - the version
   */
  recordTablesVersion (version: number): void
  /**
   * Applies the response to a load report.
   * @param totals - load of all hosts together
   * @param reported - live requests in the report that `totals` responds to, by server; subtracted from the totals
   * @param work - work in that report; subtracted too
   */
  applyLoads (totals: LoadTotals, reported: ReadonlyMap<string, number>, work?: ReportedWorks): void
  /** Lists the backend servers of a service that accept new requests. */
  listReadyServers (service: string): BackendServerRecord[]
  /** Finds a service in the tables. */
  findService (name: string): Service | undefined
  /**
   * Checks whether a server accepts new requests.
   * @param server - record of the server, which may have changed since
   * @returns false if it leaves or was removed, or if a later start of it is known
   */
  isReady (server: BackendServerRecord): boolean
  /** Checks whether the leader lists a server of a service as ready that has said in a response that it leaves. */
  hasWithheldServer (service: string): boolean
  /** Lists all backend servers, whatever their phase. */
  listServers (): BackendServerRecord[]
  /** Finds a backend server, whatever its phase. */
  findServer (id: string): BackendServerRecord | undefined
  /** Load of the servers caused by other hosts. */
  readonly remoteLoads: Pick<RemoteLoads, 'get' | 'estimate' | 'recordDuration' | 'ageMs'>
  /** What responses have shown of the pace of servers since the last load report. */
  readonly paceSamples: PaceSamples
  /** Work that live requests of this host are for servers. */
  readonly serverWork: ServerWork
  /** Likely cost of requests, learned from those that this host has relayed. */
  readonly costs: CostEstimator
  /**
   * Returns the pace of a server.
   * @param id - id of the server
   * @returns the duration of work as a multiple of the mean of its service; 1 as long as no difference is known
   */
  getPace (id: string): number
  /** Live requests of this host in flight, by server. */
  readonly live: ReadonlyMap<string, number>
  /**
   * Adds or removes one live request of this host.
   * @param id - id of the server
   * @param change - 1 at the start of the request, -1 at its end
   */
  adjustLiveCount (id: string, change: 1 | -1): void
  /**
   * Marks a server as suspect after a failed connection.
   * @param id - id of the server
   * @param reason - reason of the failure, for the log line
   */
  markSuspect (id: string, reason: string): void
  /**
   * Removes this host's mark from a server after a successful connection.
   * @param id - id of the server
   */
  clearSuspect (id: string): void
  /**
   * Adds a run on a server to the moving average of failed runs.
   * @param id - id of the server
   * @param succeeded - whether the run succeeded
   */
  recordRun (id: string, succeeded: boolean): void
  /** Returns the moving average of failed runs on a server, from 0 to 1. */
  getFailureRate (id: string): number
  /** Checks whether this host or, as of the last report, any other host suspects the server. */
  isSuspect (id: string): boolean
  /** Lists the ids of the servers that this host itself suspects, and discards marks that have expired. */
  listLocalSuspects (): string[]
}

/**
 * Creates an empty view.
 * @param clock - source of time
 * @param logger - receives log events
 * @param seeds - returns the internal addresses of the control hosts in the settings
 * @param accountSettings - settings of client accounts
 * @returns the view
 */
export function createFleetView (clock: Clock, logger: Logger, seeds: () => readonly string[], accountSettings: AccountSettings = defaultAccountSettings): FleetView {
  const servers = new Map<string, BackendServerRecord>()
  // Servers listed by the current leader; all others are deleted once every server has had time to contact that leader.
  const listedServers = new Set<string>()
  const removedStarts = createRemovedStarts()
  const live = new Map<string, number>()
  // Monotonic time at which the suspicion of this host ends, in milliseconds, by server.
  const localSuspects = new Map<string, number>()
  const remoteLoads = createRemoteLoads(clock)
  const paceSamples = createPaceSamples()
  const serverWork = createServerWork()
  const costs = createCostEstimator()
  const failureRates = new Map<string, number>()
  let reportedSuspects: ReadonlySet<string> = new Set()
  const quarantine = createQuarantineView(clock)
  const requestLimits = createRequestLimits(clock, logger)
  const leavingServers = createLeavingServers(clock, logger)
  const changed = createCondition(clock)
  const loadChanged = createCondition(clock)
  let tables: GatewayTables | undefined
  let tablesVersionInForce = 0
  // Newer versions that this host does not have, in order, with the monotonic time at which it learned of each, in milliseconds.
  let missingVersions: ReadonlyArray<{ readonly version: number, readonly knownSince: number }> = []
  let routes: RouteIndex = new Map()
  let accounts: AccountIndex | undefined
  let livePriorities: readonly number[] = []
  const accountQuotas = createAccountQuotas(clock, logger, accountSettings.quotaBounds, accountSettings.host, accountSettings.holder)
  const keyLease = createKeyLease(clock, accountSettings.keyLeaseMs)
  let hosts: readonly FleetHost[] = []
  let reportedControlHosts: readonly string[] = []
  let streamKeepers: readonly string[] = []
  let isPopulated = false
  let lastContactAt = -Infinity
  let leadership = ''
  let serversRevision = 0
  let hostsRevision = -1
  let isSettled = false

  function recordTablesVersion (version: number): void {
    if (version <= tablesVersionInForce) return
    tablesVersionInForce = version
    if (version > (tables?.version ?? 0)) missingVersions = [...missingVersions, { version, knownSince: clock.now() }]
  }

  // The time counts from the oldest missing version: with several in quick succession, the latest is always missing.
  function getOutdatedMs (): number | undefined {
    const oldest = missingVersions[0]
    return oldest === undefined ? undefined : clock.now() - oldest.knownSince
  }

  function applyTables (newTables: GatewayTables): void {
    if (newTables.version <= (tables?.version ?? 0)) return
    tables = newTables
    routes = createRouteIndex(newTables)
    accounts = createAccountIndex(newTables.accounts)
    livePriorities = listLivePriorities(newTables)
    recordTablesVersion(newTables.version)
    const delayMs = getOutdatedMs() ?? 0
    missingVersions = missingVersions.filter(({ version }) => version > newTables.version)
    logger.write(LogEvents.configurationActivated, { value: newTables.version, inputs: { delayMs: Math.round(delayMs), inForce: tablesVersionInForce } })
    changed.notify()
    loadChanged.notify()
  }

  function applyServers (update: FleetUpdate): void {
    const isSameLeadership = update.leadership === leadership
    if (!isSameLeadership) listedServers.clear()
    // A new leader may lack updates that its predecessor received, for example that a server is leaving, until every server has contacted it.
    const mayLackUpdates = !isSameLeadership || !isSettled
    for (const listed of update.servers) {
      const known = servers.get(listed.id)
      const record = completeWithdrawn(listed, known, removedStarts.find(listed.id))
      leavingServers.applyRecord(record)
      if (listed.isStartUnknown === true && record.isStartUnknown !== true) leavingServers.reportWithdrawn(record)
      const isKept = mayLackUpdates && known !== undefined && isOutdated(record, known)
      // A ready server whose present start the leader has not listed by the time that its list is complete has stopped.
      if (isKept && known.phase === ServerPhase.Ready && known.startedAt > record.startedAt) listedServers.delete(record.id)
      else listedServers.add(record.id)
      if (!isKept) servers.set(record.id, keepSoftwareVersion(record, known))
    }
    if (!update.isComplete || (isSameLeadership && isSettled)) return
    for (const [id, { startedAt, isStartUnknown }] of servers) {
      if (listedServers.has(id)) continue
      servers.delete(id)
      failureRates.delete(id)
      if (isStartUnknown !== true) removedStarts.record(id, startedAt)
    }
  }

  return {
    get tables () { return tables },
    get routes () { return routes },
    get tablesVersionInForce () { return tablesVersionInForce },
    get tablesOutdatedMs () { return getOutdatedMs() },
    get canServe () { return tables !== undefined && (getOutdatedMs() ?? 0) <= maxTablesOutdatedMs },
    get accounts () { return accounts },
    get livePriorities () { return livePriorities },
    get canServeAccounts () { return accounts === undefined || keyLease.isHeld(tables?.version ?? 0) },
    get hasNewestAccounts () { return missingVersions.length === 0 && keyLease.isNewest(tables?.version ?? 0) },
    accountQuotas,
    get hosts () { return hosts },
    get controlHosts () { return [...new Set([...reportedControlHosts, ...seeds()])] },
    get isPopulated () { return isPopulated },
    get streamKeepers () { return streamKeepers },
    get lastContactAt () { return lastContactAt },
    quarantine,
    requestLimits,
    leavingServers,
    remoteLoads,
    paceSamples,
    serverWork,
    costs,
    getPace: id => remoteLoads.getPace(id),
    changed,
    loadChanged,
    live,
    createWatchRequest: host => ({ host, leadership, tablesVersion: tables?.version ?? 0, fetchesTables: true, knownTablesVersion: tablesVersionInForce, serversRevision, hostsRevision, isSettled, quarantineRevision: quarantine.revision, limitsRevision: requestLimits.revision }),
    applyUpdate (update, sentAt) {
      lastContactAt = clock.now()
      const { tablesVersion: version, tablesAgeMs: ageMs } = update
      if (sentAt !== undefined && version !== undefined && ageMs !== undefined) keyLease.record({ version, sentAt, ageMs })
      recordTablesVersion(update.tablesVersion ?? 0)
      if (update.tables !== undefined) applyTables(update.tables)
      applyServers(update)
      if (update.requestLimits !== undefined) requestLimits.applyUpdate(update.requestLimits, update.leadership !== leadership)
      const isNewLeader = leadership !== update.leadership
      if (isNewLeader) logger.write(LogEvents.leaderFound, { detail: update.leadership, value: update.serversRevision })
      leadership = update.leadership
      serversRevision = update.serversRevision
      isSettled = update.isComplete
      // Hosts contact a new leader within a second; until then the longer list is the more complete one.
      if (update.hosts !== undefined && (update.isComplete || update.hosts.length >= hosts.length)) hosts = update.hosts
      hostsRevision = update.hostsRevision
      if (update.quarantine !== undefined) quarantine.applyUpdate(update.quarantine, isNewLeader)
      if (update.controlHosts.length > 0) reportedControlHosts = update.controlHosts
      // A new leader knows some of the hosts only, so the previous ones stay in use. A leader of an earlier version of the program names none.
      if (update.isComplete) streamKeepers = update.streamKeepers ?? update.controlHosts
      else if (!isPopulated) streamKeepers = update.streamKeepers ?? []
      isPopulated ||= update.isComplete
      changed.notify()
    },
    applyTables,
    recordTablesVersion,
    applyLoads (totals, reported, work) {
      remoteLoads.apply(totals, reported, id => servers.get(id)?.service, work)
      reportedSuspects = new Set(totals.suspects)
    },
    listReadyServers (service) {
      const ready: BackendServerRecord[] = []
      for (const record of servers.values()) {
        if (record.service === service && record.phase === ServerPhase.Ready && !leavingServers.has(record)) ready.push(record)
      }
      return ready
    },
    findService: name => tables?.services.find(service => service.name === name),
    isReady ({ id, startedAt }) {
      const record = servers.get(id)
      return record?.startedAt === startedAt && record.phase === ServerPhase.Ready && !leavingServers.has(record)
    },
    hasWithheldServer (service) {
      for (const record of servers.values()) {
        if (record.service === service && record.phase === ServerPhase.Ready && leavingServers.has(record)) return true
      }
      return false
    },
    listServers: () => [...servers.values()],
    findServer: id => servers.get(id),
    adjustLiveCount (id, change) {
      const count = (live.get(id) ?? 0) + change
      if (count > 0) live.set(id, count)
      else live.delete(id)
      loadChanged.notify()
    },
    markSuspect (id, reason) {
      if (!localSuspects.has(id)) logger.write(LogEvents.serverSuspected, { peer: servers.get(id)?.address ?? id, detail: id, reason })
      localSuspects.set(id, clock.now() + suspectRetentionMs)
      loadChanged.notify()
    },
    clearSuspect (id) {
      localSuspects.delete(id)
    },
    recordRun (id, succeeded) {
      const rate = failureRates.get(id) ?? 0
      failureRates.set(id, rate + ((succeeded ? 0 : 1) - rate) * failureSmoothingFactor)
    },
    getFailureRate: id => failureRates.get(id) ?? 0,
    isSuspect (id) {
      return (localSuspects.get(id) ?? 0) > clock.now() || reportedSuspects.has(id)
    },
    listLocalSuspects () {
      const now = clock.now()
      for (const [id, until] of localSuspects) {
        if (until <= now) localSuspects.delete(id)
      }
      return [...localSuspects.keys()]
    }
  }
}

// Whether a record of a leader that may lack updates is older than the known one. Within one start a server that leaves or is gone does not
// become ready with an older heartbeat; that it leaves is final, so it is taken over whichever heartbeat is newer.
function isOutdated (record: BackendServerRecord, known: BackendServerRecord): boolean {
  if (record.startedAt !== known.startedAt) return record.startedAt < known.startedAt
  if (record.phase !== ServerPhase.Ready) return false
  return known.phase === ServerPhase.Ready ? isNewer(known, record) : !isNewer(record, known)
}
