/**
 * A control host of the fleet: a replica of the log, the calls of operators and backend servers, and the directory.
 * @module
 */
import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import { serveInternalCalls } from '../../connection/callServer.ts'
import { createInternalRouter, type InternalServices } from '../../connection/internalRouter.ts'
import { createTrpcTransport } from '../../connection/replicaTransport.ts'
import { createBackendServerHttp } from '../../../platform/backendServerHttp.ts'
import { createControlApi, createDirectoryApi } from '../../../platform/controlHttp.ts'
import { addressKeepMs, chooseGateways } from '../../request/addressAnswer.ts'
import { CommandKind, OutcomeKind } from '../state/commands.ts'
import { type ControlHost, createControlHost } from '../state/controlHost.ts'
import { type Failure, FailureReason } from '../program/failure.ts'
import { createFileStorage } from '../log/fileStorage.ts'
import { LogEvents } from '../program/logEvents.ts'
import { QueryKind } from '../state/queries.ts'
import { serveApi } from '../program/servers.ts'
import { setAside } from '../log/setAside.ts'
import { createBatchRunner, type BatchRunner } from './batchRunner.ts'
import { type ControlService, PublicationResult, RetirementResult } from './controlService.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, type FleetHostBase, serveMetrics } from './fleetDaemon.ts'
import { createFleetLeader, type FleetLeader } from './fleetLeader.ts'
import { FleetRole } from './fleetMessages.ts'
import { listControlHosts, type FleetSettings } from './fleetSettings.ts'
import { millisecondsPerSecond } from '../program/units.ts'

/** Heartbeats that a backend server may miss before it counts as gone; gateways notice a crash by themselves. */
const maxMissedHeartbeats = 6

/** Time for the calls of operators, in milliseconds: they move on to another host after one second. */
const publishTimeoutMs = 900

/** Time for passing a heartbeat on, in milliseconds: the server calls another host after one second. */
const heartbeatForwardTimeoutMs = 800

/** Heartbeats after which a new leader has heard from every backend server. */
const settleHeartbeats = 2.5

/** Time for which a stopping control host answers calls under way, in milliseconds. */
const drainPeriodMs = 500

/** How many times the promised time a job is kept, so that no read near its end misses it. */
const jobRetentionFactor = 1.5

/** Executors that stay when one is to be emptied. */
const minExecutors = 1

/**
 * Starts a control host.
 * @param settings - its settings
 * @returns the control host, or the failure that kept it from starting
 */
export async function startControl (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const { lifecycle, clock } = base
  const address = `${settings.address}:${settings.controlPort}`
  const components: LeaderComponents = {}
  const opened = await openReplica(base, address, components)
  if (opened.isErr()) return err(opened.error)
  const controlHost = opened.value
  const fleetLeader = createLeaderComponents(base, controlHost, components)
  const services: InternalServices = { controlHost, shareReceiver: undefined, dispatchReceiver: undefined, fleetLeader }
  const listening = await serveInternalCalls(address, createInternalRouter(services), lifecycle)
  if (listening.isErr()) return err(listening.error)
  const served = await serveExternalApis(base)
  if (served.isErr()) return err(served.error)
  await serveMetrics(base)
  return ok(createFleetDaemon(base, async () => {
    await controlHost.replica.resign()
    await clock.sleep(drainPeriodMs)
  }))
}

/** What works only while this host leads; created after the replica, which notifies it. */
interface LeaderComponents {
  fleetLeader?: FleetLeader
  runner?: BatchRunner
}

// A damaged log counts as a lost disk: the host joins again under a new identity.
async function openReplica (base: FleetHostBase, address: string, components: LeaderComponents): Promise<Result<ControlHost, Failure>> {
  const { settings, logger } = base
  const opened = await createReplicaHost(base, address, components)
  if (opened.isOk() || opened.error.reason !== FailureReason.Damaged) return opened
  await setAside(settings.dataFolder ?? '', logger)
  return await createReplicaHost(base, address, components)
}

function createReplicaHost (base: FleetHostBase, address: string, components: LeaderComponents): ResultAsync<ControlHost, Failure> {
  const { settings, logger, metrics, clients } = base
  return createControlHost({
    ...base,
    address,
    availabilityZone: settings.availabilityZone,
    controlHosts: listControlHosts(settings),
    mayForm: settings.form,
    voters: 2 * settings.toleratedLosses + 1,
    storage: createFileStorage({ folder: settings.dataFolder ?? '', host: settings.host, logger, metrics }),
    transport: createTrpcTransport(clients),
    applied (command) {
      if (command.kind === CommandKind.Publish) components.fleetLeader?.publish()
      components.runner?.applied.notify()
    }
  })
}

function createLeaderComponents (base: FleetHostBase, { replica, state }: ControlHost, components: LeaderComponents): FleetLeader {
  const { settings, view } = base
  const fleetLeader = createFleetLeader({
    ...base,
    replica,
    state,
    knownServers: () => view.listServers(),
    // Read at each use, since the settings may change.
    get heartbeatTimeoutMs () { return settings.heartbeatMs * maxMissedHeartbeats },
    get settleMs () { return settings.heartbeatMs * settleHeartbeats }
  })
  components.fleetLeader = fleetLeader
  components.runner = createBatchRunner({
    ...base,
    fleet: fleetLeader,
    replica,
    state,
    client: createBackendServerHttp(),
    get keepMs () { return settings.statusKeepSeconds * jobRetentionFactor * millisecondsPerSecond }
  })
  return fleetLeader
}

async function serveExternalApis (base: FleetHostBase): Promise<Result<unknown, Failure>> {
  const { settings, lifecycle } = base
  const service = createControlService(base)
  const served = await serveApi(settings.controlAddress ?? '', createControlApi(service), lifecycle)
  if (served.isErr() || settings.directoryAddress === undefined) return served
  return await serveApi(settings.directoryAddress, createDirectoryApi(service), lifecycle)
}

function createControlService ({ control, view, logger }: FleetHostBase): ControlService {
  return {
    addressKeepMs,
    async publish (publication) {
      const { version } = publication.tables
      const outcome = await control.execute({ kind: CommandKind.Publish, publication }, publishTimeoutMs)
      if (outcome.isErr()) {
        logger.write(LogEvents.publicationRefused, { value: version, failure: outcome.error })
        return PublicationResult.Unknown
      }
      if (outcome.value.kind === OutcomeKind.Conflict) {
        logger.write(LogEvents.publicationRefused, { value: version, reason: outcome.value.text })
        return PublicationResult.Conflict
      }
      logger.write(LogEvents.publicationAccepted, { value: version })
      return PublicationResult.Accepted
    },
    refusePublication (problems) {
      logger.write(LogEvents.publicationRefused, { reason: problems.map(problem => `${problem.place}: ${problem.text}`).slice(0, 3).join('; ') })
    },
    async publication () {
      const response = await control.read({ kind: QueryKind.Publication }, publishTimeoutMs)
      return response.map(value => value.kind === QueryKind.Publication ? value.document : undefined)
    },
    receiveHeartbeat: heartbeat => control.forwardHeartbeat(heartbeat, heartbeatForwardTimeoutMs),
    ignoreHeartbeat (id) {
      logger.write(LogEvents.heartbeatIgnored, { peer: id })
    },
    withdraw: id => control.withdraw(id, heartbeatForwardTimeoutMs),
    listGateways: (availabilityZone, region) => chooseGateways(view.hosts, availabilityZone, region),
    // An executor keeps no data, so there is nothing to move.
    retire (host) {
      if (view.hosts.length === 0) return RetirementResult.NotReady
      const executors = view.hosts.filter(known => known.role === FleetRole.Executor)
      if (!executors.some(known => known.name === host)) return RetirementResult.UnknownHost
      return executors.length > minExecutors ? RetirementResult.Accepted : RetirementResult.TooFew
    },
    isRetired: host => view.hosts.some(known => known.name === host && known.role === FleetRole.Executor) ? true : undefined
  }
}
