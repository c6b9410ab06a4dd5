/**
 * A request of a caller at the gateway and its answer, as the product sees them; a front end encodes them.
 * @module
 */
import type { OpaqueRequest } from '../connection/opaqueRequest.ts'

/** Why the gateway answers by itself. */
export const GatewayRefusal = {
  /** No route allows the request. */
  NoRoute: 'no route',
  /** The request is not well formed. */
  Invalid: 'invalid request',
  TooLarge: 'body too large',
  /** The body stopped arriving; nothing has run. */
  Stalled: 'body stalled',
  /** Nothing has run; the caller may come back. */
  NotReady: 'not ready',
  /** Nothing has run; the caller may come back. */
  Overloaded: 'overloaded',
  /** Nothing has run; the waiting tokens of the route are used up. */
  QuotaExceeded: 'quota exceeded',
  /** The time is over; the request may have run. */
  TimedOut: 'timed out',
  /** The attempts failed; the request may have run. */
  Failed: 'failed'
} as const
export type GatewayRefusal = typeof GatewayRefusal[keyof typeof GatewayRefusal]

/** A request of a caller. */
export interface CallerRequest extends OpaqueRequest {
  /** Monotonic time at which the request arrived, in milliseconds. */
  readonly receivedAt: number
  /** Monotonic time until which the caller waits, in milliseconds; Infinity when it does not say. */
  readonly deadlineAt: number
  /** Aborts when the caller has disconnected. */
  readonly disconnectSignal: AbortSignal
}

/** The answer to a caller. */
export abstract class CallerResponse {
  /** Answers with a refusal of the gateway; only before `start`. */
  abstract refuse (refusal: GatewayRefusal, retryAfterMs?: number): void
  /**
   * Sends status and headers.
   * @param status - the status
   * @param headers - name and value by turns
   * @param isFramed - whether the end of the answer is to be told apart from the end of the connection
   */
  abstract start (status: number, headers: readonly string[], isFramed: boolean): void
  /** Sends a piece; resolves when the caller takes more. */
  abstract write (chunk: Buffer): Promise<void>
  /** Ends a whole answer. */
  abstract end (): void
  /** Ends the connection, so that the answer does not look whole. */
  abstract abort (): void
}
