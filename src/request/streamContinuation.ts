/**
 * Decisions on where a stream may continue. What two software versions of a service write does not fit together, and backend servers
 * do not check it, so a stream continues only at a server of the service and the version that began it.
 * @module
 */
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { MissingOriginReason, type OriginSearch } from '../process/fleet/streamOrigins.ts'
import type { StreamOrigin } from '../process/fleet/streamRecords.ts'
import { type GatewayRoute, RouteKind } from '../version/gatewayTables.ts'
import { type CallerRequest, GatewayRefusal } from './callerExchange.ts'

/** Why a caller's resumption of a stream is refused; those of a search are in `MissingOriginReason`. */
export const ResumptionRefusal = {
  /** The request does not name the attempt that received the first event. */
  Unnamed: 'unnamed',
  /** The route no longer sends requests to the service that began the stream. */
  OtherService: 'other service',
  /** No server of the version that began the stream is ready. */
  NoServer: 'no server'
} as const
export type ResumptionRefusal = typeof ResumptionRefusal[keyof typeof ResumptionRefusal]

/** Outcome of the decision on a resumption: the origin that the servers must have, or why the request is refused. */
export type ResumptionDecision =
  | { readonly origin: StreamOrigin }
  | { readonly origin: undefined, readonly refusal: GatewayRefusal, readonly reason: ResumptionRefusal | MissingOriginReason }

/** The servers that a gateway knows. */
export type KnownServers = Pick<FleetView, 'isPopulated' | 'listReadyServers'>

/**
 * Checks whether a request resumes a stream that an earlier attempt of the caller received in part.
 * @param request - the request
 * @param route - its route
 */
export function isResumption ({ resumeAfter }: CallerRequest, { kind, resumable }: GatewayRoute): boolean {
  return kind === RouteKind.Streaming && resumable && resumeAfter !== undefined
}

/**
 * Decides whether a resumption may be sent to a server.
 * @param search - result of the search for the origin; undefined if the request names no attempt
 * @param route - route of the request
 * @param servers - the servers that the gateway knows
 * @returns the origin that the servers must have, or the refusal
 */
export function decideResumption (search: OriginSearch | undefined, route: GatewayRoute, servers: KnownServers): ResumptionDecision {
  if (search === undefined) return refuse(GatewayRefusal.UnknownStream, ResumptionRefusal.Unnamed)
  const { origin, reason } = search
  // Unlike the others, a gateway that has just started may find the record soon.
  if (reason === MissingOriginReason.UnknownKeepers) return refuse(GatewayRefusal.NotReady, reason)
  if (origin === undefined) return refuse(GatewayRefusal.UnknownStream, reason ?? MissingOriginReason.Unknown)
  if (!route.targets.some(({ service, weight }) => service === origin.service && weight > 0)) return refuse(GatewayRefusal.UnknownStream, ResumptionRefusal.OtherService)
  if (!mayContinue(origin, origin.service, servers)) return refuse(GatewayRefusal.VersionUnavailable, ResumptionRefusal.NoServer)
  return { origin }
}

function refuse (refusal: GatewayRefusal, reason: ResumptionRefusal | MissingOriginReason): ResumptionDecision {
  return { origin: undefined, refusal, reason }
}

/**
 * Checks whether there is, or may be, a server for the next attempt of a request.
 * @param origin - origin of the stream; undefined before its first event
 * @param service - service of the request
 * @param servers - the servers that the gateway knows
 * @returns false if no server of the origin is ready and every server would be known
 */
export function mayContinue (origin: StreamOrigin | undefined, service: string, { isPopulated, listReadyServers }: KnownServers): boolean {
  return origin === undefined || !isPopulated || listReadyServers(service).some(server => canContinue(origin, server))
}

/**
 * Checks whether a server may send events to a caller.
 * @param origin - origin of the stream; undefined before its first event
 * @param server - the server
 * @returns false if another version began the stream, or one of both is unknown
 */
export function canContinue (origin: StreamOrigin | undefined, { service, softwareVersion }: BackendServerRecord): boolean {
  if (origin === undefined) return true
  return softwareVersion !== undefined && service === origin.service && softwareVersion === origin.softwareVersion
}

/**
 * Checks whether another software version runs under the id of a server than the one that was chosen. A server that restarts may keep its
 * id and address, and its first heartbeat may arrive after the first request to its new start.
 * @param chosen - record of the server when the request was sent
 * @param current - the latest record of the server; undefined if it was removed
 * @returns whether the response may come from another version than that of the chosen record
 */
export function isReplaced (chosen: BackendServerRecord, current: BackendServerRecord | undefined): boolean {
  if (current === undefined || current.softwareVersion === chosen.softwareVersion) return false
  return current.softwareVersion !== undefined || current.startedAt !== chosen.startedAt
}
