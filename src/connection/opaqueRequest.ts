/**
 * A request whose content the gateway does not look into.
 * @module
 */

/** A request as it comes from a caller and goes to a backend server. */
export interface OpaqueRequest {
  readonly id: string
  readonly host: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers to pass on, name and value by turns. */
  readonly headers: readonly string[]
  readonly body: Uint8Array
  /** Event after which a stream goes on; undefined for a stream from the start. */
  readonly resumeAfter: number | undefined
}
