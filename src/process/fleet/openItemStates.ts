/**
 * What the items without a result wait for, as the leader tracks them; written to the log at intervals, so that an item that is neither run
 * nor ended can be explained from its id.
 * @module
 */
import type { Logger } from '../program/logger.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { OpenItem } from './openItems.ts'

/** What an open item waits for. */
export const OpenItemState = {
  /** Its executor lists its run. */
  Running: 'running',
  /** Its run was sent to an executor that has not listed it yet. */
  Sent: 'sent',
  /** The leader counts it as running, but its executor no longer lists the run. */
  Unlisted: 'unlisted',
  /** Its run was interrupted, and the executor has not reported the end of the run. */
  Stopping: 'stopping',
  /** Its end is being recorded. */
  Ending: 'ending',
  /** Its next start is delayed after a run that was cut short, refused or failed. */
  Delayed: 'delayed',
  /** Its prompt has a blocked part. */
  Blocked: 'blocked',
  /** It may be started. */
  Startable: 'startable'
} as const
export type OpenItemState = typeof OpenItemState[keyof typeof OpenItemState]

/** Number of items that a summary names. */
const maxNamedItems = 2

/** What the state of an item depends on beside the item. */
export interface OpenItemContext {
  /** Monotonic time, in milliseconds. */
  readonly now: number
  /** Returns whether the executor of a run listed it in its latest poll; undefined if it has not listed it so far. */
  readonly isListed: (entry: OpenItem) => boolean | undefined
  readonly isBlocked: (entry: OpenItem) => boolean
}

/** Counts of open items by state, and the ones that were accepted first. */
export interface OpenItemSummary {
  readonly total: number
  readonly counts: ReadonlyMap<OpenItemState, number>
  /** Job, item, state and executor of the items that were accepted first. */
  readonly oldest: readonly string[]
}

/**
 * Determines what an open item waits for.
 * @param entry - the item
 * @param context - what its state depends on
 * @returns the state
 */
export function findOpenItemState (entry: OpenItem, { now, isListed, isBlocked }: OpenItemContext): OpenItemState {
  if (entry.isEnding) return OpenItemState.Ending
  if (entry.run !== undefined) {
    const listed = isListed(entry)
    if (listed === undefined) return OpenItemState.Sent
    if (!listed) return OpenItemState.Unlisted
    return entry.run.isInterrupted ? OpenItemState.Stopping : OpenItemState.Running
  }
  if (entry.startAfter > now) return OpenItemState.Delayed
  return isBlocked(entry) ? OpenItemState.Blocked : OpenItemState.Startable
}

/**
 * Summarizes the open items.
 * @param entries - the items, in the order in which their jobs were accepted
 * @param context - what their state depends on
 * @returns the summary
 */
export function summarizeOpenItems (entries: readonly OpenItem[], context: OpenItemContext): OpenItemSummary {
  const counts = new Map<OpenItemState, number>()
  const oldest: string[] = []
  for (const entry of entries) {
    const state = findOpenItemState(entry, context)
    counts.set(state, (counts.get(state) ?? 0) + 1)
    if (oldest.length < maxNamedItems) oldest.push([entry.key, state, entry.run?.id ?? '', entry.run?.executor ?? ''].join(' ').trimEnd())
  }
  return { total: entries.length, counts, oldest }
}

/**
 * Writes the summary of the open items to the log, if there are any.
 * @param logger - receives the event
 * @param entries - the items, in the order in which their jobs were accepted
 * @param context - what their state depends on
 */
export function logOpenItems (logger: Logger, entries: readonly OpenItem[], context: OpenItemContext): void {
  const { total, counts, oldest } = summarizeOpenItems(entries, context)
  if (total > 0) logger.write(LogEvents.openItems, { value: total, detail: oldest.join('; '), inputs: Object.fromEntries(counts) })
}
