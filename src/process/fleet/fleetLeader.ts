/**
 * What the leader of the control hosts does for the fleet: it answers the polls of the hosts, keeps the registry of backend
 * servers, and adds up the load of each server. All of it is in memory and is rebuilt within seconds by a new leader.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Condition, createCondition } from '../program/condition.ts'
import type { ControlState } from '../state/controlState.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { ProcessServices } from '../program/processServices.ts'
import { type Replica, ReplicaRole } from '../log/replica.ts'
import { millisecondsPerSecond } from '../program/units.ts'
import { createBackendServerRegistry, type BackendServerRecord, type Heartbeat, ServerPhase } from './backendServerRegistry.ts'
import { fleetLongPollMs, type FleetUpdate, FleetRole, type FleetWatchRequest, type LoadReport, type LoadTotals, type ServerLoad } from './fleetMessages.ts'
import { createHostSessions, sessionMs } from './hostSessions.ts'

/** How often the leader looks for what has expired, in milliseconds. */
const sweepMs = 250

/** Shortest time between two load reports of one host, in milliseconds. */
const reportIntervalMs = 40

/** Load reports that the leader takes in a second from all hosts together; more hosts report less often. */
const reportsPerSecond = 400

/** How long a server that leaves waits for its acknowledgement, in milliseconds; it calls again after a second. */
const confirmLimitMs = 600

/** How long news is gathered before the polls are answered, in milliseconds. */
const gatherMs = 10

/** What the fleet's leader needs. */
export interface FleetLeaderInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'lifecycle'> {
  readonly replica: Replica
  readonly state: ControlState
  /** How long a backend server may be silent, in milliseconds. */
  readonly heartbeatTimeoutMs: number
  /** What this host knows of the backend servers as a member of the fleet; a new leader begins with it. */
  readonly knownServers: () => readonly BackendServerRecord[]
  /** How long after its election a leader waits to have heard from everyone, in milliseconds. */
  readonly settleMs: number
}

/** The leader's side of the fleet. */
export interface FleetLeader {
  /** Notified when backend servers, loads or the leadership changed. */
  readonly changed: Condition
  /** Batch items in flight by backend server, written by the batch runner. */
  readonly batch: Map<string, number>
  isLeading (): boolean
  /** Answers the polls, since new tables are in force. */
  publish (): void
  /** Answers a poll, at once when there is news and after a while when there is none. */
  watch (request: FleetWatchRequest): Promise<Result<FleetUpdate, Failure>>
  /** Takes the load of a host and answers with that of all. */
  report (report: LoadReport): Result<LoadTotals, Failure>
  /** Takes a heartbeat; one of a leaving server is answered only once every host of the fleet knows. */
  receiveHeartbeat (heartbeat: Heartbeat): Promise<Result<boolean, Failure>>
  /** Takes a server out that leaves; answered only once every host of the fleet knows. */
  withdraw (id: string): Promise<Result<boolean, Failure>>
  /** Lists the backend servers that take requests. */
  listReadyServers (): BackendServerRecord[]
  findServer (id: string): BackendServerRecord | undefined
  getLoad (id: string): ServerLoad
  /** Tells whether a host suspects the server. */
  isSuspect (id: string): boolean
}

/**
 * Creates the leader's side of the fleet; it answers only while its replica leads.
 * @param inputs - what it needs
 * @returns the fleet's leader
 */
export function createFleetLeader (inputs: FleetLeaderInputs): FleetLeader {
  const { replica, state, clock, logger, lifecycle } = inputs
  const sessions = createHostSessions()
  const registry = createBackendServerRegistry(() => inputs.heartbeatTimeoutMs)
  const changed = createCondition(clock)
  const news = createCondition(clock)
  const confirmed = createCondition(clock)
  const batch = new Map<string, number>()
  let term = -1
  let ledSince = 0

  function isLeading (): boolean {
    if (replica.state.role !== ReplicaRole.Leader) return false
    if (term !== replica.state.term) beginTerm()
    return true
  }

  function beginTerm (): void {
    term = replica.state.term
    ledSince = clock.now()
    sessions.clear()
    batch.clear()
    registry.clear()
    for (const record of inputs.knownServers()) registry.seed(record, ledSince)
  }

  function notLeading (step: Step): Failure {
    const { address, leaderAddress } = replica.state
    return createFailure(FailureReason.NotLeader, { step, peer: address, alternative: leaderAddress }, 'this control host is not the leader')
  }

  function leadership (): string {
    return `${replica.state.identity}/${term}`
  }

  // Whether every backend server and host has had the time to call this leader.
  function isComplete (): boolean {
    return clock.now() - ledSince > inputs.settleMs
  }

  function notifyAll (): void {
    news.notify()
    changed.notify()
  }

  function keepSession (request: FleetWatchRequest): void {
    const { host } = request
    const { revision } = sessions
    const confirmedRevision = request.leadership === leadership() ? request.serversRevision : -1
    const isNew = sessions.keep(request, confirmedRevision, clock.now())
    if (isNew) logger.write(LogEvents.hostJoined, { peer: host.name, detail: host.role })
    if (sessions.revision !== revision) notifyAll()
    confirmed.notify()
  }

  function hasNews (request: FleetWatchRequest): boolean {
    if (request.leadership !== leadership()) return true
    if (isComplete() && !request.isSettled) return true
    if ((state.publication?.tables.version ?? 0) > request.tablesVersion) return true
    if (registry.revision > request.serversRevision) return true
    return needsHosts(request)
  }

  // Only control hosts answer callers in search of a gateway.
  function needsHosts (request: FleetWatchRequest): boolean {
    if (request.host.role !== FleetRole.Control) return false
    return request.leadership !== leadership() || request.hostsRevision !== sessions.revision || request.isSettled !== isComplete()
  }

  function createNews (request: FleetWatchRequest): FleetUpdate {
    const tables = state.publication?.tables
    return {
      leadership: leadership(),
      tables: (tables?.version ?? 0) > request.tablesVersion ? tables : undefined,
      serversRevision: registry.revision,
      servers: registry.listChangesSince(request.leadership === leadership() ? request.serversRevision : 0),
      isComplete: isComplete(),
      hostsRevision: sessions.revision,
      hosts: needsHosts(request) ? sessions.list() : undefined,
      controlHosts: replica.state.members.map(member => member.address)
    }
  }

  async function holdUntilNews (request: FleetWatchRequest): Promise<void> {
    if (hasNews(request)) return
    const deadline = clock.now() + fleetLongPollMs
    do await news.wait(deadline - clock.now(), lifecycle.signal)
    while (!hasNews(request) && clock.now() < deadline && isLeading() && !lifecycle.signal.aborted)
    if (hasNews(request)) await clock.sleep(gatherMs, lifecycle.signal)
  }

  function loadOf (id: string): ServerLoad {
    return { live: sessions.sums().live.get(id) ?? 0, batch: batch.get(id) ?? 0 }
  }

  function listLoads (): Record<string, ServerLoad> {
    const loads: Record<string, ServerLoad> = {}
    for (const id of [...sessions.sums().live.keys(), ...batch.keys()]) loads[id] = loadOf(id)
    return loads
  }

  // That a server leaves must be known after the loss of this leader, and no host may send the server anything later.
  async function confirmLeaving (id: string): Promise<Result<boolean, Failure>> {
    const revision = registry.find(id)?.revision ?? 0
    const startedIn = leadership()
    const deadline = clock.now() + confirmLimitMs
    while (isLeading() && leadership() === startedIn) {
      const host = sessions.findUnconfirmed(revision)
      if (host === undefined) return ok(true)
      if (clock.now() >= deadline) return err(createFailure(FailureReason.Timeout, { step: Step.Heartbeat, peer: host.name }, `host ${host.name} has not confirmed revision ${revision}`))
      await confirmed.wait(deadline - clock.now(), lifecycle.signal)
    }
    return err(notLeading(Step.Heartbeat))
  }

  function reportChange (id: string, phaseBefore: ServerPhase | undefined): void {
    const record = registry.find(id)
    if (record === undefined || record.phase === phaseBefore) return
    const event = record.phase === ServerPhase.Ready ? LogEvents.backendServerAnnounced : LogEvents.backendServerLeaving
    logger.write(event, { peer: record.address, detail: id, value: record.revision })
    notifyAll()
  }

  function expire (): void {
    const now = clock.now()
    for (const { host, silentMs } of sessions.expire(now)) {
      logger.write(LogEvents.hostLost, { peer: host.name, value: Math.round(silentMs) })
      confirmed.notify()
      news.notify()
    }
    for (const record of registry.expire(now)) {
      logger.write(LogEvents.backendServerExpired, { peer: record.address, detail: record.id })
      notifyAll()
    }
  }

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await clock.sleep(sweepMs, signal)
      if (isLeading()) expire()
    }
  })
  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await replica.state.changed.wait(sessionMs, signal)
      notifyAll()
    }
  })

  return {
    changed,
    batch,
    isLeading,
    publish: () => news.notify(),
    async watch (request) {
      if (!isLeading()) return err(notLeading(Step.Watch))
      keepSession(request)
      const startedIn = leadership()
      await holdUntilNews(request)
      if (!isLeading() || leadership() !== startedIn) return err(notLeading(Step.Watch))
      sessions.touch(request.host.holder, clock.now())
      return ok(createNews(request))
    },
    report (report) {
      if (!isLeading()) return err(notLeading(Step.Report))
      if (sessions.report(report)) changed.notify()
      const intervalMs = Math.max(reportIntervalMs, sessions.size * millisecondsPerSecond / reportsPerSecond)
      return ok({ loads: listLoads(), suspects: [...sessions.sums().suspects], intervalMs })
    },
    async receiveHeartbeat (heartbeat) {
      if (!isLeading()) return err(notLeading(Step.Heartbeat))
      const phaseBefore = registry.find(heartbeat.id)?.phase
      const isNewer = registry.receive(heartbeat, clock.now())
      if (isNewer) reportChange(heartbeat.id, phaseBefore)
      return heartbeat.leaving ? await confirmLeaving(heartbeat.id) : ok(isNewer)
    },
    async withdraw (id) {
      if (!isLeading()) return err(notLeading(Step.Heartbeat))
      const phaseBefore = registry.find(id)?.phase
      registry.withdraw(id, clock.now())
      reportChange(id, phaseBefore)
      return await confirmLeaving(id)
    },
    listReadyServers: () => registry.listChangesSince(0).filter(record => record.phase === ServerPhase.Ready),
    findServer: id => registry.find(id),
    getLoad: loadOf,
    isSuspect: id => sessions.sums().suspects.has(id)
  }
}
