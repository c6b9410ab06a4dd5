/**
 * Messages of the long poll by which an entry host keeps its session with control alive and receives updates.
 * @module
 */
import type { Configuration } from '../../version/tables.ts'
import type { EntryHost } from './sessions.ts'

/** How long control holds a poll for which there are no updates, in milliseconds. */
export const longPollMs = 1_000

/** A long poll of an entry host. */
export interface WatchRequest {
  readonly entryHost: EntryHost
  /** Configuration version that is active on the entry host. */
  readonly version: number
  /** Log index up to which the entry host has stopped all cancelled work. */
  readonly stoppedIndex: number
  /** Cancelled jobs of the last response; only others count as an update. */
  readonly knownCancelled: readonly string[]
  /** Revision of the list of entry hosts that the sender has. */
  readonly directoryRevision: string
  /** Requests an immediate response instead of a long poll. */
  readonly immediate: boolean
}

/** The response to a poll, sent after the leadership was confirmed. */
export interface WatchResponse {
  /** Configuration version of the leader. It includes every change accepted before the poll was sent. */
  readonly version: number
  /** Present when newer than the version in the request. */
  readonly configuration?: Configuration
  /** Present when the list changed. */
  readonly entryHosts?: readonly EntryHost[]
  readonly directoryRevision: string
  readonly appliedIndex: number
  /** Cancelled jobs of which this entry host still holds items. */
  readonly cancelledJobs: readonly string[]
}
