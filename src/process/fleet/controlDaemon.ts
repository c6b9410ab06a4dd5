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
import { addressKeepMs, chooseGateways } from '../../request/gatewayChoice.ts'
import { CommandKind, OutcomeKind } from '../state/commands.ts'
import { type ControlHost, createControlHost } from '../state/controlHost.ts'
import { type Failure, FailureReason } from '../program/failure.ts'
import { createFileStorage } from '../log/fileStorage.ts'
import { LogEvents } from '../program/logEvents.ts'
import { QueryKind } from '../state/queries.ts'
import { serveApi } from '../program/servers.ts'
import { moveAside } from '../log/moveAside.ts'
import { createBatchRunner, type BatchRunner } from './batchRunner.ts'
import { type ControlService, PublicationEnd, RetirementEnd } from './controlService.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, type FleetHostBase, serveMetrics } from './fleetDaemon.ts'
import { createFleetLeader, type FleetLeader } from './fleetLeader.ts'
import { FleetRole } from './fleetMessages.ts'
import { controlHostsOf, type FleetSettings } from './fleetSettings.ts'
import { millisecondsPerSecond } from '../program/units.ts'

/** Heartbeats that a backend server may miss before it counts as gone; gateways notice a crash by themselves. */
const missedHeartbeats = 6

/** Time for the calls of operators, in milliseconds: they move on to another host after one second. */
const publishLimitMs = 900

/** Time for passing a heartbeat on, in milliseconds: the server calls another host after one second. */
const heartbeatLimitMs = 800

/** Heartbeats after which a new leader has heard from every backend server. */
const settleHeartbeats = 2.5

/** Time for which a stopping control host answers calls under way, in milliseconds. */
const drainMs = 500

/** How many times the promised time a job is kept, so that no read near its end misses it. */
const keepFactor = 1.5

/** Executors that stay when one is to be emptied. */
const executorsMin = 1

/**
 * Starts a control host.
 * @param settings - its settings
 * @returns the control host, or the failure that kept it from starting
 */
export async function startControl (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const { lifecycle, clock } = base
  const address = `${settings.address}:${settings.controlPort}`
  const parts: LeaderParts = {}
  const opened = await openReplica(base, address, parts)
  if (opened.isErr()) return err(opened.error)
  const controlHost = opened.value
  const fleetLeader = createLeaderParts(base, controlHost, parts)
  const services: InternalServices = { controlHost, shareReceiver: undefined, dispatchReceiver: undefined, fleetLeader }
  const listening = await serveInternalCalls(address, createInternalRouter(services), lifecycle)
  if (listening.isErr()) return err(listening.error)
  const served = await serveOutside(base)
  if (served.isErr()) return err(served.error)
  await serveMetrics(base)
  return ok(createFleetDaemon(base, async () => {
    await controlHost.replica.resign()
    await clock.sleep(drainMs)
  }))
}

/** What works only while this host leads; created after the replica, which notifies it. */
interface LeaderParts {
  fleetLeader?: FleetLeader
  runner?: BatchRunner
}

// A damaged log counts as a lost disk: the host joins again under a new identity.
async function openReplica (base: FleetHostBase, address: string, parts: LeaderParts): Promise<Result<ControlHost, Failure>> {
  const { settings, logger } = base
  const opened = await createReplicaHost(base, address, parts)
  if (opened.isOk() || opened.error.reason !== FailureReason.Damaged) return opened
  await moveAside(settings.dataFolder ?? '', logger)
  return await createReplicaHost(base, address, parts)
}

function createReplicaHost (base: FleetHostBase, address: string, parts: LeaderParts): ResultAsync<ControlHost, Failure> {
  const { settings, logger, metrics, clients } = base
  return createControlHost({
    ...base,
    address,
    availabilityZone: settings.availabilityZone,
    controlHosts: controlHostsOf(settings),
    canBootstrap: settings.form,
    voters: 2 * settings.toleratedLosses + 1,
    storage: createFileStorage({ folder: settings.dataFolder ?? '', host: settings.host, logger, metrics }),
    transport: createTrpcTransport(clients),
    applied (command) {
      if (command.kind === CommandKind.Publish) parts.fleetLeader?.publish()
      parts.runner?.applied.notify()
    }
  })
}

function createLeaderParts (base: FleetHostBase, { replica, state }: ControlHost, parts: LeaderParts): FleetLeader {
  const { settings, view } = base
  const fleetLeader = createFleetLeader({
    ...base,
    replica,
    state,
    knownServers: () => view.listServers(),
    // Read at each use, since the settings may change.
    get heartbeatTimeoutMs () { return settings.heartbeatMs * missedHeartbeats },
    get settleMs () { return settings.heartbeatMs * settleHeartbeats }
  })
  parts.fleetLeader = fleetLeader
  parts.runner = createBatchRunner({
    ...base,
    fleet: fleetLeader,
    replica,
    state,
    client: createBackendServerHttp(),
    get keepMs () { return settings.statusKeepSeconds * keepFactor * millisecondsPerSecond }
  })
  return fleetLeader
}

async function serveOutside (base: FleetHostBase): Promise<Result<unknown, Failure>> {
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
      const outcome = await control.execute({ kind: CommandKind.Publish, publication }, publishLimitMs)
      if (outcome.isErr()) {
        logger.write(LogEvents.publicationRefused, { value: version, failure: outcome.error })
        return PublicationEnd.Unknown
      }
      if (outcome.value.kind === OutcomeKind.Conflict) {
        logger.write(LogEvents.publicationRefused, { value: version, reason: outcome.value.text })
        return PublicationEnd.Conflict
      }
      logger.write(LogEvents.publicationAccepted, { value: version })
      return PublicationEnd.Accepted
    },
    logRefusedPublication (problems) {
      logger.write(LogEvents.publicationRefused, { reason: problems.map(problem => `${problem.place}: ${problem.text}`).slice(0, 3).join('; ') })
    },
    async publication () {
      const answer = await control.read({ kind: QueryKind.Publication }, publishLimitMs)
      return answer.map(value => value.kind === QueryKind.Publication ? value.document : undefined)
    },
    receiveHeartbeat: heartbeat => control.forwardHeartbeat(heartbeat, heartbeatLimitMs),
    logIgnoredHeartbeat (id) {
      logger.write(LogEvents.heartbeatIgnored, { peer: id })
    },
    withdraw: id => control.withdraw(id, heartbeatLimitMs),
    gateways: (availabilityZone, region) => chooseGateways(view.hosts, availabilityZone, region),
    // An executor keeps no data, so there is nothing to move.
    retire (host) {
      if (view.hosts.length === 0) return RetirementEnd.NotReady
      const executors = view.hosts.filter(known => known.role === FleetRole.Executor)
      if (!executors.some(known => known.name === host)) return RetirementEnd.UnknownHost
      return executors.length > executorsMin ? RetirementEnd.Accepted : RetirementEnd.TooFew
    },
    isRetired: host => view.hosts.some(known => known.name === host && known.role === FleetRole.Executor) ? true : undefined
  }
}
