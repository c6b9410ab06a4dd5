/**
 * Performs runs of items on an executor: sends their requests, collects their events, and reports both until the leader has
 * accepted the reports.
 * @module
 */
import type { BackendServerClient } from '../../connection/backendServerClient.ts'
import { type ItemProgress, RunEnd, type RunOutcome, runSubmittedItem } from '../../request/submittedItemRun.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { countCharacters } from '../program/chunk.ts'
import { LogEvents } from '../program/logEvents.ts'
import { ErrorPlace, reportUnexpectedError } from '../program/unexpectedErrors.ts'
import { Counter } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import { ServerPhase } from './backendServerRegistry.ts'
import type { FleetView } from './fleetView.ts'
import type { ServerStart } from './leavingServers.ts'
import type { RunAssignment, RunId, RunReference, RunReport } from './runMessages.ts'

/**
 * Interval between two reports of new events of a run, in milliseconds. A lost executor costs each of its items the events of
 * one interval; each report costs a log entry (see decision 0011).
 */
const progressIntervalMs = 1_500

/** Minimum number of new events for a report on a run in progress; an item has a few hundred events (replay of inc-5589). */
const minReportedEvents = 8

/** Number of characters after which no further run is added to the reports of one call, so that ends are not delayed behind events. */
const maxReportCharacters = 64 * 1024

/**
 * Maximum size of the output that the leader has not accepted yet, of all runs together, in characters. A character takes up to two bytes
 * of the heap, which has 48 MB on the first sites.
 */
const maxHeldCharacters = 4 * 1024 * 1024

/** Longest time without an event of a run, in milliseconds; several times the longest pause that counts as on time. */
const eventIdleTimeoutMs = 2_000

/** Dependencies of the executor. */
export interface ItemExecutorInputs extends Omit<ProcessServices, 'random'> {
  readonly client: BackendServerClient
  readonly view: FleetView
}

/** Runs of items on this host. */
export interface ItemExecutor {
  /** Notified when a run has ended. */
  readonly changed: Condition
  /**
   * Starts a run, unless it is known already.
   * @param assignment - the run
   */
  start (assignment: RunAssignment): void
  /**
   * Stops a run. It remains until its report was accepted.
   * @param run - the run
   */
  stop (run: RunId): void
  /** Stops all runs. */
  stopAll (): void
  /** Lists the runs in progress. */
  listRunning (): RunId[]
  /** Lists the runs that were stopped or have ended, and whose report was not accepted yet. */
  listEnding (): RunId[]
  /** Describes all runs. */
  describe (): RunReference[]
  /**
   * Creates the reports that are due.
   * @returns reports of ended runs, and of runs with enough new events
   */
  createReports (): RunReport[]
  /**
   * Discards what the leader has accepted.
   * @param reports - the accepted reports
   */
  acceptReports (reports: readonly RunReport[]): void
}

interface ExecutorRun {
  readonly assignment: RunAssignment
  readonly controller: AbortController
  /** Events that were not accepted yet. */
  readonly progress: ItemProgress
  /** Number of saved events before these. */
  savedEvents: number
  readonly startedAt: number
  /** Monotonic time of the last accepted report, in milliseconds. */
  reportedAt: number
  /** Set when the run has ended. */
  outcome: RunOutcome | undefined
  endedAt: number
}

/**
 * Creates an executor without runs.
 * @param inputs - dependencies
 * @returns the executor
 */
export function createItemExecutor (inputs: ItemExecutorInputs): ItemExecutor {
  const { client, view, clock, logger, metrics, lifecycle } = inputs
  const runs = new Map<RunId, ExecutorRun>()
  // Size of the progress of all runs.
  let heldCharacters = 0
  const changed = createCondition(clock)

  async function perform (run: ExecutorRun, closeSignal: AbortSignal): Promise<void> {
    const { assignment, controller, progress, startedAt } = run
    const { item, host, target } = assignment
    if (view.requestLimits.find(target.id) !== undefined) metrics.count(Counter.LimitedRequests, 'item')
    const server = { id: target.id, startedAt: assignment.startedAt }
    run.outcome = isLeaving(server) || isOutdated(assignment)
      ? { end: RunEnd.NotRun }
      : await runSubmittedItem({
        item,
        host,
        account: assignment.account,
        target,
        client,
        progress,
        saved: { events: assignment.savedEvents, characters: assignment.savedCharacters ?? 0 },
        reserve,
        idleTimeoutMs: eventIdleTimeoutMs,
        recordResponse ({ requestLimit, isLeaving }) {
          view.requestLimits.record(target.id, requestLimit, startedAt)
          view.leavingServers.record(server, isLeaving)
        },
        signal: AbortSignal.any([closeSignal, controller.signal])
      })
    run.outcome = withoutForeignOutput(run, run.outcome)
    run.endedAt = clock.now()
    const { end, failure, isExcessive } = run.outcome
    if (isExcessive === true) discardProgress(run)
    metrics.count(Counter.Items, end)
    if (failure !== undefined && !controller.signal.aborted) {
      logger.write(LogEvents.attemptFailed, { requestId: item.id, failure, inputs: { server: target.id, events: run.savedEvents + progress.data.length } })
    }
    changed.notify()
  }

  function reserve (characters: number): boolean {
    if (heldCharacters + characters > maxHeldCharacters) return false
    heldCharacters += characters
    return true
  }

  function discardProgress ({ assignment, progress }: ExecutorRun): void {
    heldCharacters -= countCharacters(progress.data)
    progress.data.length = 0
    progress.lastEvent = assignment.lastEvent
  }

  // The leader may have planned the run before it learned that the server leaves. A server that this host does not know yet is new.
  function isLeaving (server: ServerStart): boolean {
    if (view.leavingServers.has(server)) {
      metrics.count(Counter.WithheldRequests, 'item')
      return true
    }
    const record = view.findServer(server.id)
    return record !== undefined && record.phase !== ServerPhase.Ready
  }

  // The leader may have planned the run before it learned of a later start of the server.
  function isOutdated (assignment: RunAssignment): boolean {
    const record = view.findServer(assignment.target.id)
    return record !== undefined && (record.startedAt > assignment.startedAt || isOtherVersion(assignment))
  }

  // Whether another version than that of the assignment, with which its output is stored, runs at the server by now. The list of this host may
  // also be older than that of the leader.
  function isOtherVersion ({ target, startedAt, softwareVersion }: RunAssignment): boolean {
    const record = view.findServer(target.id)
    if (softwareVersion === undefined || record === undefined || record.startedAt < startedAt) return false
    return record.softwareVersion === undefined ? record.startedAt > startedAt : record.softwareVersion !== softwareVersion
  }

  // Nothing tells the events of one start of a server from those of the next, so none of the run is stored when the version may have changed.
  function withoutForeignOutput ({ assignment, progress, savedEvents }: ExecutorRun, outcome: RunOutcome): RunOutcome {
    const hasOutput = savedEvents + progress.data.length > assignment.savedEvents
    if (!isOtherVersion(assignment) || (outcome.end !== RunEnd.Complete && !hasOutput)) return outcome
    return { ...outcome, end: RunEnd.Interrupted, isExcessive: hasOutput }
  }

  function isReportDue ({ assignment, outcome, progress, reportedAt }: ExecutorRun, now: number): boolean {
    if (outcome !== undefined) return true
    if (isOtherVersion(assignment)) return false
    return progress.data.length >= minReportedEvents && now - reportedAt >= progressIntervalMs
  }

  function createReport ({ assignment, progress, savedEvents, outcome, startedAt, endedAt }: ExecutorRun): RunReport {
    const { run, job, item } = assignment
    return {
      run,
      job,
      item: item.id,
      from: outcome?.isExcessive === true ? assignment.savedEvents : savedEvents,
      data: [...progress.data],
      lastEvent: progress.lastEvent ?? -1,
      end: outcome?.end,
      isUnreachable: outcome?.isUnreachable === true,
      isExcessive: outcome?.isExcessive === true,
      durationMs: Math.round((outcome === undefined ? clock.now() : endedAt) - startedAt)
    }
  }

  function isRunning ({ outcome, controller }: ExecutorRun): boolean {
    return outcome === undefined && !controller.signal.aborted
  }

  return {
    changed,
    start (assignment) {
      if (runs.has(assignment.run)) return
      const now = clock.now()
      const run: ExecutorRun = {
        assignment,
        controller: new AbortController(),
        progress: { data: [], lastEvent: assignment.lastEvent },
        savedEvents: assignment.savedEvents,
        startedAt: now,
        reportedAt: now,
        outcome: undefined,
        endedAt: now
      }
      runs.set(assignment.run, run)
      lifecycle.run(signal => perform(run, signal).catch(error => {
        reportUnexpectedError({ logger, metrics }, ErrorPlace.ItemRun, error, assignment.item.id)
        run.outcome = { end: RunEnd.Interrupted }
        run.endedAt = clock.now()
        changed.notify()
      }))
    },
    stop: run => runs.get(run)?.controller.abort(),
    stopAll () {
      for (const { controller } of runs.values()) controller.abort()
    },
    listRunning: () => [...runs.values()].filter(isRunning).map(run => run.assignment.run),
    listEnding: () => [...runs.values()].filter(run => !isRunning(run)).map(run => run.assignment.run),
    describe: () => [...runs.values()].map(({ assignment: { run, job, item, target, softwareVersion }, savedEvents }) => ({
      run, job, item: item.id, server: target.id, softwareVersion, from: savedEvents
    })),
    createReports () {
      const now = clock.now()
      const reports: RunReport[] = []
      let characters = 0
      for (const run of runs.values()) {
        if (!isReportDue(run, now)) continue
        reports.push(createReport(run))
        characters += countCharacters(run.progress.data)
        if (characters >= maxReportCharacters) break
      }
      return reports
    },
    acceptReports (reports) {
      const now = clock.now()
      for (const { run: id, data, end } of reports) {
        const run = runs.get(id)
        if (run === undefined) continue
        heldCharacters -= countCharacters(run.progress.data.splice(0, data.length))
        run.savedEvents += data.length
        run.reportedAt = now
        if (end !== undefined) runs.delete(id)
      }
    }
  }
}
