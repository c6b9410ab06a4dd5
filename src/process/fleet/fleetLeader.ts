/**
 * What the leader of the control hosts does for the fleet: sessions of hosts, the registry of backend servers, and the
 * load of each backend server from all hosts. All of it is in memory and is rebuilt within seconds by a new leader.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Condition, createCondition } from '../condition.ts'
import type { ControlState } from '../controlState.ts'
import { createFailure, type Failure, FailureReason, Step } from '../failure.ts'
import { LogEvents } from '../logEvents.ts'
import type { ProcessServices } from '../processServices.ts'
import { type Replica, ReplicaRole } from '../replica.ts'
import { createBackendServerRegistry, type BackendServerRecord, type Heartbeat, ServerPhase } from './backendServerRecords.ts'
import {
  fleetHoldMs, type FleetHost, type FleetNews, FleetRole, type FleetWatch, type LiveCounts, type LoadReport, type LoadTotals, type ServerLoad
} from './fleetMessages.ts'
import { millisecondsPerSecond } from '../units.ts'

/** How long a host may be silent before its session ends, in milliseconds: two polls held to their limit, and one lost. */
const sessionMs = 3 * fleetHoldMs

/** How often the leader looks for what has expired, in milliseconds. */
const sweepMs = 250

/** Shortest time between two load reports of one host, in milliseconds. */
const reportIntervalMs = 40

/** Load reports that the leader takes in a second from all hosts together; more hosts report less often. */
const reportsPerSecond = 400

/** How long a host that leaves waits for its acknowledgement, in milliseconds; it calls again after a second. */
const confirmLimitMs = 600

/** How long news is gathered before the polls are answered, in milliseconds. */
const gatherMs = 10

/** What the fleet's leader needs. */
export interface FleetLeaderInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'lifecycle'> {
  readonly replica: Replica
  readonly state: ControlState
  /** How long a backend server may be silent, in milliseconds. */
  readonly serverSilenceMs: number
  /** What this host knows of the backend servers as a member of the fleet; a new leader begins with it. */
  readonly knownServers: () => readonly BackendServerRecord[]
  /** How long after its election a leader waits to have heard from everyone, in milliseconds. */
  readonly settleMs: number
}

/** The leader's side of the fleet. */
export interface FleetLeader {
  /** Notified when backend servers, loads or the leadership changed. */
  readonly changed: Condition
  /** Requests in flight by backend server, written by the batch runner. */
  readonly batch: Map<string, number>
  isLeading (): boolean
  /** Tells that new tables are in force. */
  publish (): void
  watch (request: FleetWatch): Promise<Result<FleetNews, Failure>>
  report (report: LoadReport): Result<LoadTotals, Failure>
  /** Takes a heartbeat; one of a leaving server is answered only once every host of the fleet knows. */
  hear (heartbeat: Heartbeat): Promise<Result<boolean, Failure>>
  /** Takes the word of a server that it leaves; answered only once every host of the fleet knows. */
  withdraw (id: string): Promise<Result<boolean, Failure>>
  /** Lists the backend servers that take requests. */
  readyServers (): BackendServerRecord[]
  findServer (id: string): BackendServerRecord | undefined
  loadOf (id: string): ServerLoad
  /** Tells whether a host suspects the server. */
  isSuspect (id: string): boolean
}

/** Live requests and suspicions of all hosts together. */
interface LoadSums {
  readonly live: ReadonlyMap<string, number>
  readonly suspects: ReadonlySet<string>
}

interface Session {
  host: FleetHost
  heardAt: number
  live: LiveCounts
  suspects: readonly string[]
  /** Revision of the registry that the host has confirmed to know. */
  confirmedRevision: number
}

/**
 * Creates the leader's side of the fleet; it answers only while its replica leads.
 * @param inputs - what it needs
 * @returns the fleet's leader
 */
export function createFleetLeader (inputs: FleetLeaderInputs): FleetLeader {
  const { replica, state, clock, logger, lifecycle } = inputs
  const sessions = new Map<string, Session>()
  const registry = createBackendServerRegistry(inputs.serverSilenceMs)
  const changed = createCondition(clock)
  const news = createCondition(clock)
  const confirmed = createCondition(clock)
  const batch = new Map<string, number>()
  let term = -1
  let ledSince = 0
  let hostsRevision = 0
  let summed: LoadSums | undefined

  function isLeading (): boolean {
    if (replica.state.role !== ReplicaRole.Leader) return false
    if (term === replica.state.term) return true
    term = replica.state.term
    ledSince = clock.now()
    sessions.clear()
    summed = undefined
    registry.clear()
    for (const record of inputs.knownServers()) registry.seed(record, ledSince)
    batch.clear()
    hostsRevision++
    return true
  }

  function notLeading (step: Step): Failure {
    const { address, leaderAddress } = replica.state
    return createFailure(FailureReason.NotLeader, { step, peer: address, alternative: leaderAddress }, 'this control host is not the leader')
  }

  function leadership (): string {
    return `${replica.state.identity}/${term}`
  }

  function isComplete (): boolean {
    return clock.now() - ledSince > inputs.settleMs
  }

  function keepSession ({ host, ...request }: FleetWatch): void {
    const known = sessions.get(host.holder)
    if (known === undefined) {
      logger.write(LogEvents.hostJoined, { peer: host.name, detail: host.role })
      // An earlier start of the same host is over.
      for (const [holder, session] of sessions) {
        if (session.host.name === host.name && session.host.role === host.role) sessions.delete(holder)
      }
      summed = undefined
    }
    if (known === undefined || known.host.ready !== host.ready) {
      hostsRevision++
      news.notify()
      changed.notify()
    }
    const confirmedRevision = request.leadership === leadership() ? request.serversRevision : -1
    sessions.set(host.holder, { host, heardAt: clock.now(), live: known?.live ?? {}, suspects: known?.suspects ?? [], confirmedRevision })
    confirmed.notify()
  }

  function hasNews (request: FleetWatch): boolean {
    if (request.leadership !== leadership()) return true
    if (isComplete() && !request.isSettled) return true
    if ((state.publication?.tables.version ?? 0) > request.tablesVersion) return true
    if (registry.revision > request.serversRevision) return true
    return request.host.role === FleetRole.Control && request.hostsRevision !== hostsRevision
  }

  function createNews (request: FleetWatch): FleetNews {
    const isSameLeadership = request.leadership === leadership()
    const tables = state.publication?.tables
    const isHostsTold = request.host.role === FleetRole.Control && !(isSameLeadership && request.hostsRevision === hostsRevision && request.isSettled === isComplete())
    return {
      leadership: leadership(),
      tables: (tables?.version ?? 0) > request.tablesVersion ? tables : undefined,
      serversRevision: registry.revision,
      servers: registry.since(isSameLeadership ? request.serversRevision : 0),
      isComplete: isComplete(),
      hostsRevision,
      hosts: isHostsTold ? listHosts() : undefined,
      controlHosts: replica.state.members.map(member => member.address)
    }
  }

  function listHosts (): FleetHost[] {
    return [...sessions.values()].map(session => session.host)
  }

  // Sums are kept until a report changes them: the plan of batch work asks for each server.
  function sums (): LoadSums {
    if (summed !== undefined) return summed
    const live = new Map<string, number>()
    const suspects = new Set<string>()
    for (const session of sessions.values()) {
      for (const [id, count] of Object.entries(session.live)) live.set(id, (live.get(id) ?? 0) + count)
      for (const id of session.suspects) suspects.add(id)
    }
    summed = { live, suspects }
    return summed
  }

  function loadOf (id: string): ServerLoad {
    return { live: sums().live.get(id) ?? 0, batch: batch.get(id) ?? 0 }
  }

  function listLoads (): Record<string, ServerLoad> {
    const loads: Record<string, ServerLoad> = {}
    for (const id of [...sums().live.keys(), ...batch.keys()]) loads[id] = loadOf(id)
    return loads
  }

  // The word of a leaving server must outlive this leader, and no host may send it anything later.
  async function confirmLeaving (id: string): Promise<Result<boolean, Failure>> {
    const revision = registry.find(id)?.revision ?? 0
    const startedIn = leadership()
    const deadline = clock.now() + confirmLimitMs
    while (isLeading() && leadership() === startedIn) {
      const unaware = [...sessions.values()].find(session => session.confirmedRevision < revision && session.host.role !== FleetRole.Executor)
      if (unaware === undefined) return ok(true)
      if (clock.now() >= deadline) return err(createFailure(FailureReason.Timeout, { step: Step.Hear, peer: unaware.host.name }, `host ${unaware.host.name} has not confirmed revision ${revision}`))
      await confirmed.wait(deadline - clock.now(), lifecycle.signal)
    }
    return err(notLeading(Step.Hear))
  }

  function logServer (id: string, phaseBefore: ServerPhase | undefined): void {
    const record = registry.find(id)
    if (record === undefined || record.phase === phaseBefore) return
    const event = record.phase === ServerPhase.Ready ? LogEvents.backendServerAnnounced : LogEvents.backendServerLeaving
    logger.write(event, { peer: record.address, detail: id, value: record.revision })
    news.notify()
    changed.notify()
  }

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await clock.sleep(sweepMs, signal)
      if (!isLeading()) continue
      const now = clock.now()
      for (const [holder, session] of sessions) {
        if (now - session.heardAt <= sessionMs) continue
        sessions.delete(holder)
        summed = undefined
        confirmed.notify()
        hostsRevision++
        logger.write(LogEvents.hostLost, { peer: session.host.name, value: Math.round(now - session.heardAt) })
        news.notify()
      }
      for (const record of registry.expire(now)) {
        logger.write(LogEvents.backendServerExpired, { peer: record.address, detail: record.id })
        news.notify()
        changed.notify()
      }
    }
  })

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await replica.state.changed.wait(sessionMs, signal)
      news.notify()
      changed.notify()
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
      const deadline = clock.now() + fleetHoldMs
      const startedIn = leadership()
      if (!hasNews(request)) {
        await news.wait(deadline - clock.now(), lifecycle.signal)
        while (!hasNews(request) && clock.now() < deadline && isLeading() && !lifecycle.signal.aborted) {
          await news.wait(deadline - clock.now(), lifecycle.signal)
        }
        if (hasNews(request)) await clock.sleep(gatherMs, lifecycle.signal)
      }
      if (!isLeading() || leadership() !== startedIn) return err(notLeading(Step.Watch))
      const session = sessions.get(request.host.holder)
      if (session !== undefined) session.heardAt = clock.now()
      return ok(createNews(request))
    },
    report (report) {
      if (!isLeading()) return err(notLeading(Step.Report))
      const session = sessions.get(report.holder)
      if (session !== undefined) {
        session.live = report.live
        session.suspects = report.suspects
        summed = undefined
        changed.notify()
      }
      const intervalMs = Math.max(reportIntervalMs, sessions.size * millisecondsPerSecond / reportsPerSecond)
      return ok({ loads: listLoads(), suspects: [...sums().suspects], intervalMs })
    },
    async hear (heartbeat) {
      if (!isLeading()) return err(notLeading(Step.Hear))
      const before = registry.find(heartbeat.id)?.phase
      const isNews = registry.hear(heartbeat, clock.now())
      if (isNews) logServer(heartbeat.id, before)
      return heartbeat.leaving ? await confirmLeaving(heartbeat.id) : ok(isNews)
    },
    async withdraw (id) {
      if (!isLeading()) return err(notLeading(Step.Hear))
      const before = registry.find(id)?.phase
      registry.withdraw(id, clock.now())
      logServer(id, before)
      return await confirmLeaving(id)
    },
    readyServers: () => registry.since(0).filter(record => record.phase === ServerPhase.Ready),
    findServer: id => registry.find(id),
    loadOf,
    isSuspect: id => sums().suspects.has(id)
  }
}
