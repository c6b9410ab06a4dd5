/**
 * Assigns runs of items to executors on the leader, and answers the long polls of the executors.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Condition, createCondition } from '../program/condition.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { countCharacters } from '../program/chunk.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'
import { createExecutorSessions, type ExecutorSession, executorTimeoutMs } from './executorSessions.ts'
import type { FleetLeader } from './fleetLeader.ts'
import { fleetLongPollMs } from './fleetMessages.ts'
import { canAdopt, findRestartCause, recordRun } from './itemResumption.ts'
import { countSavedEvents, createItemKey, type OpenItem, type OpenItems } from './openItems.ts'
import type { RunId, RunPoll, RunReference, RunUpdate } from './runMessages.ts'

/** Delay before a pending poll is answered, in milliseconds, so that changes close together are sent in one update. */
const updateDelayMs = 5

/** Dependencies of the assignments. */
export interface RunAssignmentsInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'metrics' | 'lifecycle'> {
  readonly fleet: FleetLeader
  readonly items: OpenItems
  /** Names of the executors that this host knows of; a new leader waits for their polls. */
  readonly knownExecutors: () => readonly string[]
  /** Returns the region of an availability zone; undefined when the settings do not name it. */
  readonly getRegion: (availabilityZone: string) => string | undefined
}

/** Runs of items on executors. */
export interface RunAssignments {
  /**
   * Discards everything at the start of a term.
   * @param leadership - identifies the leadership in messages
   */
  beginTerm (leadership: string): void
  /**
   * Checks whether runs may be started. A new leader first learns which runs the executors still have, since their items would
   * run twice otherwise.
   * @returns false until each known executor has polled or its session would have expired
   */
  canStart (): boolean
  /**
   * Starts a run of an item on an executor close to the backend server. Has no effect when no executor has room.
   * @param entry - the item; it has no run
   * @param server - the backend server
   */
  start (entry: OpenItem, server: BackendServerRecord): void
  /**
   * Interrupts the run of an item. The item keeps the run until the executor has reported its last events.
   * @param entry - the item
   */
  interrupt (entry: OpenItem): void
  /**
   * Removes the run of an item, which stops it if its executor still has it.
   * @param entry - the item
   */
  release (entry: OpenItem): void
  /**
   * Removes the runs of executors that have not polled in time.
   * @param now - monotonic time in milliseconds
   */
  removeLost (now: number): void
  /**
   * Checks whether an executor has described its runs to this leader.
   * @param holder - identifies the executor's process start
   * @returns false if a report of the executor may concern a run that this leader does not know yet
   */
  isDescribed (holder: string): boolean
  /**
   * Checks whether the executor of an item's run listed the run in its latest poll.
   * @param entry - the item
   * @returns whether it did; undefined if no poll has listed the run so far, or the executor has no session
   */
  isListed (entry: OpenItem): boolean | undefined
  /**
   * Answers a long poll of an executor as soon as its runs are to change, or when the long-poll time is over.
   * @param poll - the poll
   * @returns the changes, or a `NotLeader` failure
   */
  poll (poll: RunPoll): Promise<Result<RunUpdate, Failure>>
}

/**
 * Creates the assignments.
 * @param inputs - dependencies
 * @returns the assignments
 */
export function createRunAssignments (inputs: RunAssignmentsInputs): RunAssignments {
  const { fleet, items, clock, logger, metrics, lifecycle, getRegion } = inputs
  const executors = createExecutorSessions()
  const changed: Condition = createCondition(clock)
  let leadership = ''
  let termStartedAt = -Infinity
  let lastRun = 0

  function adjustBatchCount (server: string, change: 1 | -1): void {
    fleet.batch.set(server, Math.max(0, (fleet.batch.get(server) ?? 0) + change))
  }

  function release (entry: OpenItem): void {
    const { run } = entry
    if (run === undefined) return
    entry.run = undefined
    executors.release(run.executor, run.id)
    adjustBatchCount(run.server, -1)
    changed.notify()
  }

  function releaseKey (key: string, run: RunId): void {
    const entry = items.find(key)
    if (entry?.run?.id === run) release(entry)
  }

  function releaseAll ({ name, runs }: ExecutorSession, reason: string): void {
    if (runs.size > 0) logger.write(LogEvents.executorLost, { peer: name, value: runs.size, reason })
    for (const { key, run } of runs.values()) releaseKey(key, run)
  }

  // A run that is not adopted is stopped: its item has another run or is no longer open, or the run does not continue the saved events.
  function adopt ({ holder }: ExecutorSession, references: readonly RunReference[]): void {
    for (const reference of references) {
      const key = createItemKey(reference)
      const entry = items.find(key)
      if (entry === undefined || entry.run !== undefined || !canAdopt(entry, reference)) continue
      const { run, server, softwareVersion } = reference
      entry.run = { id: run, server, executor: holder, softwareVersion, hasOutput: countSavedEvents(entry) > 0, isInterrupted: false }
      recordRun(entry, run, reference.from === 0)
      executors.assign(holder, { run: reference.run, key, assignment: undefined, isStopped: false, isSent: true, isListed: true })
      adjustBatchCount(reference.server, 1)
    }
  }

  async function waitForChanges (poll: RunPoll): Promise<void> {
    const deadline = clock.now() + fleetLongPollMs
    const hasChanges = (): boolean => {
      const { starts, stops } = executors.compare(poll)
      return starts.length > 0 || stops.length > 0
    }
    const isWaiting = (): boolean => !hasChanges() && clock.now() < deadline && fleet.isLeading() && !lifecycle.signal.aborted
    if (!isWaiting()) return
    while (isWaiting()) await changed.wait(deadline - clock.now(), lifecycle.signal)
    await clock.sleep(updateDelayMs, lifecycle.signal)
  }

  return {
    beginTerm (newLeadership) {
      leadership = newLeadership
      termStartedAt = clock.now()
      executors.clear()
      changed.notify()
    },
    canStart () {
      if (clock.now() - termStartedAt >= executorTimeoutMs) return true
      const names = executors.listDescribed()
      return inputs.knownExecutors().every(name => names.has(name))
    },
    start (entry, server) {
      const executor = executors.choose(server.availabilityZone, getRegion)
      if (executor === undefined) return
      const { key, record: { submission, progress }, item } = entry
      const run = `${leadership}/${++lastRun}`
      const { softwareVersion } = server
      const restartCause = findRestartCause(entry, server)
      const savedEvents = restartCause === undefined ? countSavedEvents(entry) : 0
      entry.run = { id: run, server: server.id, executor: executor.holder, softwareVersion, hasOutput: savedEvents > 0, hasDelivered: false, isInterrupted: false }
      if (restartCause !== undefined) {
        entry.runTimeMs = 0
        metrics.count(Counter.RestartedItems, restartCause)
      }
      recordRun(entry, run, savedEvents === 0)
      // The progress of an excessive run may have been discarded up to its first event.
      const lastEvent = savedEvents === 0 ? undefined : progress.get(item.id)?.lastEvent
      const assignment = {
        run,
        job: submission.id,
        item,
        host: submission.host,
        account: submission.account,
        target: { address: server.address, id: server.id },
        startedAt: server.startedAt,
        softwareVersion,
        savedEvents,
        savedCharacters: savedEvents === 0 ? 0 : countCharacters(progress.get(item.id)?.data ?? []),
        lastEvent
      }
      executors.assign(executor.holder, { run, key, assignment, isStopped: false, isSent: false })
      adjustBatchCount(server.id, 1)
      logger.write(LogEvents.itemStarted, {
        requestId: item.id,
        ...(restartCause === undefined ? {} : { reason: restartCause }),
        inputs: { job: submission.id, server: server.id, softwareVersion: softwareVersion ?? 'unknown', revision: server.revision, executor: executor.name, from: lastEvent ?? -1 }
      })
      changed.notify()
    },
    interrupt (entry) {
      const { run } = entry
      if (run === undefined || run.isInterrupted) return
      const assigned = executors.find(run.executor, run.id)
      if (assigned?.isSent !== true) return release(entry)
      run.isInterrupted = true
      assigned.isStopped = true
      changed.notify()
    },
    release,
    removeLost (now) {
      for (const session of executors.expire(now)) releaseAll(session, 'no poll in time')
    },
    isListed: ({ run }) => run === undefined ? undefined : executors.find(run.executor, run.id)?.isListed,
    isDescribed: holder => executors.hasDescribed(holder),
    async poll (poll) {
      const initialLeadership = leadership
      const { session, replaced } = executors.renew(poll, clock.now())
      if (replaced !== undefined) releaseAll(replaced, 'process restarted')
      if (!session.hasDescribedRuns) {
        if (poll.leadership !== leadership || poll.references === undefined) return ok({ leadership, starts: [], stops: [], needsReferences: true })
        adopt(session, poll.references)
        session.hasDescribedRuns = true
        fleet.changed.notify()
      }
      for (const { key, run } of executors.listDropped(poll)) releaseKey(key, run)
      await waitForChanges(poll)
      if (!fleet.isLeading() || leadership !== initialLeadership) return err(createNotLeaderFailure())
      executors.touch(poll.holder, clock.now())
      const { starts, stops } = executors.compare(poll)
      for (const { run } of starts) {
        const assigned = executors.find(poll.holder, run)
        if (assigned !== undefined) assigned.isSent = true
      }
      return ok({ leadership, starts, stops, needsReferences: false })
    }
  }
}

function createNotLeaderFailure (): Failure {
  return createFailure(FailureReason.NotLeader, { step: Step.Dispatch }, 'the leadership changed during the poll')
}
