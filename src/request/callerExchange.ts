/**
 * A request of a caller at the gateway and its response, independent of their encoding by the front end.
 * @module
 */
import type { OpaqueRequest } from '../connection/opaqueRequest.ts'
import type { DeclaredWork } from './placement/requestCost.ts'

/** Reason for which the gateway responds with a refusal of its own. */
export const GatewayRefusal = {
  /** No route matches the request. */
  NoRoute: 'no route',
  /** The request is malformed. */
  Invalid: 'invalid request',
  /** The request has no key of a client account, or one that no account holds. */
  Unauthorized: 'unknown key',
  TooLarge: 'body too large',
  /** The body stopped arriving; the request has not run. */
  Stalled: 'body stalled',
  /** The gateway has no usable tables, or control is unavailable; the request has not run and can be retried. */
  NotReady: 'not ready',
  /** No backend server has capacity; the request has not run and can be retried. */
  Overloaded: 'overloaded',
  /** Backend servers crash under requests with a trait of this one; it has not run and can be retried when the quarantine ends. */
  Quarantined: 'quarantined',
  /** The gateway is shutting down and may end before the request would; the request has not run and another gateway can run it. */
  Draining: 'draining',
  /**
   * Nothing tells which service and software version began the stream that the request resumes, so no server may continue it; the request
   * has not run.
   */
  UnknownStream: 'stream not known',
  /** No ready server has the software version that began the stream that the request resumes; the request has not run. */
  VersionUnavailable: 'software version unavailable',
  /** A limit of the client account or of the route is reached; the request or job has not run and will not. */
  QuotaExceeded: 'quota exceeded',
  /** The deadline passed; the request may have run. */
  TimedOut: 'timed out',
  /** All attempts failed; the request may have run. */
  Failed: 'failed'
} as const
export type GatewayRefusal = typeof GatewayRefusal[keyof typeof GatewayRefusal]

/** Retry delay suggested to a caller that a draining gateway refuses, in milliseconds: other gateways can run the request at once. */
export const drainingRetryAfterMs = 0

/** Request of a caller. */
export interface CallerRequest extends OpaqueRequest {
  /** Key of a client account as the caller sent it; undefined if it sent none. */
  readonly credential?: string | undefined
  /** Id of the caller's attempt that received the first event of the stream that this request resumes; undefined if it names none. */
  readonly resumes?: string | undefined
  /** What the caller says of the work for the request; undefined if it says nothing. */
  readonly declaredWork?: DeclaredWork | undefined
  /** Ids of the parts at the start of the prompt that other requests may have too, in order; empty when they are unknown. */
  readonly sharedPromptParts: readonly string[]
  /** Tokens of the shared parts together. */
  readonly sharedPromptTokens: number
  /** Monotonic time at which the request arrived, in milliseconds. */
  readonly receivedAt: number
  /** Monotonic time of the caller's deadline, in milliseconds; Infinity when it has set none. */
  readonly deadlineAt: number
  /** Aborts when the caller has disconnected. */
  readonly disconnectSignal: AbortSignal
}

/** Response to a caller. */
export abstract class CallerResponse {
  /**
   * Responds with a refusal of the gateway; only before `start`.
   * @param refusal - the reason
   * @param retryAfterMs - suggested delay before a retry, in milliseconds
   */
  abstract refuse (refusal: GatewayRefusal, retryAfterMs?: number): void
  /**
   * Starts the response. The kernel closes the connections of a killed process in order, so the end of the connection must not end
   * a body of which only a part was sent. A body whose end is not certain is therefore held until then, and sent as a whole.
   * @param status - the HTTP status
   * @param headers - alternating names and values
   * @param isEndCertain - whether `end` confirms that the body is complete; otherwise only the end of the connection delimits it
   */
  abstract start (status: number, headers: readonly string[], isEndCertain: boolean): void
  /**
   * Sends or holds a chunk of the body.
   * @param chunk - the bytes
   * @returns a promise that resolves when the connection accepts more or has closed; rejects with a failure when the body is too
   * large to be held
   */
  abstract write (chunk: Buffer): Promise<void>
  /** Ends a complete response. */
  abstract end (): void
  /** Aborts the connection, so that the caller can detect a truncated response. */
  abstract abort (): void
}
