/**
 * A request whose content the gateway forwards without inspecting it.
 * @module
 */

/**
 * Maximum length of a body that is buffered completely, in bytes; of a longer one at least this many bytes are buffered. A hundred
 * such bodies take 25 MB of the 200 MB of memory that are available to a process on the first sites.
 */
export const maxBufferedBodyBytes = 256 * 1024

/** Problems that may occur while a body is read. */
export const BodyProblem = {
  /** The body is longer than the limit. */
  TooLarge: 'too large',
  /** The caller sent no data within the timeout. */
  Stalled: 'stalled',
  /** The process was short of memory, and the body had to give way. */
  GaveWay: 'gave way'
} as const
export type BodyProblem = typeof BodyProblem[keyof typeof BodyProblem]

/** The part of a long body that is not buffered. It can be read only once; after that the request can't be retried. */
export interface BodyRemainder {
  /** Length in bytes; undefined when it is not known before the end. */
  readonly bytes: number | undefined
  /** Whether reading has begun. */
  readonly isConsumed: boolean
  /** Set when reading failed because of the caller. */
  readonly problem: BodyProblem | undefined
  /**
   * Reads the remainder.
   * @returns the chunks in order; throws a failure when the caller disconnects, stalls or exceeds the size limit
   */
  consume (): AsyncIterable<Uint8Array>
}

/** A request as received from a caller and forwarded to a backend server. */
export interface OpaqueRequest {
  readonly id: string
  readonly host: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[]
  /** The complete body when there is no remainder, else its buffered start. */
  readonly body: Uint8Array
  readonly remainder: BodyRemainder | undefined
  /** Id of the event after which a stream resumes; undefined for a stream from the start. */
  readonly resumeAfter: number | undefined
  /** Name of the client account that backend servers receive; undefined if the request belongs to none. */
  readonly account?: string | undefined
}
