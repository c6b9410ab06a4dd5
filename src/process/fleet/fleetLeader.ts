/**
 * Coordinates the fleet on the leading control host: responds to long polls of the hosts, maintains the registry of backend
 * servers, and aggregates the load of each server. All state is in memory; a new leader rebuilds it within seconds.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { QuotaBounds } from '../../request/placement/accountLimit.ts'
import { defaultQuotaBounds } from '../accounts/accountQuotas.ts'
import type { AllotmentRequest, AllotmentResponse } from '../accounts/accountUse.ts'
import type { AccountTotals } from '../accounts/accountUseSums.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { ControlState } from '../state/controlState.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { runContained } from '../program/unexpectedErrors.ts'
import type { ProcessServices } from '../program/processServices.ts'
import { type Replica, ReplicaRole } from '../log/replica.ts'
import { millisecondsPerSecond } from '../program/units.ts'
import { createBackendServerRegistry, type BackendServerRecord, type Heartbeat, ServerPhase } from './backendServerRegistry.ts'
import {
  fleetLongPollMs, leaveConfirmationTimeoutMs, type FleetUpdate, type FleetWatchRequest, type LimitReport, type LoadReport, type LoadTotals, type PermitRequest, type PermitResponse,
  type ServerCrashReport, type ServerCrashVerdict, type ServerLoad, type TrialRequest, type Withdrawal
} from './fleetMessages.ts'
import { createFleetUpdates } from './fleetUpdates.ts'
import { decodePaceSample } from './paceSamples.ts'
import { createServerPaces } from '../../request/placement/serverPace.ts'
import type { ServerStart } from './leavingServers.ts'
import { createHostConfirmations } from './hostConfirmations.ts'
import { createHostSessions, sessionTimeoutMs } from './hostSessions.ts'
import { listServerLoads } from './serverLoads.ts'
import { applyLeavingReport, applyWithdrawal } from './serverWithdrawal.ts'
import { createTablesConfirmations } from './tablesConfirmation.ts'
import { createRequestPermits, type RequestPermits } from './requestPermits.ts'
import { createTraitQuarantine, type TraitQuarantine } from './traitQuarantine.ts'

/** Interval between checks for expired sessions and backend servers, in milliseconds. */
const sweepIntervalMs = 250

/** Minimum interval between two load reports of one host, in milliseconds. */
const minReportIntervalMs = 40

/** Load reports per second that the leader accepts from all hosts together; with more hosts, each reports less often. */
const maxReportsPerSecond = 400

/** Delay before a pending poll is answered, in milliseconds, so that changes close together are sent in one update. */
const updateDelayMs = 10

/** Dependencies and settings of the fleet leader. */
export interface FleetLeaderInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'lifecycle' | 'metrics'> {
  readonly replica: Replica
  readonly state: ControlState
  /** Time without a heartbeat after which a backend server is removed, in milliseconds. */
  readonly heartbeatTimeoutMs: number
  /** Backend servers in this host's own view of the fleet; a new leader seeds its registry with them. */
  readonly knownServers: () => readonly BackendServerRecord[]
  /** Returns the region of an availability zone; undefined when the settings do not name it. */
  readonly getRegion: (availabilityZone: string) => string | undefined
  /** Time after an election within which every backend server and host contacts the new leader, in milliseconds. */
  readonly settleMs: number
  /** Tolerances of the quotas of client accounts; undefined for the usual ones. */
  readonly quotaBounds?: QuotaBounds | undefined
}

/** The fleet's coordinator on the leading control host. */
export interface FleetLeader {
  /** Notified when backend servers, loads or the leadership change. */
  readonly changed: Condition
  /** Requests that crash backend servers. */
  readonly quarantine: TraitQuarantine
  /** Permits for requests to backend servers that name a limit. */
  readonly permits: RequestPermits
  /** Batch items in flight by backend server; maintained by the batch runner. */
  readonly batch: Map<string, number>
  /** Checks whether this host leads. The first call in a new term discards the state of the previous one. */
  isLeading (): boolean
  /** Returns the identification of the current leadership: leader and term. */
  getLeadership (): string
  /** Wakes pending polls after new tables have become active. */
  publish (): void
  /**
   * Serves a long poll: responds as soon as there is an update, or when the long-poll time is over.
   * @param request - the poll
   * @returns the update, or a `NotLeader` failure
   */
  watch (request: FleetWatchRequest): Promise<Result<FleetUpdate, Failure>>
  /**
   * Records the load of one host.
   * @param report - the load report
   * @returns the load of all hosts, or a `NotLeader` failure
   */
  report (report: LoadReport): Result<LoadTotals, Failure>
  /**
   * Records a crash of a backend server under a request without output.
   * @param report - the server and the traits of the request
   * @returns whether the request may be sent again, or a `NotLeader` failure
   */
  reportCrash (report: ServerCrashReport): Promise<Result<ServerCrashVerdict, Failure>>
  /**
   * Records limits that a host has read, and marks the servers that say in their responses that they leave as leaving.
   * @param report - the limits and the servers
   * @returns nothing, or a `NotLeader` failure
   */
  reportLimits (report: LimitReport): Result<void, Failure>
  /**
   * Decides on a live request to a backend server with a limit.
   * @param request - the server, with the limit that the host knows
   * @returns whether it may be sent, or a `NotLeader` failure
   */
  acquirePermit (request: PermitRequest): Result<PermitResponse, Failure>
  /**
   * Names the allotment of a client account for which a host asks.
   * @param request - the host, the account and what the host has admitted
   * @returns the allotment, or a failure when this host is not the leader
   */
  acquireAllotment (request: AllotmentRequest): Result<AllotmentResponse, Failure>
  /**
   * Asks whether a request with traits on trial may be sent.
   * @param request - the traits of the request
   * @returns whether it may, or a `NotLeader` failure
   */
  acquireTrial (request: TrialRequest): Result<boolean, Failure>
  /**
   * Waits until every gateway serves by a version of the tables or a later one.
   * @param version - a version that is in force
   * @param waitMs - how long to wait, in milliseconds
   * @returns nothing once every gateway with a session does, or refuses requests since it does not; or a `NotLeader` or `Unconfirmed` failure
   */
  confirmTables (version: number, waitMs: number): Promise<Result<void, Failure>>
  /**
   * Processes a heartbeat. For a leaving server it resolves only once every host that may send it requests has confirmed.
   * @param heartbeat - the heartbeat
   * @returns whether the heartbeat was newer than the registered one (always true once a leave is confirmed), or a
   *   `NotLeader` or `Unconfirmed` failure
   */
  receiveHeartbeat (heartbeat: Heartbeat): Promise<Result<boolean, Failure>>
  /**
   * Marks a backend server as leaving. Resolves only once every host that may send it requests has confirmed.
   * @param withdrawal - the backend server, with its start as far as the calling host knows it
   * @returns true, or a `NotLeader` or `Unconfirmed` failure; the latter also when the start is not certain
   */
  withdraw (withdrawal: Withdrawal): Promise<Result<boolean, Failure>>
  /** Interval between two load reports of a host, in milliseconds; it grows with the number of hosts. */
  readonly reportIntervalMs: number
  /** Lists the backend servers that accept new requests. */
  listReadyServers (): BackendServerRecord[]
  /**
   * Finds a backend server, whatever its phase.
   * @param id - id of the backend server
   * @returns its record, or undefined when there is none
   */
  findServer (id: string): BackendServerRecord | undefined
  /**
   * Returns the load of a backend server.
   * @param id - id of the backend server
   * @returns its live requests as last reported by all hosts, and its batch items
   */
  getLoad (id: string): ServerLoad
  /**
   * Returns the pace of a backend server.
   * @param id - id of the backend server
   * @returns the duration of work as a multiple of the mean of its service; 1 as long as no difference is certain
   */
  getPace (id: string): number
  /**
   * Checks whether any host reports a recent failed connection to a backend server.
   * @param id - id of the backend server
   * @returns whether the latest report of any host lists it as suspect
   */
  isSuspect (id: string): boolean
}

/**
 * Creates the fleet leader; its calls fail with `NotLeader` while the replica of this host does not lead.
 * @param inputs - dependencies and settings of the fleet leader
 * @returns the fleet leader
 */
export function createFleetLeader (inputs: FleetLeaderInputs): FleetLeader {
  const { replica, state, clock, logger, lifecycle } = inputs
  const sessions = createHostSessions()
  const registry = createBackendServerRegistry(() => inputs.heartbeatTimeoutMs)
  const changed = createCondition(clock)
  const updateAvailable = createCondition(clock)
  const batch = new Map<string, number>()
  const quarantine = createTraitQuarantine({ replica, state, clock, logger, lifecycle, changed: () => updateAvailable.notify() })
  const permits = createRequestPermits(clock)
  const paces = createServerPaces()
  let term = -1
  // Monotonic time at which the current leadership began, in milliseconds.
  let leaderSince = 0
  const confirmations = createHostConfirmations({
    clock, lifecycle, findLeadership: () => isLeading() ? getLeadership() : undefined, getLeaderSince: () => leaderSince, createNotLeaderFailure
  })

  function isLeading (): boolean {
    if (replica.state.role !== ReplicaRole.Leader) return false
    if (term !== replica.state.term) beginTerm()
    return true
  }

  function beginTerm (): void {
    term = replica.state.term
    leaderSince = clock.now()
    sessions.clear()
    batch.clear()
    paces.retain(() => false)
    registry.clear()
    for (const record of inputs.knownServers()) registry.seed(record, leaderSince)
    quarantine.beginTerm()
    permits.clear()
  }

  function createNotLeaderFailure (step: Step): Failure {
    const { address, leaderAddress } = replica.state
    return createFailure(FailureReason.NotLeader, { step, peer: address, alternative: leaderAddress }, 'this control host is not the leader')
  }

  function getLeadership (): string {
    return `${replica.state.identity}/${term}`
  }

  // Whether every backend server and host has had time to contact this leader.
  function isComplete (): boolean {
    return clock.now() - leaderSince > inputs.settleMs
  }

  function notifyFleetChanged (): void {
    updateAvailable.notify()
    changed.notify()
  }

  function renewSession (request: FleetWatchRequest): void {
    const { host } = request
    const { revision } = sessions
    const confirmedRevision = request.leadership === getLeadership() ? request.serversRevision : -1
    const isNew = sessions.renew(request, confirmedRevision, clock.now())
    if (isNew) logger.write(LogEvents.hostJoined, { peer: host.name, detail: host.role })
    if (sessions.revision !== revision) notifyFleetChanged()
    confirmations.notify()
  }

  const tablesConfirmations = createTablesConfirmations({ clock, replica, state, isLeading, getLeadership })
  const { getConfirmedVersion, hasUpdate, createUpdate } = createFleetUpdates({
    ...inputs, sessions, registry, quarantine, permits, getLeadership, isComplete, getTablesAgeMs: tablesConfirmations.getAgeMs
  })

  async function waitForUpdate (request: FleetWatchRequest): Promise<void> {
    if (hasUpdate(request)) return
    const deadline = clock.now() + fleetLongPollMs
    do await updateAvailable.wait(deadline - clock.now(), lifecycle.signal)
    while (!hasUpdate(request) && clock.now() < deadline && isLeading() && !lifecycle.signal.aborted)
    if (hasUpdate(request)) await clock.sleep(updateDelayMs, lifecycle.signal)
  }

  function getLoad (id: string): ServerLoad {
    return { live: sessions.getLoadSums().live.get(id) ?? 0, batch: batch.get(id) ?? 0 }
  }

  function getReportIntervalMs (): number {
    return Math.max(minReportIntervalMs, sessions.size * millisecondsPerSecond / maxReportsPerSecond)
  }

  function describeAccountUse ({ holder, earlierUse }: LoadReport): AccountTotals {
    const bounds = inputs.quotaBounds ?? defaultQuotaBounds
    if (earlierUse !== undefined && earlierUse.leadership !== getLeadership()) sessions.accountUse.recordEarlier(holder, earlierUse, bounds.windowMs, clock.now())
    const accounts = state.publication?.tables.accounts
    const totals = sessions.accountUse.describe(accounts, bounds, clock.now())
    if (accounts === undefined) return {}
    const allotments = sessions.accountUse.allot(holder, accounts, bounds, clock.now())
    if (allotments === undefined) return {}
    return { ...totals, allotments, leadership: getLeadership() }
  }

  function recordPaces ({ paces: samples }: LoadReport): void {
    for (const [id, sample] of Object.entries(samples ?? {})) {
      const service = registry.find(id)?.service
      if (service !== undefined) paces.record(id, service, decodePaceSample(sample), clock.now())
    }
  }

  // Every host must know that the server leaves: the information has to survive the loss of this leader, and no host may
  // send the server a request after its call has succeeded.
  async function waitForLeaveConfirmation (id: string): Promise<Result<boolean, Failure>> {
    const revision = registry.find(id)?.revision ?? 0
    const confirmed = await confirmations.wait({
      step: Step.Heartbeat,
      text: `registry revision ${revision}`,
      timeoutMs: leaveConfirmationTimeoutMs,
      isKnown: () => true,
      findUnconfirmed: () => sessions.findUnconfirmed(revision)
    })
    return confirmed.map(() => true)
  }

  // A restart under the same id changes the record without changing its phase, and hosts must learn of it as early as of a new server.
  function handleChange (id: string, previous: BackendServerRecord | undefined): void {
    const record = registry.find(id)
    if (record === undefined || record.revision === previous?.revision) return
    if (record.phase !== previous?.phase || record.startedAt !== previous.startedAt) {
      const event = record.phase === ServerPhase.Ready ? LogEvents.backendServerAnnounced : LogEvents.backendServerLeaving
      logger.write(event, { peer: record.address, detail: id, value: record.revision })
    }
    notifyFleetChanged()
  }

  // A server may say so in its responses before it reports it in a heartbeat, or without ever doing so.
  function withdrawLeaving (leaving: readonly ServerStart[]): void {
    for (const start of leaving) {
      const record = registry.find(start.id)
      if (applyLeavingReport(registry, start, clock.now())) handleChange(start.id, record)
    }
  }

  function removeExpired (now: number): void {
    for (const { host, silentMs } of sessions.expire(now)) {
      logger.write(LogEvents.hostLost, { peer: host.name, value: Math.round(silentMs) })
      confirmations.notify()
      updateAvailable.notify()
    }
    for (const record of registry.expire(now)) {
      logger.write(LogEvents.backendServerExpired, { peer: record.address, detail: record.id })
      notifyFleetChanged()
    }
  }

  runContained(inputs, async signal => {
    while (!signal.aborted) {
      // When this process was suspended, the polls and heartbeats that arrived meanwhile are read after the timers.
      const dueAt = clock.now() + sweepIntervalMs
      await clock.sleep(sweepIntervalMs, signal)
      if (!isLeading()) continue
      removeExpired(dueAt)
      quarantine.sweep()
      const isPresent = (id: string): boolean => registry.find(id)?.phase !== ServerPhase.Gone && registry.find(id) !== undefined
      permits.retain(isPresent)
      paces.retain(isPresent)
    }
  })
  runContained(inputs, signal => tablesConfirmations.run(signal))
  runContained(inputs, async signal => {
    while (!signal.aborted) {
      await replica.state.changed.wait(sessionTimeoutMs, signal)
      notifyFleetChanged()
    }
  })

  return {
    changed,
    quarantine,
    permits,
    batch,
    isLeading,
    getLeadership,
    get reportIntervalMs () { return getReportIntervalMs() },
    publish: () => updateAvailable.notify(),
    async watch (request) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Watch))
      renewSession(request)
      const initialLeadership = getLeadership()
      await waitForUpdate(request)
      if (!isLeading() || getLeadership() !== initialLeadership) return err(createNotLeaderFailure(Step.Watch))
      sessions.touch(request.host.holder, clock.now())
      return ok(createUpdate(request))
    },
    report (report) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Report))
      const hasSession = sessions.report(report)
      if (hasSession) changed.notify()
      recordPaces(report)
      confirmations.notify()
      quarantine.recordOutputs(report.outputs ?? [])
      // A host subtracts its own use from the sums, so they must contain it.
      const accountTotals = report.accountUse === undefined || !hasSession ? {} : describeAccountUse(report)
      const sums = sessions.getLoadSums()
      return ok({ loads: listServerLoads(sums, batch, paces.list(clock.now())), suspects: [...sums.suspects.keys()], intervalMs: getReportIntervalMs(), ...accountTotals })
    },
    async reportCrash (report) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Report))
      return (await quarantine.reportCrash(report)).map(isBlocked => ({ isBlocked }))
    },
    reportLimits ({ limits, leaving }) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Report))
      for (const named of limits) permits.record(named)
      withdrawLeaving(leaving ?? [])
      notifyFleetChanged()
      return ok(undefined)
    },
    acquirePermit (request) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Report))
      const { revision } = permits
      const response = permits.acquire(request)
      if (permits.revision !== revision) updateAvailable.notify()
      return ok(response)
    },
    acquireAllotment (request) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Report))
      const account = state.publication?.tables.accounts?.find(({ name }) => name === request.account)
      const hasLimit = account !== undefined && account.ratePerSecond > 0
      return ok({ allotment: hasLimit ? sessions.accountUse.allotRequested(request, account, inputs.quotaBounds ?? defaultQuotaBounds, clock.now()) : undefined })
    },
    acquireTrial ({ traits }) {
      return isLeading() ? ok(quarantine.acquireTrial(traits)) : err(createNotLeaderFailure(Step.Report))
    },
    confirmTables: (version, waitMs) => confirmations.wait({
      step: Step.Publish,
      text: `version ${version}`,
      timeoutMs: waitMs,
      isKnown: () => getConfirmedVersion() >= version,
      findUnconfirmed: () => sessions.findServingOlderTables(version, clock.now())
    }),
    async receiveHeartbeat (heartbeat) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Heartbeat))
      const previous = registry.find(heartbeat.id)
      const isNewer = registry.receive(heartbeat, clock.now())
      if (isNewer) handleChange(heartbeat.id, previous)
      return heartbeat.leaving ? await waitForLeaveConfirmation(heartbeat.id) : ok(isNewer)
    },
    async withdraw (withdrawal) {
      if (!isLeading()) return err(createNotLeaderFailure(Step.Heartbeat))
      const { id, server } = withdrawal
      const previous = registry.find(id)
      if (!applyWithdrawal(registry, withdrawal, { monotonic: clock.now(), wall: clock.wallTime() })) {
        logger.write(LogEvents.withdrawalIgnored, { detail: id, inputs: { registered: previous?.startedAt ?? 0, named: server?.startedAt ?? 0 } })
        return err(createFailure(FailureReason.Unconfirmed, { step: Step.Heartbeat }, 'the withdrawal does not name the registered start of the server'))
      }
      handleChange(id, previous)
      return await waitForLeaveConfirmation(id)
    },
    listReadyServers: () => registry.listChangesSince(0).filter(record => record.phase === ServerPhase.Ready),
    findServer: id => registry.find(id),
    getLoad,
    getPace: id => paces.get(id, clock.now()),
    isSuspect: id => sessions.getLoadSums().suspects.has(id)
  }
}
