/**
 * The tasks that connect an executor to the leader: one polls for the runs that the executor is to have, one reports on them.
 * @module
 */
import { createFailure, FailureReason, Step } from '../process/program/failure.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { ProcessServices } from '../process/program/processServices.ts'
import type { ItemExecutor } from '../process/fleet/itemExecutor.ts'
import type { RunPoll } from '../process/fleet/runMessages.ts'
import type { FleetClient } from './controlClient.ts'

/** Maximum delay after a failed call, in milliseconds; the delay is random so that executors don't call a new leader all at once. */
const maxRetryDelayMs = 150

/** Interval at which new events are checked for reports that are due, in milliseconds. */
const reportCheckIntervalMs = 250

/**
 * Time without a leader after which an executor stops its runs, in milliseconds. A new leader is elected and polled much
 * sooner; an executor that is cut off must not run items that were given to another one, or whose job was ended.
 */
const leaderContactTimeoutMs = 5_000

/** Dependencies of the tasks. */
export interface ExecutorLink extends Pick<ProcessServices, 'clock' | 'random' | 'logger'> {
  readonly executor: ItemExecutor
  readonly client: Pick<FleetClient, 'pollRuns' | 'reportRuns'>
  /** Describes this executor to the leader. */
  readonly describe: () => Pick<RunPoll, 'holder' | 'name' | 'availabilityZone' | 'isFallback' | 'isDraining'>
}

/**
 * Polls the leader for runs until the signal aborts.
 * @param link - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runRunPolls (link: ExecutorLink, signal: AbortSignal): Promise<void> {
  const { executor, client, clock, random, logger } = link
  let leadership = ''
  let needsReferences = false
  let contactAt = clock.now()
  while (!signal.aborted) {
    const update = await client.pollRuns({
      ...link.describe(), leadership, runs: executor.listRunning(), ending: executor.listEnding(), references: needsReferences ? executor.describe() : undefined
    })
    if (signal.aborted) return
    if (update.isErr()) {
      if (clock.now() - contactAt > leaderContactTimeoutMs && executor.listRunning().length > 0) {
        logger.write(LogEvents.runsStopped, { value: executor.listRunning().length, failure: createFailure(FailureReason.Timeout, { step: Step.Dispatch }, 'no leader', update.error) })
        executor.stopAll()
      }
      await clock.sleep(random.next() * maxRetryDelayMs, signal)
      continue
    }
    contactAt = clock.now()
    leadership = update.value.leadership
    needsReferences = update.value.needsReferences
    for (const run of update.value.stops) executor.stop(run)
    for (const assignment of update.value.starts) executor.start(assignment)
  }
}

/**
 * Reports new events and ends of runs to the leader until the signal aborts.
 * @param link - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runRunReports (link: ExecutorLink, signal: AbortSignal): Promise<void> {
  const { executor, client, clock, random, logger } = link
  let isAccepted = true
  while (!signal.aborted) {
    const reports = executor.createReports()
    if (reports.length === 0) {
      await executor.changed.wait(reportCheckIntervalMs, signal)
      continue
    }
    const accepted = await client.reportRuns({ holder: link.describe().holder, reports })
    if (accepted.isOk()) {
      executor.acceptReports(reports)
      isAccepted = true
      continue
    }
    if (isAccepted) logger.write(LogEvents.runReportFailed, { value: reports.length, failure: accepted.error })
    isAccepted = false
    await clock.sleep(random.next() * maxRetryDelayMs, signal)
  }
}
