/**
 * The items without a result, with their current run and retry state, as the leader tracks them.
 * @module
 */
import { isSubmissionClosed, type SubmissionRecord, type Submissions } from '../jobs/submissions.ts'
import type { ItemReference, SubmittedItem } from '../jobs/submission.ts'
import type { RunId } from './runMessages.ts'

/** Increase of the delay before the next start with each run that the server refused or that was cut short, in milliseconds. */
const interruptionDelayMs = 150

/** Upper limit of that delay, in milliseconds. */
const maxInterruptionDelayMs = 2_000

/** Delay after the first failed run, in milliseconds; attempts are limited, and server failures last a few seconds. */
const initialFailureDelayMs = 1_000

/** Factor by which the delay grows with each further failed run (see commit 3723dc4). */
const failureDelayFactor = 3

/** A run in progress. */
export interface ActiveRun {
  readonly id: RunId
  /** Id of the backend server. */
  readonly server: string
  /** Identifies the process start of the executor. */
  readonly executor: string
  /** Version of the server's software when the run was started; undefined if it is not known. */
  readonly softwareVersion: string | undefined
  /** Whether output of the item was reported, in this run or an earlier one that it continues. */
  hasOutput: boolean
  /** Whether output of this run was reported; undefined for an adopted run, of which a former leader may have had a report. */
  hasDelivered?: boolean
  /** Whether the run was interrupted and has not been reported as ended yet. */
  isInterrupted: boolean
}

/** An item without a result. */
export interface OpenItem {
  /** Identifies the item; see `createItemKey`. */
  readonly key: string
  readonly record: SubmissionRecord
  readonly item: SubmittedItem
  /** Runs that the server refused or that were cut short. */
  interruptions: number
  /** Total time of all runs so far, in milliseconds. */
  runTimeMs: number
  /** Monotonic time before which the item is not started again, in milliseconds. */
  startAfter: number
  /** Monotonic time from which the item waits for a server at which it can resume, in milliseconds; undefined if it does not. */
  waitingSince: number | undefined
  /** Runs since the last one that began the item anew, including this one; undefined if none has under this leader. */
  currentRuns: Set<RunId> | undefined
  run: ActiveRun | undefined
  /** Whether the end of the item is being recorded. */
  isEnding: boolean
}

/** The items without a result. */
export interface OpenItems {
  /**
   * Finds an item.
   * @param key - key of the item; see `createItemKey`
   * @returns the item, or undefined when it is not open
   */
  find (key: string): OpenItem | undefined
  /**
   * Adds the items of new jobs, and removes items that have a result or whose job has ended.
   * @param submissions - the jobs in the replicated state
   * @returns the removed items
   */
  synchronize (submissions: Submissions): OpenItem[]
  /**
   * Lists the items that may be started.
   * @param now - monotonic time in milliseconds
   * @returns the items without a run whose start is not delayed and whose end is not being recorded
   */
  startable (now: number): OpenItem[]
  /** Lists all items, those of the job that was accepted first at the start. */
  list (): OpenItem[]
  /** Lists the items with a run that has not been interrupted. */
  running (): OpenItem[]
  /**
   * Lists the items that may be given up.
   * @param wallTime - time of day in milliseconds
   * @returns the items whose give-up time has passed and whose end is not being recorded
   */
  pastGiveUpTime (wallTime: number): OpenItem[]
  /** Removes all items. */
  clear (): void
}

/**
 * Creates an empty collection.
 * @returns the collection
 */
export function createOpenItems (): OpenItems {
  const open = new Map<string, OpenItem>()
  // Jobs whose items were added; a job never gets further items.
  let knownJobs = new WeakSet<SubmissionRecord>()

  function add (record: SubmissionRecord, item: SubmittedItem): void {
    const key = createItemKey({ job: record.submission.id, item: item.id })
    open.set(key, { key, record, item, interruptions: 0, runTimeMs: 0, startAfter: 0, waitingSince: undefined, currentRuns: undefined, run: undefined, isEnding: false })
  }

  return {
    find: key => open.get(key),
    synchronize (submissions) {
      for (const record of submissions.jobs.values()) {
        if (knownJobs.has(record) || isSubmissionClosed(record)) continue
        knownJobs.add(record)
        for (const item of record.open.values()) add(record, item)
      }
      const removed: OpenItem[] = []
      for (const [key, entry] of open) {
        if (!entry.record.ended && entry.record.open.has(entry.item.id)) continue
        open.delete(key)
        removed.push(entry)
      }
      return removed
    },
    startable: now => [...open.values()].filter(entry => entry.run === undefined && !entry.isEnding && entry.startAfter <= now),
    list: () => [...open.values()],
    running: () => [...open.values()].filter(entry => entry.run?.isInterrupted === false),
    pastGiveUpTime: wallTime => [...open.values()].filter(entry => !entry.isEnding && wallTime >= entry.record.submission.giveUpAt),
    clear () {
      open.clear()
      knownJobs = new WeakSet()
    }
  }
}

/**
 * Creates the key of an item.
 * @param reference - job and item
 * @returns id of the job, with a line feed in place of each space, and id of the item, separated by a space; ids have no line feeds
 */
export function createItemKey ({ job, item }: ItemReference): string {
  return `${job.replaceAll(' ', '\n')} ${item}`
}

/**
 * Counts the saved events of an item.
 * @param entry - the item
 * @returns the number of events that are saved
 */
export function countSavedEvents ({ record, item }: OpenItem): number {
  return record.progress.get(item.id)?.data.length ?? 0
}

/**
 * Delays the next start of an item that was refused or cut short.
 * @param entry - the item
 * @param count - number of such runs so far
 * @param now - monotonic time in milliseconds
 */
export function delayStartAfterInterruption (entry: OpenItem, count: number, now: number): void {
  entry.startAfter = now + Math.min(maxInterruptionDelayMs, interruptionDelayMs * count)
}

/**
 * Delays the next start of an item whose run failed on the server.
 * @param entry - the item
 * @param failures - number of its failed runs, including this one
 * @param now - monotonic time in milliseconds
 */
export function delayStartAfterFailure (entry: OpenItem, failures: number, now: number): void {
  entry.startAfter = now + initialFailureDelayMs * failureDelayFactor ** (failures - 1)
}
