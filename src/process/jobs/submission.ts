/**
 * A job of the gateway as it was submitted.
 * @module
 */

/** An item as submitted. */
export interface SubmittedItem {
  readonly id: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  /** Tokens of the prompt and of the longest output together. */
  readonly tokens: number
}

/** A job as submitted. */
export interface Submission {
  readonly id: string
  readonly host: string
  /** Name of the route. */
  readonly route: string
  /** Path prefix of the route, which with the host names it when its name changes. */
  readonly pathPrefix: string
  /** Time of day at which the job was accepted, in milliseconds. */
  readonly acceptedAt: number
  /** Time of day from which items may be given up, in milliseconds; Infinity for never. */
  readonly giveUpAt: number
  readonly items: readonly SubmittedItem[]
}

/** Reference to an item. */
export interface ItemReference {
  readonly job: string
  readonly item: string
}

/** What an item without a result has produced, as far as it outlives the leader that runs it. */
export interface SavedProgress {
  /** Data of the events in order. */
  readonly data: readonly string[]
  /** Id of the last of these events. */
  readonly lastEvent: number
}

/** Progress of an item since it was saved last. */
export interface ProgressChunk extends ItemReference, SavedProgress {
  /** Events of the item before this piece. */
  readonly from: number
}
