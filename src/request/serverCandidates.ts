/**
 * The backend servers that can take a live request, as far as a gateway knows, and why the others cannot.
 * @module
 */
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import type { RemoteLoadEstimate } from '../process/fleet/remoteLoads.ts'
import type { StreamOrigin } from '../process/fleet/streamRecords.ts'
import { type GatewayRoute, RouteKind } from '../version/gatewayTables.ts'
import type { ForwardingServices } from './forwardedAttempt.ts'
import { hasRoom, type LivePlaces, maxQueuedPerServer } from './placement/competition.ts'
import { computeMeanWork, type CostedRequest, fitsMemory, type RequestCost } from './placement/requestCost.ts'
import type { ServerCandidate } from './placement/serverChoice.ts'
import { canContinue } from './streamContinuation.ts'

/** Why a server of the service gets no request. */
export const ExclusionReason = {
  /** Its heartbeats or its responses say that it leaves. */
  Leaving: 'leaving',
  /** Its heartbeats stopped, or it was withdrawn. */
  NotReady: 'not ready',
  /** Another software version began the stream. */
  OtherVersion: 'other software version',
  /** The request limit that it names is used up. */
  LimitUsedUp: 'request limit used up',
  /** Its slots, and the queue places that the request may take, are in use by live requests. */
  Full: 'full',
  /** The request does not fit into its memory beside those that it has. */
  MemoryFull: 'memory full',
  /** The account of the request is beyond its share and has to leave places free. */
  BeyondShare: 'left to other accounts'
} as const
export type ExclusionReason = typeof ExclusionReason[keyof typeof ExclusionReason]

/** Server that cannot take a request. */
export interface ExcludedServer {
  readonly server: BackendServerRecord
  readonly reason: ExclusionReason
}

/** What decides whether a server can take a request. */
export interface CandidateSearch {
  readonly service: string
  /** What began the stream; undefined before its first event. */
  readonly origin: StreamOrigin | undefined
  readonly isRetryable: boolean
  /** The places that the request may take. */
  readonly places: Pick<LivePlaces, 'maxQueued' | 'reservedShare'>
  /** Tokens that the request is likely to hold in the memory of a server. */
  readonly tokens: number
}

/** What a gateway knows of the servers. */
export type CandidateServices = Pick<ForwardingServices, 'view' | 'client' | 'availabilityZone' | 'region' | 'getRegion'>

/**
 * Checks whether requests of a route may run again after an attempt that may have run.
 * @param route - the route
 */
export function isRetryableRoute ({ kind, resumable }: GatewayRoute): boolean {
  return kind === RouteKind.Safe || (kind === RouteKind.Streaming && resumable)
}

/**
 * Estimates the cost of a request. Without figures of the servers, requests count as one each, and their memory is not counted.
 * @param request - the request
 * @param view - the view of the fleet
 * @returns the cost
 */
export function estimateServiceCost (request: CostedRequest, { costs, paceSamples }: Pick<FleetView, 'costs' | 'paceSamples'>): RequestCost {
  return paceSamples.isReported(request.service) ? costs.estimate(request) : { work: 1, tokens: 0 }
}

/**
 * Lists the servers that can take a request.
 * @param search - the request
 * @param remoteLoad - load of other hosts
 * @param services - what the gateway knows
 * @param excluded - receives the ready servers that cannot, if it is given
 * @returns the candidates
 */
export function listCandidates (search: CandidateSearch, remoteLoad: RemoteLoadEstimate, services: CandidateServices, excluded?: ExcludedServer[]): ServerCandidate[] {
  const { service, origin, isRetryable, tokens, places: { maxQueued, reservedShare } } = search
  const { view } = services
  const hasFigures = view.paceSamples.isReported(service)
  const capacity = hasFigures ? view.findService(service)?.memoryTokens ?? 0 : 0
  const meanTokens = view.costs.getMeanTokens(service)
  const candidates: ServerCandidate[] = []
  const sums = { slots: 0, places: 0, live: 0 }
  for (const server of view.listReadyServers(service)) {
    if (!canContinue(origin, server)) {
      excluded?.push({ server, reason: ExclusionReason.OtherVersion })
      continue
    }
    if (view.requestLimits.isExcluded(server.id)) {
      excluded?.push({ server, reason: ExclusionReason.LimitUsedUp })
      continue
    }
    const remote = remoteLoad.getLoad(server.id)
    const live = remote.live + (view.live.get(server.id) ?? 0)
    // Batch items yield to live requests, so only live requests count towards the limit.
    sums.slots += server.slots
    sums.places += server.slots + maxQueuedPerServer
    sums.live += live
    if (live >= server.slots + maxQueued) {
      excluded?.push({ server, reason: ExclusionReason.Full })
      continue
    }
    // A mean above the share of a slot comes from callers that declare too much.
    const heldTokens = view.serverWork.getTokens(server.id) + Math.max(remote.tokens, (remote.live + remote.batch) * Math.min(meanTokens, capacity / server.slots))
    if (!fitsMemory({ capacity, held: heldTokens }, tokens)) {
      excluded?.push({ server, reason: ExclusionReason.MemoryFull })
      continue
    }
    candidates.push({
      server,
      load: live + remote.batch,
      live,
      pace: view.getPace(server.id),
      meanWork: hasFigures ? computeMeanWork(live, view.serverWork.getExtra(server.id) + remote.extraWork) : 1,
      hasConnection: hasFigures && services.client.hasIdleConnection(server, isRetryable),
      isSuspect: view.isSuspect(server.id),
      isLimited: view.requestLimits.find(server.id) !== undefined,
      failureRate: view.getFailureRate(server.id),
      isSameZone: server.availabilityZone === services.availabilityZone,
      isSameRegion: services.getRegion(server.availabilityZone) === services.region,
      heldTokens
    })
  }
  if (hasRoom({ reservedShare }, sums)) return candidates
  for (const { server } of candidates) excluded?.push({ server, reason: ExclusionReason.BeyondShare })
  return []
}
