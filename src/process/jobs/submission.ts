/**
 * A job as it was submitted to a gateway, and the saved progress of its items.
 * @module
 */

/** An item as submitted. */
export interface SubmittedItem {
  readonly id: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  /** Tokens of the prompt plus the maximum number of output tokens. */
  readonly tokens: number
}

/** A job as submitted, without its items. */
export interface SubmissionHeader {
  readonly id: string
  readonly host: string
  /** Name of the route. */
  readonly route: string
  /** Path prefix of the route. Together with the host it identifies the route even if the name changes. */
  readonly pathPrefix: string
  /** Wall-clock time at which the job was accepted, in milliseconds since the epoch. */
  readonly acceptedAt: number
  /** Wall-clock time from which items may be abandoned, in milliseconds since the epoch; Infinity for never. */
  readonly giveUpAt: number
  /** Name of the client account that the job belongs to; undefined if it belongs to none, as in a log of a version without accounts. */
  readonly account?: string | undefined
}

/** A job as submitted. */
export interface Submission extends SubmissionHeader {
  readonly items: readonly SubmittedItem[]
}

/** Identifies an item. */
export interface ItemReference {
  readonly job: string
  readonly item: string
}

/** Output of an unfinished item that survives a change of leader. */
export interface SavedProgress {
  /** Data of the events, in order. */
  readonly data: readonly string[]
  /** Id of the last event in `data`. */
  readonly lastEvent: number
  /** Run that produced the last events; undefined in a log of a version that did not record it. */
  readonly run?: string | undefined
  /** Version of the software that produced all events; undefined if it is not known, as in a log of a version that did not record it. */
  readonly softwareVersion?: string | undefined
}

/** Progress of an item since the last save. */
export interface ProgressChunk extends ItemReference, SavedProgress {
  /** Number of events of the item that precede this chunk. */
  readonly from: number
}
