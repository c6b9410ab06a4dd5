/**
 * Requests to backend servers, as the gateway sees them; how they are encoded is a matter of the front end in use.
 * @module
 */
import type { Result } from 'neverthrow'
import type { Failure } from '../process/program/failure.ts'
import type { OpaqueRequest } from './opaqueRequest.ts'

/** A request to a backend server. */
export interface BackendRequest extends OpaqueRequest {
  /** How long the backend server may work, in milliseconds; undefined for no limit. */
  readonly timeLeftMs: number | undefined
}

/** Where a request goes. */
export interface BackendServerTarget {
  readonly address: string
  /** The server that must answer; another one at the address refuses. */
  readonly id: string
}

/** Kinds of answer. */
export const BackendResponseKind = { Response: 'answer', NotRun: 'not run' } as const
export type BackendResponseKind = typeof BackendResponseKind[keyof typeof BackendResponseKind]

/** The answer of a backend server. */
export type BackendResponse =
  | {
    readonly kind: typeof BackendResponseKind.Response
    readonly status: number
    /** Headers to pass back, name and value by turns. */
    readonly headers: readonly string[]
    /** Whether the answer tells its own end; one without length ends with its connection, also when the server crashed. */
    readonly isFramed: boolean
    /** Pieces as they arrive; throws a failure when the answer breaks off. */
    readonly body: AsyncIterable<Buffer>
  }
  | {
    /** The server says that it has not run the request. */
    readonly kind: typeof BackendResponseKind.NotRun
    readonly status: number
  }

/** A failure before the start of an answer. */
export interface ExchangeFailure {
  /** Whether the request may have reached the server and may have run. */
  readonly sent: boolean
  readonly failure: Failure
}

/** Calls to backend servers. */
export abstract class BackendServerClient {
  /**
   * Sends a request on a connection of its own.
   * @param target - the server
   * @param request - the request
   * @param signal - ends the connection, and with it the work of the server
   * @returns the answer once its start has arrived, or a failure
   */
  abstract send (target: BackendServerTarget, request: BackendRequest, signal: AbortSignal): Promise<Result<BackendResponse, ExchangeFailure>>
}
