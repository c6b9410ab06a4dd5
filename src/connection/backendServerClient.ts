/**
 * The interface by which the gateway sends requests to backend servers; implementations define the encoding on the wire.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, type Failure, FailureReason, Step } from '../process/program/failure.ts'
import type { OpaqueRequest } from './opaqueRequest.ts'

/** A request to a backend server. */
export interface BackendRequest extends OpaqueRequest {
  /** Time that remains for the backend server to process the request, in milliseconds; undefined for no limit. */
  readonly timeLeftMs: number | undefined
  /** Whether the request may run again after an attempt that may have run. */
  readonly isRepeatable: boolean
}

/** The destination of a request. */
export interface BackendServerTarget {
  readonly address: string
  /** Expected id of the server; a server with another id at the address refuses the request. */
  readonly id: string
}

/** Load that a backend server reports of itself with a response. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Duration of work on the server at the moment, as a multiple of the usual one; undefined if it reports none. */
  readonly slowdown: number | undefined
}

/** Kinds of response. */
export const BackendResponseKind = { Response: 'answer', NotRun: 'not run' } as const
export type BackendResponseKind = typeof BackendResponseKind[keyof typeof BackendResponseKind]

/** The response of a backend server. */
export type BackendResponse =
  | {
    readonly kind: typeof BackendResponseKind.Response
    readonly status: number
    /** Requests per second that the server takes from all hosts together; undefined if it names no limit. */
    readonly requestLimit: number | undefined
    /** Whether the server says that it leaves: it finishes its current requests and is to get no new ones. */
    readonly isLeaving: boolean
    /** Load of the server when it sent the head; undefined if it reports none. */
    readonly load?: ReportedLoad | undefined
    /** Headers to forward to the caller, as alternating names and values. */
    readonly headers: readonly string[]
    /**
     * Whether the response delimits its own end. A response without length or chunked encoding ends when the connection
     * closes, as it also does when the server crashes (see `confirmResponseEnd`).
     */
    readonly isFramed: boolean
    /** Chunks in order of arrival; throws a failure when the response is truncated. */
    readonly body: AsyncIterable<Buffer>
  }
  | {
    /** The server reports that it has not run the request. */
    readonly kind: typeof BackendResponseKind.NotRun
    readonly status: number
    readonly requestLimit: number | undefined
    readonly isLeaving: boolean
    readonly load?: ReportedLoad | undefined
  }

/** The response of a backend server that ran the request. */
export type ExecutedResponse = Extract<BackendResponse, { readonly kind: typeof BackendResponseKind.Response }>

/** A failure before the head of a response was received. */
export interface ExchangeFailure {
  /** Whether the request may have reached the server and been run. */
  readonly sent: boolean
  readonly failure: Failure
}

/** What a connection without a request shows of a server. */
export const ServerReachability = {
  /** A process accepts connections at the address. */
  Listening: 'listening',
  /** The host refuses connections to the address. */
  Stopped: 'stopped',
  /** There was no response in time, or another error. */
  Unknown: 'unknown'
} as const
export type ServerReachability = typeof ServerReachability[keyof typeof ServerReachability]

/** Sends requests to backend servers. */
export abstract class BackendServerClient {
  /**
   * Sends a request on a connection that carries no other one meanwhile.
   * @param target - the server
   * @param request - the request
   * @param signal - closes the connection, so that the server stops processing the request
   * @returns the response once its head has arrived, or a failure
   */
  abstract send (target: BackendServerTarget, request: BackendRequest, signal: AbortSignal): Promise<Result<BackendResponse, ExchangeFailure>>
  /**
   * Checks whether a server listens, by a connection without a request.
   * @param target - the server
   * @returns what the connection shows
   */
  abstract probe (target: BackendServerTarget): Promise<ServerReachability>
  /**
   * Checks whether a request needs no new connection.
   * @param _target - the server
   * @param _isRepeatable - whether the request may run again
   * @returns whether an idle connection is open; never, for a client that keeps none
   */
  hasIdleConnection (_target: BackendServerTarget, _isRepeatable: boolean): boolean {
    return false
  }
}

/**
 * Checks the end of a response that was read to its end. Without framing it is the end of the connection, which the kernel also
 * closes in order when the process of the server ends; so it counts only while the server listens.
 * @param response - the response
 * @param target - the server that sent it
 * @param client - probes the server
 * @returns a failure if the response may be incomplete
 */
export async function confirmResponseEnd (response: Pick<ExecutedResponse, 'isFramed'>, target: BackendServerTarget, client: BackendServerClient): Promise<Result<void, Failure>> {
  if (response.isFramed) return ok(undefined)
  const reachability = await client.probe(target)
  if (reachability === ServerReachability.Listening) return ok(undefined)
  return err(createFailure(FailureReason.Incomplete, { step: Step.ReadResponse, peer: target.address }, `the connection ended a response without framing, and the server is ${reachability}`))
}
