/**
 * Messages between the leading control host, which plans the runs of items, and the executors, which perform them. The
 * leader describes the runs that an executor is to have, not the changes, so a lost message needs no repetition.
 * @module
 */
import type { BackendServerTarget } from '../../connection/backendServerClient.ts'
import type { RunEnd } from '../../request/submittedItemRun.ts'
import type { ItemReference, ProgressChunk, SubmittedItem } from '../jobs/submission.ts'

/** Identifies a run of an item; unique over all leaders. */
export type RunId = string

/**
 * Names a run in the saved progress whose events were discarded. The name differs from that of the run, since a chunk of the same run never
 * removes events.
 * @param run - the run
 * @returns the name
 */
export function nameDiscardedRun (run: RunId): string {
  return `${run} discarded`
}

/** A run that an executor performs, as described to a leader that did not assign it. */
export interface RunReference extends ItemReference {
  readonly run: RunId
  /** Id of the backend server. */
  readonly server: string
  /** Version of the server's software, as in the assignment; undefined from an executor or a leader of a version that did not name it. */
  readonly softwareVersion?: string | undefined
  /** Number of events of the item that precede the next report of the run; undefined from an executor of a version that did not name it. */
  readonly from?: number | undefined
}

/** A run that an executor is to perform. */
export interface RunAssignment {
  readonly run: RunId
  readonly job: string
  readonly item: SubmittedItem
  /** Host of the route, which the request names. */
  readonly host: string
  /** Name of the client account that the job belongs to; undefined if it belongs to none. */
  readonly account?: string | undefined
  readonly target: BackendServerTarget
  /** Time of day at which the backend server started, in milliseconds; 0 if it does not report one. */
  readonly startedAt: number
  /** Version of the server's software; undefined if it is not known, or from a leader of a version that did not name it. */
  readonly softwareVersion?: string | undefined
  /** Number of saved events of the item after which the run resumes; 0 if the run begins anew. */
  readonly savedEvents: number
  /** Size of the data of these events, in characters; undefined from a leader of a version that did not name it. */
  readonly savedCharacters?: number | undefined
  /** Id of the last saved event. */
  readonly lastEvent: number | undefined
}

/** A long poll of an executor. */
export interface RunPoll {
  /** Identifies one start of the executor's process. */
  readonly holder: string
  readonly name: string
  readonly availabilityZone: string
  /** Whether the host performs runs only while there is no other executor. */
  readonly isFallback: boolean
  /** Whether the executor shuts down and accepts no further runs. */
  readonly isDraining: boolean
  /** The leadership (leader and term) that answered the last poll; empty before the first. */
  readonly leadership: string
  /** Runs in progress. */
  readonly runs: readonly RunId[]
  /** Runs that were stopped or have ended, and whose report the leader has not accepted yet. */
  readonly ending: readonly RunId[]
  /** Descriptions of all these runs; present when the leader has asked for them. */
  readonly references?: readonly RunReference[] | undefined
}

/** The response to a long poll of an executor. */
export interface RunUpdate {
  readonly leadership: string
  /** Runs to start. */
  readonly starts: readonly RunAssignment[]
  /** Runs to stop. */
  readonly stops: readonly RunId[]
  /** Whether the leader does not know this executor and needs the descriptions of its runs. */
  readonly needsReferences: boolean
}

/** New events of a run, and its end if it has ended. */
export interface RunReport extends ProgressChunk {
  readonly run: RunId
  readonly end: RunEnd | undefined
  /** Whether the run failed before anything was sent. */
  readonly isUnreachable: boolean
  /**
   * Whether the run had more output than the item can have, or another software version may have written it; the leader discards what it has
   * saved of the run.
   */
  readonly isExcessive?: boolean | undefined
  /** Duration of the run so far, in milliseconds. */
  readonly durationMs: number
}

/** Reports of an executor. */
export interface RunReports {
  readonly holder: string
  readonly reports: readonly RunReport[]
}
