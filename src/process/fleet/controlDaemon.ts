/**
 * A control host of the fleet: a replica of the log, the API for operators and backend servers, and the gateway directory.
 * @module
 */
import { setImmediate } from 'node:timers/promises'
import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import { serveInternalCalls } from '../../connection/callServer.ts'
import { createInternalRouter, type InternalServices } from '../../connection/internalRouter.ts'
import { createTrpcTransport } from '../../connection/replicaTransport.ts'
import { createControlApi, createDirectoryApi } from '../../../platform/controlHttp.ts'
import { readSharedPromptParts } from '../../../platform/promptParts.ts'
import { addressKeepMs, chooseGateways } from '../../request/gatewayChoice.ts'
import { CommandKind, OutcomeKind } from '../state/commands.ts'
import { type ControlHost, createControlHost } from '../state/controlHost.ts'
import type { ControlState } from '../state/controlState.ts'
import { type Failure, FailureReason } from '../program/failure.ts'
import { createFileStorage } from '../log/fileStorage.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import { QueryKind } from '../state/queries.ts'
import { divideConnections } from '../program/clientResources.ts'
import { serveApi } from '../program/servers.ts'
import { shareRead } from '../program/sharedRead.ts'
import { moveAside } from '../log/moveAside.ts'
import { createBatchRunner, type BatchRunner } from './batchRunner.ts'
import { type ControlService, PublicationResult, RetirementResult } from './controlService.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, type FleetHostBase, serveMetrics } from './fleetDaemon.ts'
import { runItemExecutor } from './executorDaemon.ts'
import { createFleetLeader, type FleetLeader } from './fleetLeader.ts'
import { type FleetHost, FleetRole } from './fleetMessages.ts'
import type { FleetView } from './fleetView.ts'
import { createStreamRecordStore } from './streamRecords.ts'
import { createTablesSource, type TablesSource } from './tablesSource.ts'
import { findHeartbeatProblem } from './heartbeatValidation.ts'
import { listControlHosts, readQuotaBounds, type FleetSettings } from './fleetSettings.ts'
import { millisecondsPerSecond } from '../program/units.ts'

/** Consecutive heartbeats that a backend server may miss before it is removed; gateways detect a crash on their own. */
const maxMissedHeartbeats = 6

/** Time limit for requests of operators, in milliseconds; their client switches to another host after one second. */
const publishTimeoutMs = 900

/** Time limit for forwarding a heartbeat, in milliseconds; the backend server tries another host after one second. */
const heartbeatForwardTimeoutMs = 800

/** Time for which a withdrawal waits for the end of its connection, in milliseconds. */
const disconnectReadMs = 10

/** Heartbeat intervals within which every backend server contacts a new leader. */
const settleHeartbeatIntervals = 2.5

/** Time for which a stopping control host completes calls in flight, in milliseconds. */
const drainPeriodMs = 500

/** Multiple of the promised retention time for which a job is retained, so that reads close to its end still find the job. */
const jobRetentionFactor = 1.5

/** Executors that must remain when one is retired. */
const minExecutors = 1

/**
 * Starts a control host.
 * @param settings - settings of the host
 * @returns the running control host, or the failure that prevented its start
 */
export async function startControl (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const { lifecycle, clock } = base
  const address = `${settings.address}:${settings.controlPort}`
  const components: LeaderComponents = {}
  const opened = await openReplica(base, address, components)
  if (opened.isErr()) return err(opened.error)
  const controlHost = opened.value
  const { fleetLeader, batchRunner, tablesSource } = createLeaderComponents(base, controlHost, components)
  const services: InternalServices = { controlHost, shareReceiver: undefined, dispatchReceiver: undefined, fleetLeader, batchRunner, tablesSource, streamRecords: createStreamRecordStore(clock) }
  const listening = await serveInternalCalls(address, createInternalRouter(services), lifecycle, base.metrics)
  if (listening.isErr()) return err(listening.error)
  const served = await serveExternalApis(base, controlHost.state)
  if (served.isErr()) return err(served.error)
  await serveMetrics(base)
  // A fleet without executors, or one that has lost all of them, still runs items.
  runItemExecutor(base, { isDraining: false }, true)
  return ok(createFleetDaemon(base, async () => {
    await controlHost.replica.resign()
    await clock.sleep(drainPeriodMs)
  }))
}

/** Components that are created after the replica, which notifies them. */
interface LeaderComponents {
  fleetLeader?: FleetLeader
  batchRunner?: BatchRunner
  tablesSource?: TablesSource
}

// A damaged log is treated as a lost disk: the host joins again under a new identity.
async function openReplica (base: FleetHostBase, address: string, components: LeaderComponents): Promise<Result<ControlHost, Failure>> {
  const { settings, logger } = base
  const opened = await createReplicaHost(base, address, components)
  if (opened.isOk() || opened.error.reason !== FailureReason.Damaged) return opened
  await moveAside(settings.dataFolder ?? '', logger)
  return await createReplicaHost(base, address, components)
}

function createReplicaHost (base: FleetHostBase, address: string, components: LeaderComponents): ResultAsync<ControlHost, Failure> {
  const { settings, logger, metrics, clock, clients } = base
  return createControlHost({
    ...base,
    address,
    availabilityZone: settings.availabilityZone,
    controlHosts: listControlHosts(settings),
    canBootstrap: settings.form,
    compressesResults: settings.compressesResults,
    voters: 2 * settings.toleratedLosses + 1,
    storage: createFileStorage({ folder: settings.dataFolder ?? '', host: settings.host, logger, metrics, clock }),
    transport: createTrpcTransport(clients),
    applied (command) {
      if (command.kind === CommandKind.Publish) {
        components.tablesSource?.handleApplied()
        components.fleetLeader?.publish()
      }
      if (command.kind === CommandKind.UpdateQuarantine) components.fleetLeader?.quarantine.handleApplied()
      components.batchRunner?.applied.notify()
    }
  })
}

function createLeaderComponents (base: FleetHostBase, { replica, state }: ControlHost, components: LeaderComponents): Required<LeaderComponents> {
  const { settings, view } = base
  const fleetLeader = createFleetLeader({
    ...base,
    replica,
    state,
    knownServers: () => view.listServers(),
    getRegion: zone => settings.regions[zone],
    // Getters, because the settings may change at run time.
    get heartbeatTimeoutMs () { return settings.heartbeatMs * maxMissedHeartbeats },
    get quotaBounds () { return readQuotaBounds(settings) },
    get settleMs () { return settings.heartbeatMs * settleHeartbeatIntervals }
  })
  components.fleetLeader = fleetLeader
  const tablesSource = createTablesSource({ ...base, state })
  components.tablesSource = tablesSource
  const batchRunner = createBatchRunner({
    ...base,
    fleet: fleetLeader,
    replica,
    state,
    listSharedPromptParts: item => readSharedPromptParts(item.headers),
    knownExecutors: () => listExecutors(view).map(host => host.name),
    getRegion: zone => settings.regions[zone],
    get keepMs () { return settings.statusKeepSeconds * jobRetentionFactor * millisecondsPerSecond }
  })
  components.batchRunner = batchRunner
  return { fleetLeader, batchRunner, tablesSource }
}

async function serveExternalApis (base: FleetHostBase, state: ControlState): Promise<Result<unknown, Failure>> {
  const { settings, lifecycle } = base
  const service = createControlService(base, state)
  const resources = divideConnections(base.clientResources, 2)
  const served = await serveApi(settings.controlAddress ?? '', createControlApi(service), resources, lifecycle)
  if (served.isErr() || settings.directoryAddress === undefined) return served
  return await serveApi(settings.directoryAddress, createDirectoryApi(service), resources, lifecycle)
}

function createControlService ({ control, view, clock, logger, metrics }: FleetHostBase, state: ControlState): ControlService {
  // The tables are in force once committed; the acknowledgement waits until every gateway serves by them.
  async function confirmTables (version: number, timeoutMs: number): Promise<PublicationResult> {
    const confirmed = await control.confirmTables(version, timeoutMs)
    metrics.count(Counter.TablesConfirmations, confirmed.isOk() ? 'confirmed' : confirmed.error.reason)
    if (confirmed.isErr()) {
      logger.write(LogEvents.publicationUnconfirmed, { value: version, failure: confirmed.error })
      return PublicationResult.Unknown
    }
    logger.write(LogEvents.publicationAccepted, { value: version })
    return PublicationResult.Accepted
  }

  async function readPublication (): Promise<Result<Buffer<ArrayBuffer> | undefined, Failure>> {
    const response = await control.read({ kind: QueryKind.Publication }, publishTimeoutMs)
    return response.map(value => value.kind === QueryKind.Publication && value.document !== undefined ? Buffer.from(value.document) : undefined)
  }

  return {
    addressKeepMs,
    async publish (publication) {
      const { version } = publication.tables
      const deadline = clock.now() + publishTimeoutMs
      const outcome = await control.execute({ kind: CommandKind.Publish, publication }, publishTimeoutMs)
      if (outcome.isErr()) {
        logger.write(LogEvents.publicationRefused, { value: version, failure: outcome.error })
        return PublicationResult.Unknown
      }
      if (outcome.value.kind === OutcomeKind.Conflict) {
        logger.write(LogEvents.publicationRefused, { value: version, reason: outcome.value.text })
        return PublicationResult.Conflict
      }
      return await confirmTables(version, deadline - clock.now())
    },
    logRefusedPublication (problems) {
      logger.write(LogEvents.publicationRefused, { reason: problems.map(problem => `${problem.place}: ${problem.text}`).slice(0, 3).join('; ') })
    },
    publication: shareRead(readPublication),
    async receiveHeartbeat (heartbeat) {
      const problem = findHeartbeatProblem(heartbeat, { wallTime: clock.wallTime(), services: state.publication?.tables.services, servers: view.listServers() })
      if (problem === undefined) return await control.forwardHeartbeat(heartbeat, heartbeatForwardTimeoutMs)
      logger.write(LogEvents.heartbeatIgnored, { peer: heartbeat.id, reason: problem })
      return ok(false)
    },
    logIgnoredHeartbeat (id) {
      logger.write(LogEvents.heartbeatIgnored, { peer: id })
    },
    async withdraw (id, disconnected) {
      // A host that was suspended reads the call before it reads that the connection was closed, by a server that may have started again.
      await clock.sleep(disconnectReadMs, disconnected)
      await setImmediate()
      return await control.withdraw(id, () => view.findServer(id), heartbeatForwardTimeoutMs, disconnected)
    },
    listGateways: (availabilityZone, region) => chooseGateways(view.hosts, availabilityZone, region),
    // An executor stores no data, so there is nothing to move before it stops.
    checkRetirement (host) {
      if (view.hosts.length === 0) return RetirementResult.NotReady
      const executors = listExecutors(view)
      if (!executors.some(known => known.name === host)) return RetirementResult.UnknownHost
      return executors.length > minExecutors ? RetirementResult.Accepted : RetirementResult.TooFew
    },
    isRetired: host => listExecutors(view).some(known => known.name === host) ? true : undefined
  }
}

function listExecutors (view: FleetView): FleetHost[] {
  return view.hosts.filter(known => known.role === FleetRole.Executor)
}
