/**
 * Records what executors report on their runs: new events, ends of items and failed runs. A report is accepted only once it is
 * in the replicated log, so that an executor repeats it to the next leader otherwise.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { RunEnd } from '../../request/submittedItemRun.ts'
import type { ProgressChunk } from '../jobs/submission.ts'
import { isFailedRun } from '../jobs/submissions.ts'
import type { Replica } from '../log/replica.ts'
import { assertNever } from '../program/assert.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { type Command, CommandKind, Ending, type FailedItem, type FinishedItem } from '../state/commands.ts'
import { ItemEndCause } from './itemEndRecorder.ts'
import { type ActiveRun, createItemKey, type OpenItem, type OpenItems } from './openItems.ts'
import { nameDiscardedRun, type RunReport, type RunReports } from './runMessages.ts'

/** A report on the current run of an open item. */
export interface CurrentReport {
  readonly entry: OpenItem
  readonly run: ActiveRun
  readonly report: RunReport
  /** Why the report ends the item; undefined if it does not. */
  readonly cause: ItemEndCause | undefined
  /** Number of failed runs of the item, including this one. */
  readonly failures: number
}

/** Dependencies of the recording. */
export interface RunReportServices {
  readonly items: OpenItems
  readonly replica: Pick<Replica, 'propose'>
  /** Returns the maximum number of failed runs of an item. */
  readonly getAttempts: (entry: OpenItem) => number
  /** Called for each run that has ended, once this is in the log. */
  readonly handleEnd: (report: CurrentReport) => void
  /** Removes the run of an item. */
  readonly release: (entry: OpenItem) => void
}

/** Runs the recording of a report after that of the previous report of the same executor. */
export type ReportQueue = (holder: string, record: () => Promise<Result<void, Failure>>) => Promise<Result<void, Failure>>

/**
 * Creates a queue of reports. An executor whose call has timed out sends the report again while the first one is still being recorded; in its
 * turn the repetition finds what is recorded already, and adds no further entry to the log.
 * @returns the queue
 */
export function createReportQueue (): ReportQueue {
  const last = new Map<string, Promise<unknown>>()
  return async (holder, record) => {
    const previous = last.get(holder)
    const recorded = previous === undefined ? record() : previous.then(record, record)
    last.set(holder, recorded)
    try {
      return await recorded
    } finally {
      if (last.get(holder) === recorded) last.delete(holder)
    }
  }
}

/**
 * Records reports. Reports on runs that the leader does not know are ignored.
 * @param reports - the reports of an executor
 * @param services - dependencies
 * @returns nothing once the reports are in the log, or a failure
 */
export async function recordRunReports ({ reports }: RunReports, services: RunReportServices): Promise<Result<void, Failure>> {
  const current = findCurrent(reports, services)
  if (current.some(({ entry }) => entry.isEnding)) return err(createFailure(FailureReason.Rejected, { step: Step.Dispatch }, 'the end of an item is being recorded'))
  for (const { entry, cause } of current) entry.isEnding = cause !== undefined
  const outcomes = await Promise.all(createCommands(current).map(async command => await services.replica.propose(command)))
  for (const { entry } of current) {
    entry.isEnding = false
    // The job was ended while the report was being recorded.
    if (services.items.find(entry.key) === undefined && outcomes.some(outcome => outcome.isErr())) services.release(entry)
  }
  for (const outcome of outcomes) {
    if (outcome.isErr()) return err(outcome.error)
  }
  for (const ended of current) {
    // It may have been released and adopted again meanwhile.
    const { run } = ended.entry
    if (ended.report.end !== undefined && run?.id === ended.run.id) services.handleEnd({ ...ended, run })
  }
  return ok(undefined)
}

function findCurrent (reports: readonly RunReport[], { items, getAttempts }: RunReportServices): CurrentReport[] {
  const current: CurrentReport[] = []
  for (const report of reports) {
    const entry = items.find(createItemKey(report))
    if (entry?.run?.id !== report.run) continue
    const isNewFailure = report.end === RunEnd.Failed && !isFailedRun(entry.record, report.item, report.run)
    const failures = (entry.record.failures.get(report.item) ?? 0) + (isNewFailure ? 1 : 0)
    current.push({ entry, run: entry.run, report, failures, cause: findCause(report.end, failures, getAttempts(entry)) })
  }
  return current
}

function findCause (end: RunEnd | undefined, failures: number, attempts: number): ItemEndCause | undefined {
  switch (end) {
    case RunEnd.Complete: return ItemEndCause.Done
    case RunEnd.Impossible: return ItemEndCause.Impossible
    case RunEnd.Failed: return failures >= attempts ? ItemEndCause.AttemptsUsedUp : undefined
    case RunEnd.NotRun: return undefined
    case RunEnd.Interrupted: return undefined
    case undefined: return undefined
    default: return assertNever(end)
  }
}

// The commands are proposed together, so the events of a run precede its end in the log.
function createCommands (current: readonly CurrentReport[]): Command[] {
  const pieces: ProgressChunk[] = []
  const results: FinishedItem[] = []
  const failedItems: FailedItem[] = []
  for (const { entry, run: { softwareVersion }, report: { run, job, item, from, data, lastEvent, end, isExcessive }, cause, failures } of current) {
    const savedRun = entry.record.progress.get(item)
    // A report that is sent again may have been recorded meanwhile.
    const isSaved = savedRun?.run === run && from + data.length <= savedRun.data.length
    // The result refers to the saved events, so a whole output without events replaces those of earlier runs, too.
    const isEmptyOutput = cause === ItemEndCause.Done && from + data.length === 0
    const piece: ProgressChunk = { run, job, item, from, data, lastEvent, ...(softwareVersion === undefined ? {} : { softwareVersion }) }
    if (isExcessive === true) pieces.push({ ...piece, run: nameDiscardedRun(run) })
    else if ((data.length > 0 || isEmptyOutput) && !isSaved) pieces.push(piece)
    if (cause === ItemEndCause.Done) results.push({ job, item, ending: Ending.Done, output: '', savedEvents: from + data.length })
    else if (cause !== undefined) results.push({ job, item, ending: Ending.Failed, output: '' })
    else if (end === RunEnd.Failed) failedItems.push({ job, item, count: failures, run })
  }
  const commands: Command[] = []
  if (pieces.length > 0) commands.push({ kind: CommandKind.SaveProgress, pieces })
  if (results.length > 0) commands.push({ kind: CommandKind.FinishItems, results })
  if (failedItems.length > 0) commands.push({ kind: CommandKind.RecordFailures, failures: failedItems })
  return commands
}
