/**
 * A gateway: accepts requests and jobs of callers and forwards them.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createOpenRequests } from '../../connection/openRequests.ts'
import { runLoadReports } from '../../connection/fleetWatch.ts'
import { createStreamKeeperClient } from '../../connection/streamKeeperLink.ts'
import { runTablesFetch } from '../../connection/tablesFetch.ts'
import { createBackendServerHttp } from '../../../platform/backendServerHttp.ts'
import { createCallerServer } from '../../../platform/callerHttp.ts'
import { createReadinessApi } from '../../../platform/controlHttp.ts'
import type { CallerService } from '../../request/callerService.ts'
import type { ForwardingServices } from '../../request/forwardedAttempt.ts'
import { createExplanationApi } from '../../request/explanationApi.ts'
import { runForwardedRequest } from '../../request/forwardedRequest.ts'
import { identifyCaller } from '../../request/callerIdentity.ts'
import { endJob, type GatewayJobServices, readItemBody, readJobResults, submitJob } from '../../request/gatewayJobs.ts'
import { matchRoute, RouteKind } from '../../version/gatewayTables.ts'
import type { Failure } from '../program/failure.ts'
import { limitToMonitoring } from '../program/clientResources.ts'
import { listen, serveApi } from '../program/servers.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, type FleetHostBase, serveMetrics } from './fleetDaemon.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { createGatewayDrain, drainGateway, type GatewayDrain } from './gatewayDrain.ts'
import { createStreamOrigins } from './streamOrigins.ts'
import { ErrorPlace, reportUnexpectedError, runContained } from '../program/unexpectedErrors.ts'
import { millisecondsPerSecond } from '../program/units.ts'

/** Longest interval between two readiness checks, in milliseconds. */
const readinessCheckIntervalMs = 500

/**
 * Starts a gateway.
 * @param settings - settings of the host
 * @returns the running gateway, or the failure that prevented its start
 */
export async function startGateway (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const { lifecycle, logger, view, readiness, clock, metrics, random, clients, control, describe } = base
  const drain = createGatewayDrain()
  const openRequests = createOpenRequests()
  const origins = createStreamOrigins({ view, client: createStreamKeeperClient(clients), clock, random, logger, metrics })
  const forwarding: ForwardingServices = {
    view,
    drain,
    client: createBackendServerHttp(metrics),
    origins,
    control,
    availabilityZone: settings.availabilityZone,
    region: settings.region,
    getRegion: zone => settings.regions[zone],
    clock,
    random,
    logger,
    metrics
  }
  const server = createCallerServer(createCallerService(base, forwarding, drain), base.clientResources)
  openRequests.watch(server)
  const listening = await listen(settings.callerAddress ?? '', server, lifecycle)
  if (listening.isErr()) return err(listening.error)
  if (settings.readinessAddress !== undefined) {
    const served = await serveApi(settings.readinessAddress, createReadinessApi(() => readiness.isReady), limitToMonitoring(base.clientResources), lifecycle)
    if (served.isErr()) return err(served.error)
  }
  await serveMetrics(base, createExplanationApi({ ...forwarding, control }))
  runContained(base, async signal => {
    while (!signal.aborted) {
      readiness.isReady = view.canServe && !drain.isDraining
      await view.changed.wait(readinessCheckIntervalMs, signal)
    }
  })
  const taskInputs = { view, client: control, describe, clock, random, logger, metrics }
  runContained(base, signal => runTablesFetch(taskInputs, signal))
  runContained(base, signal => runLoadReports(taskInputs, signal))
  runContained(base, signal => origins.run(signal))

  // A poll without a leadership is answered at once; it reports to the leader that this gateway is no longer ready.
  async function announce (): Promise<void> {
    readiness.isReady = false
    await control.watchFleet({ ...view.createWatchRequest(describe()), leadership: '' })
  }

  return ok(createFleetDaemon(base, () => drainGateway({
    drain, server, openRequests, clock, graceMs: settings.graceSeconds * millisecondsPerSecond, announce
  })))
}

function createCallerService ({ view, control, clock, logger, metrics }: FleetHostBase, forwarding: ForwardingServices, drain: GatewayDrain): CallerService {
  const jobs: GatewayJobServices = { view, drain, control, clock, logger, metrics }
  return {
    limits: () => view.tables?.limits,
    isJob: (host, path) => matchRoute(view.routes, host, path)?.kind === RouteKind.Batch,
    hasAccounts: () => view.accounts !== undefined,
    now: () => clock.now(),
    findAccount: credential => identifyCaller(credential, true, view).unwrapOr(undefined)?.name,
    forward: (request, response) => runForwardedRequest(request, response, forwarding),
    submit: job => submitJob(job, jobs),
    results: (job, after, waitMs, access) => readJobResults(job, after, waitMs, access, jobs),
    body: (job, item, access) => readItemBody(job, item, access, jobs),
    end: (job, access) => endJob(job, access, jobs),
    reportError: (error, requestId) => reportUnexpectedError({ logger, metrics }, ErrorPlace.CallerRequest, error, requestId)
  }
}
