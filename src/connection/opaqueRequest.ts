/**
 * A request whose content the gateway does not look into.
 * @module
 */

/** What is wrong with a body whose rest was being read. */
export const BodyProblem = {
  /** It is longer than the limit. */
  TooLarge: 'too large',
  /** Its caller sent nothing for too long. */
  Stalled: 'stalled'
} as const
export type BodyProblem = typeof BodyProblem[keyof typeof BodyProblem]

/**
 * The part of a long body that had not arrived when the request was passed on. It can be read once, so that a request of
 * which it was read can't be sent again.
 */
export interface BodyRest {
  /** Its length in bytes; undefined when only its end tells. */
  readonly bytes: number | undefined
  readonly isTaken: boolean
  /** Set when reading it failed for a reason that is the caller's. */
  readonly problem: BodyProblem | undefined
  /** Reads it; throws a failure when the caller breaks off, stalls or sends too much. */
  take (): AsyncIterable<Uint8Array>
}

/** A request as it comes from a caller and goes to a backend server. */
export interface OpaqueRequest {
  readonly id: string
  readonly host: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers to pass on, name and value by turns. */
  readonly headers: readonly string[]
  /** The body, or its beginning when there is a rest. */
  readonly body: Uint8Array
  readonly rest: BodyRest | undefined
  /** Event after which a stream goes on; undefined for a stream from the start. */
  readonly resumeAfter: number | undefined
}
