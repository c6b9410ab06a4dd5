/**
 * The items without a result that the leader runs, with their progress.
 * @module
 */
import type { ItemProgress } from '../../request/submittedItemRun.ts'
import { isSubmissionClosed, type SubmissionRecord, type Submissions } from '../jobs/submissions.ts'
import type { SubmittedItem } from '../jobs/submission.ts'

/** Pause after a run that failed or was not run, in milliseconds, for each such run so far. */
const backoffMs = 150

/** Longest such pause, in milliseconds. */
const backoffLimitMs = 2_000

/** Pause after the first run that failed at its server, in milliseconds: attempts are few, and failures last some seconds. */
const failureBackoffMs = 1_000

/** How many times longer the pause is after each further failed run. With the pause, the only values of the trials (commit 3723dc4). */
const failureBackoffFactor = 3

/** A run of an item that is under way. */
export interface ItemRun {
  readonly server: string
  readonly controller: AbortController
}

/** An item without a result. */
export interface OpenItem {
  readonly key: string
  readonly record: SubmissionRecord
  readonly item: SubmittedItem
  readonly progress: ItemProgress
  /** Events that are saved in the log. */
  saved: number
  /** Runs that failed at their server. */
  failures: number
  /** Runs that their server refused, or that broke off. */
  interruptions: number
  /** Time of all runs so far, in milliseconds. */
  ranMs: number
  /** Monotonic time before which it is not started again, in milliseconds. */
  startAfter: number
  run: ItemRun | undefined
  /** Whether its end is being recorded. */
  isEnding: boolean
}

/** The items without a result. */
export interface OpenItems {
  find (key: string): OpenItem | undefined
  /** Takes in the items of new jobs and drops those that have a result or whose job was ended. */
  collect (submissions: Submissions): void
  /**
   * Lists the items that may be started.
   * @param now - monotonic time in milliseconds
   */
  startable (now: number): OpenItem[]
  /** Lists the items that run. */
  running (): OpenItem[]
  /** Lists all items. */
  list (): OpenItem[]
  /** Lists the items that may be given up. */
  givenUp (wallTime: number): OpenItem[]
  /** Ends all runs and forgets everything. */
  clear (): void
}

/**
 * Creates an empty list.
 * @returns the list
 */
export function createOpenItems (): OpenItems {
  const open = new Map<string, OpenItem>()

  function add (record: SubmissionRecord, item: SubmittedItem): void {
    const key = `${record.submission.id} ${item.id}`
    if (open.has(key)) return
    // An earlier leader may have saved what the item had produced.
    const saved = record.progress.get(item.id)
    const progress = { data: [...saved?.data ?? []], lastEvent: saved?.lastEvent }
    open.set(key, {
      key, record, item, progress, saved: progress.data.length, failures: 0, interruptions: 0, ranMs: 0, startAfter: 0, run: undefined, isEnding: false
    })
  }

  return {
    find: key => open.get(key),
    collect (submissions) {
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
    startable: now => [...open.values()].filter(entry => entry.run === undefined && !entry.isEnding && entry.startAfter <= now),
    list: () => [...open.values()],
    running: () => [...open.values()].filter(entry => entry.run !== undefined && !entry.run.controller.signal.aborted),
    givenUp: wallTime => [...open.values()].filter(entry => !entry.isEnding && wallTime >= entry.record.submission.giveUpAt),
    clear () {
      for (const entry of open.values()) entry.run?.controller.abort()
      open.clear()
    }
  }
}

/**
 * Delays the next start of an item.
 * @param entry - the item
 * @param count - how many runs of this kind it has had
 * @param now - monotonic time in milliseconds
 */
export function delayStart (entry: OpenItem, count: number, now: number): void {
  entry.startAfter = now + Math.min(backoffLimitMs, backoffMs * count)
}

/**
 * Delays the next start of an item whose run failed at its server.
 * @param entry - the item, with the failure counted
 * @param now - monotonic time in milliseconds
 */
export function delayStartAfterFailure (entry: OpenItem, now: number): void {
  entry.startAfter = now + failureBackoffMs * failureBackoffFactor ** (entry.failures - 1)
}
