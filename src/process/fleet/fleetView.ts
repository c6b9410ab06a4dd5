/**
 * What a host knows of the fleet: the published tables, the backend servers, the hosts and the load. It holds on to what
 * it knows while no leader is reached.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { createRouteIndex, type GatewayTables, type RouteIndex } from '../../version/gatewayTables.ts'
import { type BackendServerRecord, isNewer, ServerPhase } from './backendServerRegistry.ts'
import type { FleetHost, FleetUpdate, FleetWatchRequest, LoadTotals, ServerLoad } from './fleetMessages.ts'

/** How long a backend server is avoided after a failed connection, in milliseconds: a crash lasts some seconds, and other hosts tell when it is back. */
const suspectRetentionMs = 2_000

/** Weight of the newest run in the share of failed runs: about the last ten runs count. */
const failureSmoothingFactor = 0.1

/** What a host knows of the fleet. */
export interface FleetView {
  readonly tables: GatewayTables | undefined
  readonly routes: RouteIndex
  /** Hosts of the fleet; known at control hosts only. */
  readonly hosts: readonly FleetHost[]
  /** Internal addresses of the control hosts, the seeds included. */
  readonly controlHosts: readonly string[]
  /** Notified when anything changed. */
  readonly changed: Condition
  /** Notified when the load of this host changed and should be reported. */
  readonly loadChanged: Condition
  /** Monotonic time of the last news, in milliseconds; -Infinity before the first. */
  readonly lastContactAt: number
  /** Builds the next poll. */
  createWatchRequest (host: FleetHost): FleetWatchRequest
  /** Takes the answer to a poll. */
  applyUpdate (update: FleetUpdate): void
  /** Takes the totals that answer a report. */
  applyLoads (totals: LoadTotals, reported: ReadonlyMap<string, number>): void
  /** Lists the backend servers of a service that take requests. */
  listReadyServers (service: string): BackendServerRecord[]
  /** Lists all backend servers, whatever their phase. */
  listServers (): BackendServerRecord[]
  /** Finds a backend server, whatever its phase. */
  findServer (id: string): BackendServerRecord | undefined
  /** Tells the load of a server by other hosts. */
  getRemoteLoad (id: string): ServerLoad
  /** Own live requests by server. */
  readonly live: ReadonlyMap<string, number>
  /** Counts an own live request in or out. */
  countLive (id: string, change: 1 | -1): void
  /** Notes a failed connection. */
  markSuspect (id: string, reason: string): void
  /** Notes a connection that worked. */
  clearSuspect (id: string): void
  /** Notes whether a run on a server succeeded. */
  recordRun (id: string, succeeded: boolean): void
  /** Tells the share of the latest runs on a server that failed, from 0 to 1. */
  getFailureRate (id: string): number
  isSuspect (id: string): boolean
  /** Lists the servers that this host suspects by itself. */
  listLocalSuspects (): string[]
}

const noLoad: ServerLoad = { live: 0, batch: 0 }

/**
 * Creates the view before the first news.
 * @param clock - time
 * @param logger - log events
 * @param seeds - tells the internal addresses of control hosts known from the settings
 * @returns the view
 */
export function createFleetView (clock: Clock, logger: Logger, seeds: () => readonly string[]): FleetView {
  const servers = new Map<string, BackendServerRecord>()
  // Servers that the present leader has listed; the others are forgotten once it has heard from everyone.
  const listedServers = new Set<string>()
  const live = new Map<string, number>()
  const localSuspects = new Map<string, number>()
  const remoteLoads = new Map<string, ServerLoad>()
  const failureRates = new Map<string, number>()
  let reportedSuspects: ReadonlySet<string> = new Set()
  const changed = createCondition(clock)
  const loadChanged = createCondition(clock)
  let tables: GatewayTables | undefined
  let routes: RouteIndex = new Map()
  let hosts: readonly FleetHost[] = []
  let reportedControlHosts: readonly string[] = []
  let lastContactAt = -Infinity
  let leadership = ''
  let serversRevision = 0
  let hostsRevision = -1
  let isSettled = false

  function applyServers (update: FleetUpdate): void {
    const isSameLeadership = update.leadership === leadership
    if (!isSameLeadership) listedServers.clear()
    for (const record of update.servers) {
      listedServers.add(record.id)
      const known = servers.get(record.id)
      // A new leader may have missed what the old one was told, for example that a server leaves.
      const isStale = known !== undefined && known.phase !== ServerPhase.Ready && record.phase === ServerPhase.Ready && !isNewer(record, known)
      if (!isStale) servers.set(record.id, record)
    }
    if (!update.isComplete || (isSameLeadership && isSettled)) return
    for (const id of servers.keys()) {
      if (listedServers.has(id)) continue
      servers.delete(id)
      failureRates.delete(id)
    }
  }

  return {
    get tables () { return tables },
    get routes () { return routes },
    get hosts () { return hosts },
    get controlHosts () { return [...new Set([...reportedControlHosts, ...seeds()])] },
    get lastContactAt () { return lastContactAt },
    changed,
    loadChanged,
    live,
    createWatchRequest: host => ({ host, leadership, tablesVersion: tables?.version ?? 0, serversRevision, hostsRevision, isSettled }),
    applyUpdate (update) {
      lastContactAt = clock.now()
      if (update.tables !== undefined && update.tables.version > (tables?.version ?? 0)) {
        tables = update.tables
        routes = createRouteIndex(update.tables)
        logger.write(LogEvents.configurationInForce, { value: tables.version, detail: update.leadership })
      }
      applyServers(update)
      if (leadership !== update.leadership) logger.write(LogEvents.leaderFound, { detail: update.leadership, value: update.serversRevision })
      leadership = update.leadership
      serversRevision = update.serversRevision
      isSettled = update.isComplete
      // A new leader hears from the hosts within a second; until then the longer list is the better one.
      if (update.hosts !== undefined && (update.isComplete || update.hosts.length >= hosts.length)) hosts = update.hosts
      hostsRevision = update.hostsRevision
      if (update.controlHosts.length > 0) reportedControlHosts = update.controlHosts
      changed.notify()
    },
    applyLoads (totals, reported) {
      remoteLoads.clear()
      for (const [id, load] of Object.entries(totals.loads)) {
        remoteLoads.set(id, { live: Math.max(0, load.live - (reported.get(id) ?? 0)), batch: load.batch })
      }
      reportedSuspects = new Set(totals.suspects)
    },
    listReadyServers (service) {
      const ready: BackendServerRecord[] = []
      for (const record of servers.values()) {
        if (record.phase === ServerPhase.Ready && record.service === service) ready.push(record)
      }
      return ready
    },
    listServers: () => [...servers.values()],
    findServer: id => servers.get(id),
    getRemoteLoad: id => remoteLoads.get(id) ?? noLoad,
    countLive (id, change) {
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
