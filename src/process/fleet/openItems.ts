/**
 * The items without a result, with their progress and retry state, as the leader tracks them.
 * @module
 */
import type { ItemProgress } from '../../request/submittedItemRun.ts'
import { isSubmissionClosed, type SubmissionRecord, type Submissions } from '../jobs/submissions.ts'
import type { SubmittedItem } from '../jobs/submission.ts'

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
  /** Id of the backend server. */
  readonly server: string
  readonly controller: AbortController
}

/** An item without a result. */
export interface OpenItem {
  /** Id of the job and id of the item, separated by a space. */
  readonly key: string
  readonly record: SubmissionRecord
  readonly item: SubmittedItem
  readonly progress: ItemProgress
  /** Number of events saved in the replicated log. */
  savedEvents: number
  /** Runs that failed on the server, also under earlier leaders. */
  failures: number
  /** Whether the last failed run is not durable yet. */
  isFailureUnrecorded: boolean
  /** Runs that the server refused or that were cut short. */
  interruptions: number
  /** Total time of all runs so far, in milliseconds. */
  runTimeMs: number
  /** Monotonic time before which the item is not started again, in milliseconds. */
  startAfter: number
  run: ActiveRun | undefined
  /** Whether the end of the item is being recorded. */
  isEnding: boolean
}

/** The items without a result. */
export interface OpenItems {
  /**
   * Finds an item.
   * @param key - id of the job and id of the item, separated by a space
   * @returns the item, or undefined when it is not open
   */
  find (key: string): OpenItem | undefined
  /**
   * Adds the items of new jobs; removes items that have a result or whose job has ended, and aborts their runs.
   * @param submissions - the jobs in the replicated state
   */
  synchronize (submissions: Submissions): void
  /**
   * Lists the items that may be started.
   * @param now - monotonic time in milliseconds
   * @returns the items without a run whose start is not delayed and of which neither an end nor a failure is being recorded
   */
  startable (now: number): OpenItem[]
  /** Lists the items with a run in progress that has not been aborted. */
  running (): OpenItem[]
  /** Lists all items. */
  list (): OpenItem[]
  /**
   * Lists the items that may be given up.
   * @param wallTime - time of day in milliseconds
   * @returns the items whose give-up time has passed and whose end is not being recorded
   */
  pastGiveUpTime (wallTime: number): OpenItem[]
  /** Aborts all runs and removes all items. */
  clear (): void
}

/**
 * Creates an empty collection.
 * @returns the collection
 */
export function createOpenItems (): OpenItems {
  const open = new Map<string, OpenItem>()

  function add (record: SubmissionRecord, item: SubmittedItem): void {
    const key = `${record.submission.id} ${item.id}`
    if (open.has(key)) return
    // A previous leader may have saved progress of the item.
    const saved = record.progress.get(item.id)
    const progress = { data: [...saved?.data ?? []], lastEvent: saved?.lastEvent }
    open.set(key, {
      key, record, item, progress, savedEvents: progress.data.length, failures: record.failures.get(item.id) ?? 0, isFailureUnrecorded: false, interruptions: 0, runTimeMs: 0, startAfter: 0, run: undefined, isEnding: false
    })
  }

  return {
    find: key => open.get(key),
    synchronize (submissions) {
      for (const record of submissions.jobs.values()) {
        if (isSubmissionClosed(record)) continue
        for (const item of record.open.values()) add(record, item)
      }
      for (const [key, entry] of open) {
        if (!entry.record.ended && entry.record.open.has(entry.item.id)) continue
        entry.run?.controller.abort()
        open.delete(key)
      }
    },
    startable: now => [...open.values()].filter(entry => entry.run === undefined && !entry.isEnding && !entry.isFailureUnrecorded && entry.startAfter <= now),
    list: () => [...open.values()],
    running: () => [...open.values()].filter(entry => entry.run !== undefined && !entry.run.controller.signal.aborted),
    pastGiveUpTime: wallTime => [...open.values()].filter(entry => !entry.isEnding && wallTime >= entry.record.submission.giveUpAt),
    clear () {
      for (const entry of open.values()) entry.run?.controller.abort()
      open.clear()
    }
  }
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
 * @param entry - the item; its failure count includes this run
 * @param now - monotonic time in milliseconds
 */
export function delayStartAfterFailure (entry: OpenItem, now: number): void {
  entry.startAfter = now + initialFailureDelayMs * failureDelayFactor ** (entry.failures - 1)
}
