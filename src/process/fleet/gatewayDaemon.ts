/**
 * A gateway: accepts requests and jobs of callers and forwards them.
 * @module
 */
import type { Server } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { runLoadReports } from '../../connection/fleetWatch.ts'
import { runTablesFetch } from '../../connection/tablesFetch.ts'
import { createBackendServerHttp } from '../../../platform/backendServerHttp.ts'
import { createCallerServer } from '../../../platform/callerHttp.ts'
import { createReadinessApi } from '../../../platform/controlHttp.ts'
import { addressKeepMs } from '../../request/gatewayChoice.ts'
import type { CallerService } from '../../request/callerService.ts'
import type { ForwardingServices } from '../../request/forwardedAttempt.ts'
import { runForwardedRequest } from '../../request/forwardedRequest.ts'
import { endJob, type GatewayJobServices, readItemBody, readJobResults, submitJob } from '../../request/gatewayJobs.ts'
import { matchRoute, RouteKind } from '../../version/gatewayTables.ts'
import type { Failure } from '../program/failure.ts'
import { listen, serveApi } from '../program/servers.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, type FleetHostBase, serveMetrics } from './fleetDaemon.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { millisecondsPerSecond } from '../program/units.ts'

/** Multiple of its permitted lifetime for which some callers cache a directory response. */
const addressCacheFactor = 3

/** Time until every control host's directory omits a draining gateway, in milliseconds. */
const directoryUpdateMs = 400

/** Time reserved between the end of the last request and the end of the process, in milliseconds. */
const shutdownMarginMs = 600

/** Longest interval between two readiness checks, in milliseconds. */
const readinessCheckIntervalMs = 500

/** Interval at which a draining gateway checks for open requests, in milliseconds. */
const drainCheckIntervalMs = 50

/**
 * Starts a gateway.
 * @param settings - settings of the host
 * @returns the running gateway, or the failure that prevented its start
 */
export async function startGateway (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const { lifecycle, logger, view, readiness, clock, metrics, random } = base
  const state = { isDraining: false, openRequests: 0 }
  const forwarding: ForwardingServices = {
    view,
    client: createBackendServerHttp(),
    control: base.control,
    availabilityZone: settings.availabilityZone,
    region: settings.region,
    getRegion: zone => settings.regions[zone],
    clock,
    random,
    logger,
    metrics
  }
  const server = createCallerServer(createCallerService(base, forwarding, state))
  const listening = await listen(settings.callerAddress ?? '', server, lifecycle)
  if (listening.isErr()) return err(listening.error)
  if (settings.readinessAddress !== undefined) {
    const served = await serveApi(settings.readinessAddress, createReadinessApi(() => readiness.isReady), lifecycle)
    if (served.isErr()) return err(served.error)
  }
  await serveMetrics(base)
  lifecycle.run(async signal => {
    while (!signal.aborted) {
      readiness.isReady = view.canServe && !state.isDraining
      await view.changed.wait(readinessCheckIntervalMs, signal)
    }
  })
  lifecycle.run(signal => runTablesFetch({ view, client: base.control, describe: base.describe, clock, random, logger, metrics }, signal))
  lifecycle.run(signal => runLoadReports({ view, client: base.control, describe: base.describe, clock, random, logger, metrics }, signal))
  return ok(createFleetDaemon(base, () => drain(base, server, state)))
}

interface GatewayState {
  isDraining: boolean
  /** Requests that have been received and whose response is not complete. */
  openRequests: number
}

function createCallerService ({ view, control, clock, logger, metrics }: FleetHostBase, forwarding: ForwardingServices, state: GatewayState): CallerService {
  const jobs: GatewayJobServices = { view, control, clock, logger, metrics }

  async function trackOpenRequest<Value> (handle: () => Promise<Value>): Promise<Value> {
    state.openRequests++
    try {
      return await handle()
    } finally {
      state.openRequests--
    }
  }

  return {
    limits: () => view.tables?.limits,
    isDraining: () => state.isDraining,
    isJob: (host, path) => matchRoute(view.routes, host, path)?.kind === RouteKind.Batch,
    now: () => clock.now(),
    forward: (request, response) => trackOpenRequest(() => runForwardedRequest(request, response, forwarding)),
    submit: job => trackOpenRequest(() => submitJob(job, jobs)),
    results: (job, after, waitMs) => trackOpenRequest(() => readJobResults(job, after, waitMs, jobs)),
    body: (job, item) => trackOpenRequest(() => readItemBody(job, item, jobs)),
    end: job => trackOpenRequest(() => endJob(job, jobs))
  }
}

// Callers with a cached directory response still connect for a while, so the gateway keeps listening until those responses
// have expired.
async function drain (base: FleetHostBase, server: Server, state: GatewayState): Promise<void> {
  const { readiness, clock, control, view, settings, describe } = base
  const startedAt = clock.now()
  state.isDraining = true
  readiness.isReady = false
  // A poll without a leadership is answered at once; it reports to the leader that this gateway is no longer ready.
  await control.watchFleet({ ...view.createWatchRequest(describe()), leadership: '' })
  await clock.sleep(directoryUpdateMs + addressKeepMs * addressCacheFactor - (clock.now() - startedAt))
  server.close()
  server.closeIdleConnections()
  const endAt = startedAt + settings.graceSeconds * millisecondsPerSecond - shutdownMarginMs
  while (state.openRequests > 0 && clock.now() < endAt) {
    await clock.sleep(drainCheckIntervalMs)
    server.closeIdleConnections()
  }
  // The last responses may still be in transit to their callers.
  await clock.sleep(drainCheckIntervalMs)
}
