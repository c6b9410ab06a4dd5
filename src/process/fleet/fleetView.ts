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
const suspicionMs = 2_000

/** Weight of the newest run in the share of failed runs: about the last ten runs count. */
const failureWeight = 0.1

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
  applyUpdate (news: FleetUpdate): void
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
  const listed = new Set<string>()
  const live = new Map<string, number>()
  const suspects = new Map<string, number>()
  const others = new Map<string, ServerLoad>()
  const failures = new Map<string, number>()
  let reportedSuspects: ReadonlySet<string> = new Set()
  const changed = createCondition(clock)
  const loadChanged = createCondition(clock)
  let tables: GatewayTables | undefined
  let routes: RouteIndex = new Map()
  let hosts: readonly FleetHost[] = []
  let toldControlHosts: readonly string[] = []
  let lastContactAt = -Infinity
  let leadership = ''
  let serversRevision = 0
  let hostsRevision = -1
  let isSettled = false

  function applyServers (news: FleetUpdate): void {
    const isSameLeadership = news.leadership === leadership
    if (!isSameLeadership) listed.clear()
    for (const record of news.servers) {
      listed.add(record.id)
      const known = servers.get(record.id)
      // A new leader may have missed what the old one was told, for example that a server leaves.
      const isStale = known !== undefined && known.phase !== ServerPhase.Ready && record.phase === ServerPhase.Ready && !isNewer(record, known)
      if (!isStale) servers.set(record.id, record)
    }
    if (!news.isComplete || (isSameLeadership && isSettled)) return
    for (const id of servers.keys()) {
      if (listed.has(id)) continue
      servers.delete(id)
      failures.delete(id)
    }
  }

  return {
    get tables () { return tables },
    get routes () { return routes },
    get hosts () { return hosts },
    get controlHosts () { return [...new Set([...toldControlHosts, ...seeds()])] },
    get lastContactAt () { return lastContactAt },
    changed,
    loadChanged,
    live,
    createWatchRequest: host => ({ host, leadership, tablesVersion: tables?.version ?? 0, serversRevision, hostsRevision, isSettled }),
    applyUpdate (news) {
      lastContactAt = clock.now()
      if (news.tables !== undefined && news.tables.version > (tables?.version ?? 0)) {
        tables = news.tables
        routes = createRouteIndex(news.tables)
        logger.write(LogEvents.configurationActivated, { value: tables.version, detail: news.leadership })
      }
      applyServers(news)
      if (leadership !== news.leadership) logger.write(LogEvents.leaderFound, { detail: news.leadership, value: news.serversRevision })
      leadership = news.leadership
      serversRevision = news.serversRevision
      isSettled = news.isComplete
      // A new leader hears from the hosts within a second; until then the longer list is the better one.
      if (news.hosts !== undefined && (news.isComplete || news.hosts.length >= hosts.length)) hosts = news.hosts
      hostsRevision = news.hostsRevision
      if (news.controlHosts.length > 0) toldControlHosts = news.controlHosts
      changed.notify()
    },
    applyLoads (totals, reported) {
      others.clear()
      for (const [id, load] of Object.entries(totals.loads)) {
        others.set(id, { live: Math.max(0, load.live - (reported.get(id) ?? 0)), batch: load.batch })
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
    getRemoteLoad: id => others.get(id) ?? noLoad,
    countLive (id, change) {
      const count = (live.get(id) ?? 0) + change
      if (count > 0) live.set(id, count)
      else live.delete(id)
      loadChanged.notify()
    },
    markSuspect (id, reason) {
      if (!suspects.has(id)) logger.write(LogEvents.serverSuspected, { peer: servers.get(id)?.address ?? id, detail: id, reason })
      suspects.set(id, clock.now() + suspicionMs)
      loadChanged.notify()
    },
    clearSuspect (id) {
      suspects.delete(id)
    },
    recordRun (id, succeeded) {
      const share = failures.get(id) ?? 0
      failures.set(id, share + ((succeeded ? 0 : 1) - share) * failureWeight)
    },
    getFailureRate: id => failures.get(id) ?? 0,
    isSuspect (id) {
      return (suspects.get(id) ?? 0) > clock.now() || reportedSuspects.has(id)
    },
    listLocalSuspects () {
      const now = clock.now()
      for (const [id, until] of suspects) {
        if (until <= now) suspects.delete(id)
      }
      return [...suspects.keys()]
    }
  }
}
