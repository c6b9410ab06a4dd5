/**
 * The long poll by which an entry host keeps its session with control.
 * @module
 */
import type { Configuration } from '../../version/tables.ts'
import type { EntryHost } from './sessions.ts'

/** How long control holds a poll without news, in milliseconds. */
export const longPollMs = 1_000

/** A poll. */
export interface WatchRequest {
  readonly entryHost: EntryHost
  /** Version in force on the entry host. */
  readonly version: number
  /** Index of the log up to which the entry host has stopped everything that was cancelled. */
  readonly stoppedIndex: number
  /** Cancelled jobs of the last answer; only further ones are news. */
  readonly knownCancelled: readonly string[]
  /** Revision of the list of entry hosts that it has. */
  readonly directoryRevision: string
  /** Ask for an answer at once instead of holding the poll. */
  readonly immediate: boolean
}

/** The answer to a poll, given after the leadership was confirmed. */
export interface WatchResponse {
  /** Version of the leader, at least as new as every change accepted before the poll was sent. */
  readonly version: number
  /** Present when newer than the version in the request. */
  readonly configuration?: Configuration
  /** Present when the list changed. */
  readonly entryHosts?: readonly EntryHost[]
  readonly directoryRevision: string
  readonly appliedIndex: number
  /** Cancelled jobs of which this entry host still has items. */
  readonly cancelledJobs: readonly string[]
}
