/**
 * A gateway: takes requests and jobs of callers and passes them on.
 * @module
 */
import type { Server } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { runLoadReports } from '../../connection/fleetWatch.ts'
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

/** How many times its life some callers keep an address answer. */
const keepFactor = 3

/** Time for the directory to hear that this host drains, in milliseconds. */
const newsMs = 400

/** Time before the end of the process in which nothing may be left running, in milliseconds. */
const endMarginMs = 600

/** How often readiness is looked at without news, in milliseconds. */
const readinessMs = 500

/** How often a draining gateway looks for open requests, in milliseconds. */
const lookMs = 50

/**
 * Starts a gateway.
 * @param settings - its settings
 * @returns the gateway, or the failure that kept it from starting
 */
export async function startGateway (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const { lifecycle, logger, view, readiness, clock, metrics, random } = base
  const state = { isDraining: false, open: 0 }
  const forwarding: ForwardingServices = {
    view,
    client: createBackendServerHttp(),
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
      readiness.isReady = view.tables !== undefined && !state.isDraining
      await view.changed.wait(readinessMs, signal)
    }
  })
  lifecycle.run(signal => runLoadReports({ view, client: base.control, describe: base.describe, clock, random, logger }, signal))
  return ok(createFleetDaemon(base, () => drain(base, server, state)))
}

interface GatewayState {
  isDraining: boolean
  /** Requests that have been read and not answered. */
  open: number
}

function createCallerService ({ view, control, clock, logger, metrics }: FleetHostBase, forwarding: ForwardingServices, state: GatewayState): CallerService {
  const jobs: GatewayJobServices = { view, control, clock, logger, metrics }

  async function count<Value> (work: () => Promise<Value>): Promise<Value> {
    state.open++
    try {
      return await work()
    } finally {
      state.open--
    }
  }

  return {
    limits: () => view.tables?.limits,
    isDraining: () => state.isDraining,
    isJob: (host, path) => matchRoute(view.routes, host, path)?.kind === RouteKind.Batch,
    now: () => clock.now(),
    forward: (request, answer) => count(() => runForwardedRequest(request, answer, forwarding)),
    submit: job => count(() => submitJob(job, jobs)),
    results: (job, after, waitMs) => count(() => readJobResults(job, after, waitMs, jobs)),
    body: (job, item) => count(() => readItemBody(job, item, jobs)),
    end: job => count(() => endJob(job, jobs))
  }
}

// Callers that keep an old address answer still come for a while, so the gateway listens until the last of them has gone.
async function drain (base: FleetHostBase, server: Server, state: GatewayState): Promise<void> {
  const { readiness, clock, control, view, settings, describe } = base
  const startedAt = clock.now()
  state.isDraining = true
  readiness.isReady = false
  await control.watchFleet({ ...view.createWatchRequest(describe()), leadership: '' })
  await clock.sleep(newsMs + addressKeepMs * keepFactor - (clock.now() - startedAt))
  server.close()
  server.closeIdleConnections()
  const endAt = startedAt + settings.graceSeconds * millisecondsPerSecond - endMarginMs
  while (state.open > 0 && clock.now() < endAt) {
    await clock.sleep(lookMs)
    server.closeIdleConnections()
  }
  // The last answers are still on their way to their callers.
  await clock.sleep(lookMs)
}
