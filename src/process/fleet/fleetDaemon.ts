/**
 * Services and life cycle that hosts of every role share.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { Hono } from 'hono'
import { createControlClient, type ControlClient, type FleetClient, ReadTarget } from '../../connection/controlClient.ts'
import { type FleetTaskInputs, runCrashReports, runFleetWatch, runLimitReports } from '../../connection/fleetWatch.ts'
import { compressionThresholdBytes } from '../../connection/frames.ts'
import { createInternalClients, type InternalClients } from '../../connection/internalClient.ts'
import type { ClientResources } from '../../connection/clientServer.ts'
import { getKeyLeaseMs } from '../accounts/keyLease.ts'
import { createClientResources, limitToMonitoring } from '../program/clientResources.ts'
import { createSystemClock } from '../program/clock.ts'
import type { RunningDaemon } from '../program/daemonRun.ts'
import { createLifecycle } from '../program/lifecycle.ts'
import { LogEvents } from '../program/logEvents.ts'
import { createLogger } from '../program/logger.ts'
import { createMetrics } from '../program/metrics.ts'
import { runProcessMonitor } from '../program/processMonitor.ts'
import type { ProcessServices } from '../program/processServices.ts'
import { createSystemRandom } from '../program/random.ts'
import { serveApi } from '../program/servers.ts'
import { containUncaughtErrors, runContained } from '../program/unexpectedErrors.ts'
import { type FleetHost, FleetRole } from './fleetMessages.ts'
import { listControlHosts, readQuotaBounds, type FleetSettings } from './fleetSettings.ts'
import { createHostOverload } from '../../request/placement/hostOverload.ts'
import { createFleetView, type FleetView } from './fleetView.ts'

/** Content type of the Prometheus text exposition format. */
const metricsContentType = 'text/plain; version=0.0.4; charset=utf-8'

/** Services of a host of any role. */
export interface FleetHostBase extends ProcessServices {
  readonly settings: FleetSettings
  readonly clients: InternalClients
  /** Memory and connections for clients, at all addresses together. */
  readonly clientResources: ClientResources
  readonly control: ControlClient & FleetClient
  readonly view: FleetView
  /** Whether callers may be directed to this host; set by the role and reported with each poll. */
  readonly readiness: { isReady: boolean }
  /** Describes this host, with its current readiness, to the leader. */
  describe (): FleetHost
}

/** A running host of the fleet. */
export type FleetDaemon = RunningDaemon

/**
 * Creates the daemon of a started host.
 * @param base - services of the host
 * @param drain - completes the work in progress of the host's role
 * @returns the daemon
 */
export function createFleetDaemon ({ lifecycle, logger }: FleetHostBase, drain: () => Promise<void> = async () => {}): FleetDaemon {
  return {
    lifecycle,
    logger,
    async drain () {
      logger.write(LogEvents.processDraining)
      await drain()
      await lifecycle.close()
    }
  }
}

/**
 * Creates the services of a host and starts to poll the leader.
 * @param settings - settings of the host
 * @returns the services
 */
export function createFleetHostBase (settings: FleetSettings): FleetHostBase {
  const lifecycle = createLifecycle()
  const logger = createLogger(settings.host, settings.logLevel)
  const metrics = createMetrics()
  const clock = createSystemClock()
  const random = createSystemRandom()
  const clients = createInternalClients(lifecycle, compressionThresholdBytes, metrics)
  const holder = randomUUID()
  const view = createFleetView(clock, logger, () => listControlHosts(settings), {
    host: settings.host, holder, keyLeaseMs: () => getKeyLeaseMs(settings.revocationMs), quotaBounds: () => readQuotaBounds(settings)
  })
  const control = createControlClient({ controlHosts: () => view.controlHosts, readTarget: ReadTarget.Nearest, clients, clock, random, metrics, signal: lifecycle.signal })
  const readiness = { isReady: false }
  const overload = createHostOverload()
  const describe = (): FleetHost => ({
    name: settings.host,
    holder,
    role: settings.role,
    availabilityZone: settings.availabilityZone,
    region: settings.region,
    callerAddress: settings.callerAddress,
    internalAddress: settings.role === FleetRole.Gateway ? undefined : `${settings.address}:${settings.controlPort}`,
    ready: readiness.isReady,
    isOverloaded: settings.role === FleetRole.Gateway && overload.isOverloaded ? true : undefined
  })
  function recordBusy (busyShare: number, durationMs: number): void {
    const wasOverloaded = overload.isOverloaded
    overload.record(busyShare, durationMs)
    if (settings.role !== FleetRole.Gateway || overload.isOverloaded === wasOverloaded) return
    logger.write(overload.isOverloaded ? LogEvents.gatewayOverloaded : LogEvents.gatewayRelieved)
  }

  const taskInputs: FleetTaskInputs = { view, client: control, describe, clock, random, logger, metrics }
  const services = { lifecycle, clock, logger, metrics }
  const clientResources = createClientResources(settings, services)
  containUncaughtErrors(process, services)
  runContained(services, signal => runFleetWatch(taskInputs, signal))
  runContained(services, signal => runLimitReports(taskInputs, signal))
  runContained(services, signal => runCrashReports(taskInputs, signal))
  lifecycle.run(signal => runProcessMonitor({ clock, logger, metrics }, signal, recordBusy))
  logger.write(LogEvents.processStarted, { detail: settings.role, inputs: { holder, seeds: settings.seeds.join(' '), form: settings.form } })
  return { settings, lifecycle, logger, metrics, clock, random, clients, clientResources, control, view, readiness, describe }
}

/**
 * Serves the metrics, and what else operators read at that address, if the settings name an address for them.
 * @param base - services of the host
 * @param api - further routes
 * @returns a promise that resolves when the server listens or has failed to
 */
export async function serveMetrics ({ settings, metrics, lifecycle, logger, clientResources }: FleetHostBase, api: Hono = new Hono()): Promise<void> {
  if (settings.metricsAddress === undefined) return
  api.get('/metrics', context => context.text(metrics.format(), 200, { 'content-type': metricsContentType }))
  const served = await serveApi(settings.metricsAddress, api, limitToMonitoring(clientResources), lifecycle)
  // A host keeps running without metrics; the log line gives the reason.
  if (served.isErr()) logger.write(LogEvents.settingsRefused, { failure: served.error })
}
