/**
 * Assembles a daemon from its settings.
 * @module
 */
import { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { createControlClient } from '../../connection/controlClient.ts'
import { serveInternalCalls } from '../../connection/callServer.ts'
import { compressionThresholdBytes } from '../../connection/frames.ts'
import { createInternalClients } from '../../connection/internalClient.ts'
import { createInternalRouter, type InternalServices } from '../../connection/internalRouter.ts'
import { createOpenRequests } from '../../connection/openRequests.ts'
import { createTrpcTransport } from '../../connection/replicaTransport.ts'
import { createAdministrationApi } from '../../request/administrationApi.ts'
import { createErrorResponses } from '../../request/errorResponses.ts'
import { RefusalReason } from '../../request/refusal.ts'
import { DenialReason } from '../../request/retry.ts'
import { createClientResources, limitToMonitoring } from '../program/clientResources.ts'
import { createSystemClock } from '../program/clock.ts'
import { type ControlHost, createControlHost } from '../state/controlHost.ts'
import { createEntryHost, type RunningEntryHost } from './entryHost.ts'
import type { RunningDaemon } from '../program/daemonRun.ts'
import { type Failure, FailureReason } from '../program/failure.ts'
import { createFileStorage } from '../log/fileStorage.ts'
import { createLifecycle, type Lifecycle } from '../program/lifecycle.ts'
import { LogEvents } from '../program/logEvents.ts'
import { createLogger, type Logger } from '../program/logger.ts'
import { describeMembers } from '../log/memberStatus.ts'
import { Counter, createMetrics, type Metrics } from '../program/metrics.ts'
import { runProcessMonitor } from '../program/processMonitor.ts'
import { createSystemRandom } from '../program/random.ts'
import { serveApi } from '../program/servers.ts'
import { createTimeLimit } from '../program/timeLimit.ts'
import { bytesPerMebibyte } from '../program/units.ts'
import { Role, type Settings } from '../program/settings.ts'

/** Content type of the Prometheus text exposition format. */
const metricsContentType = 'text/plain; version=0.0.4; charset=utf-8'

/** Default of the longest wait for requests in flight at shutdown, in milliseconds, unless a route has a later deadline. */
const defaultMaxDrainMs = 600_000

/** A running daemon. */
export interface Daemon extends RunningDaemon {
  /** Undefined for the role entry. */
  readonly controlHost: ControlHost | undefined
  /** Undefined for the role control. */
  readonly entryHost: RunningEntryHost | undefined
}

/**
 * Starts a daemon. When the start fails, everything that was started is closed again.
 * @param settings - settings of the daemon
 * @returns the running daemon, or the failure of the start
 */
export async function startDaemon (settings: Settings): Promise<Result<Daemon, Failure>> {
  const lifecycle = createLifecycle()
  const logger = createLogger(settings.host, settings.logLevel)
  const started = await assemble(settings, lifecycle, logger)
  if (started.isErr()) await lifecycle.close()
  return started
}

async function assemble (settings: Settings, lifecycle: Lifecycle, logger: Logger): Promise<Result<Daemon, Failure>> {
  const metrics = createMetrics()
  initializeCounters(metrics)
  const clock = createSystemClock()
  const random = createSystemRandom()
  const clients = createInternalClients(lifecycle, compressionThresholdBytes, metrics)
  const control = createControlClient({ controlHosts: settings.controlHosts, clients, clock, random, metrics, signal: lifecycle.signal })
  const openRequests = createOpenRequests()
  const resources = createClientResources(settings, { clock, logger, metrics })
  const services: InternalServices = { controlHost: undefined, shareReceiver: undefined, dispatchReceiver: undefined }

  if (settings.role !== Role.Entry) {
    const storage = createFileStorage({ folder: settings.dataFolder ?? '', host: settings.host, logger, metrics, clock })
    const created = await createControlHost({
      address: settings.internalAddress,
      availabilityZone: settings.availabilityZone,
      controlHosts: settings.controlHosts,
      voters: settings.voters,
      maxOpenUploadBytes: settings.maxOpenUploadMb === undefined ? undefined : settings.maxOpenUploadMb * bytesPerMebibyte,
      maxOpenJobBytes: settings.maxOpenJobMb === undefined ? undefined : settings.maxOpenJobMb * bytesPerMebibyte,
      storage,
      transport: createTrpcTransport(clients),
      clock,
      random,
      logger,
      metrics,
      lifecycle
    })
    if (created.isErr()) return err(created.error)
    services.controlHost = created.value
  }
  const listening = await serveInternalCalls(settings.internalAddress, createInternalRouter(services), lifecycle, metrics)
  if (listening.isErr()) return err(listening.error)

  let entryHost: RunningEntryHost | undefined
  if (settings.role !== Role.Control && settings.callerAddress !== undefined) {
    entryHost = createEntryHost({ settings, callerAddress: settings.callerAddress, openRequests, control, clients, clock, random, logger, metrics, lifecycle })
    services.shareReceiver = entryHost.shareReceiver
    services.dispatchReceiver = entryHost.dispatchReceiver
    const served = await serveApi(settings.callerAddress, entryHost.api, resources, lifecycle)
    if (served.isErr()) return err(served.error)
    openRequests.watch(served.value)
  }
  if (settings.administrationAddress !== undefined) {
    const errors = createErrorResponses(metrics, logger, () => [])
    const status = (): object => describeStatus(settings, services.controlHost, entryHost)
    const served = await serveApi(settings.administrationAddress, createAdministrationApi({ control, errors, status }), limitToMonitoring(resources), lifecycle)
    if (served.isErr()) return err(served.error)
    openRequests.watch(served.value)
  }
  if (settings.metricsAddress !== undefined) {
    const api = new Hono().get('/metrics', context => context.text(metrics.format(), 200, { 'content-type': metricsContentType }))
    const served = await serveApi(settings.metricsAddress, api, limitToMonitoring(resources), lifecycle)
    if (served.isErr()) return err(served.error)
  }
  lifecycle.run(signal => runProcessMonitor({ clock, logger, metrics }, signal))
  logger.write(LogEvents.processStarted, { detail: settings.role })
  return ok({
    lifecycle,
    logger,
    controlHost: services.controlHost,
    entryHost,
    async drain () {
      logger.write(LogEvents.processDraining)
      openRequests.closeAfterResponses()
      const limit = createTimeLimit(findDrainLimit(settings, entryHost), lifecycle.signal, clock)
      await Promise.all([services.controlHost?.replica.resign(), entryHost?.drain(limit)])
      openRequests.stopListening()
      await openRequests.ended(limit)
      if (openRequests.count > 0) logger.write(LogEvents.drainLimited, { inputs: { openRequests: openRequests.count } })
      await lifecycle.close()
    }
  })
}

// A live request ends by its deadline. Uploads and reads of results take as long as their clients like.
function findDrainLimit ({ maxDrainMs }: Settings, entryHost: RunningEntryHost | undefined): number {
  if (maxDrainMs !== undefined) return maxDrainMs
  let limitMs = defaultMaxDrainMs
  for (const { deadlineMs } of entryHost?.version.configuration.routes ?? []) limitMs = Math.max(limitMs, deadlineMs)
  return limitMs
}

// Exports every counter from the start: one that appears with its first event cannot be distinguished from a missing one until
// then, and a rate computed from it does not include that event.
function initializeCounters (metrics: Metrics): void {
  for (const reason of Object.values(RefusalReason)) metrics.count(Counter.Refusals, reason, 0)
  for (const reason of Object.values(DenialReason)) metrics.count(Counter.RetriesDenied, reason, 0)
  for (const reason of Object.values(FailureReason)) {
    metrics.count(Counter.AttemptFailures, reason, 0)
    if (reason !== FailureReason.Aborted) metrics.count(Counter.Retries, reason, 0)
  }
}

function describeStatus (settings: Settings, controlHost: ControlHost | undefined, entryHost: RunningEntryHost | undefined): object {
  const replica = controlHost?.replica.state
  return {
    host: settings.host,
    role: settings.role,
    availabilityZone: settings.availabilityZone,
    region: settings.region,
    control: replica === undefined
      ? undefined
      : {
          identity: replica.identity,
          role: replica.role,
          term: replica.term,
          leader: replica.leaderAddress,
          commitIndex: replica.commitIndex,
          appliedIndex: replica.appliedIndex,
          members: describeMembers(replica, performance.now())
        },
    entry: entryHost === undefined
      ? undefined
      : {
          version: entryHost.version.configuration.version,
          entryHosts: entryHost.session.entryHosts,
          backendServers: entryHost.backendServers.list().map(server => ({
            ...server.announcement, liveInFlight: server.liveInFlight, batchInFlight: server.batchInFlight
          }))
        }
  }
}
