/**
 * A request whose content the gateway does not look into.
 * @module
 */

/** What may be wrong with a body while it is read. */
export const BodyProblem = {
  /** It is longer than the limit. */
  TooLarge: 'too large',
  /** Its caller sent nothing for too long. */
  Stalled: 'stalled'
} as const
export type BodyProblem = typeof BodyProblem[keyof typeof BodyProblem]

/**
 * The part of a long body that is not buffered. It can be read once, so that its request can't be sent again after that.
 */
export interface BodyRemainder {
  /** Its length in bytes; undefined when only its end tells. */
  readonly bytes: number | undefined
  /** Whether reading it has begun. */
  readonly isConsumed: boolean
  /** Set when reading it failed and the caller is the cause. */
  readonly problem: BodyProblem | undefined
  /** Reads it; throws a failure when the caller disconnects, stalls or sends too much. */
  consume (): AsyncIterable<Uint8Array>
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
  /** The whole body when there is no remainder, else its start. */
  readonly body: Uint8Array
  readonly remainder: BodyRemainder | undefined
  /** Event after which a stream goes on; undefined for a stream from the start. */
  readonly resumeAfter: number | undefined
}
