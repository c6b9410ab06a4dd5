/**
 * Plans the runs of the items of the gateway's jobs while this control host leads: assigns items to slots that live requests
 * leave free, and interrupts them when live requests need the slots. Executors perform the runs.
 * @module
 */
import { err, type Result } from 'neverthrow'
import { hasFreeSlot, type ItemUrgency, type PlannedServer, type Resumption } from '../../request/placement/batchPlan.ts'
import { listPartTraits, type Trait } from '../../request/requestTraits.ts'
import { RunEnd } from '../../request/submittedItemRun.ts'
import { chooseTarget } from '../../version/gatewayTables.ts'
import { CommandKind, Ending } from '../state/commands.ts'
import { type Condition, createCondition, waitForEither } from '../program/condition.ts'
import type { ControlState } from '../state/controlState.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { groupBy } from '../program/groupBy.ts'
import { runContained } from '../program/unexpectedErrors.ts'
import { Counter, microsecondsPerMillisecond } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { Replica } from '../log/replica.ts'
import type { SubmittedItem } from '../jobs/submission.ts'
import { countOutputBytes, maxOutputBytes } from '../jobs/outputSpace.ts'
import { isSubmissionClosed } from '../jobs/submissions.ts'
import { assertNever } from '../program/assert.ts'
import { createBatchRoutes } from './batchRoutes.ts'
import type { FleetLeader } from './fleetLeader.ts'
import { createItemEndRecorder, ItemEndCause, logItemEnd } from './itemEndRecorder.ts'
import { createItemDurationEstimator } from './itemDurationEstimator.ts'
import { createItemCompetition } from './itemCompetition.ts'
import { determineResumption } from './itemResumption.ts'
import { countSavedEvents, createItemKey, createOpenItems, delayStartAfterInterruption, delayStartAfterFailure, type OpenItem } from './openItems.ts'
import { logOpenItems } from './openItemStates.ts'
import { createRunAssignments } from './runAssignments.ts'
import type { RunPoll, RunReports, RunUpdate } from './runMessages.ts'
import { createReportQueue, type CurrentReport, recordRunReports, type RunReportServices } from './runReports.ts'
import { createServerBackoffs } from './serverBackoffs.ts'
import { createServicePlanner } from './servicePlanner.ts'

/** Longest interval between two plans, in milliseconds. */
const maxPlanIntervalMs = 200

/** Shortest interval between two plans, in milliseconds. */
const minPlanIntervalMs = 10

/**
 * Plans for each interval of load reports, at most. With hundreds of hosts a report arrives every few milliseconds, and a plan after each of
 * them takes the processor time of the leader without knowing more.
 */
const maxPlansPerReportInterval = 8

/**
 * Multiple of the duration of a plan that passes before the next one. A plan takes time in proportion to the open items, of which there are the
 * most when the leader has the least time.
 */
const planPauseFactor = 4

/** Interval between scans for items to give up and jobs to purge, in milliseconds. */
const sweepIntervalMs = 1_000

/** Interval between two summaries of the open items in the log, in milliseconds. */
const summaryIntervalMs = 5_000

/** Interval between checks for lost executors, in milliseconds. */
const executorSweepIntervalMs = 250

/** Longest time for which a poll or a report waits until this leader has applied the log of its predecessors, in milliseconds. */
const readyTimeoutMs = 500

/** Dependencies and settings of the batch runner. */
export interface BatchRunnerInputs extends ProcessServices {
  readonly fleet: FleetLeader
  readonly replica: Replica
  readonly state: ControlState
  /** Names of the executors that this host knows of. */
  readonly knownExecutors: () => readonly string[]
  /** Returns the ids of the parts of an item's prompt that other requests may have too. */
  readonly listSharedPromptParts: (item: SubmittedItem) => readonly string[]
  /** Returns the region of an availability zone; undefined when the settings do not name it. */
  readonly getRegion: (availabilityZone: string) => string | undefined
  /** Retention time of a job from its acceptance, in milliseconds. */
  readonly keepMs: number
}

/** Items of a service that may be started. */
interface StartableItems {
  /** The items, the most urgent first. */
  readonly items: ItemUrgency[]
  /** Those that may resume from their saved events, by key. */
  readonly resumptions: Map<string, Resumption>
}

/** The batch runner. */
export interface BatchRunner {
  /** To be notified after a command has been applied to the replicated state. */
  readonly applied: Condition
  /**
   * Answers a long poll of an executor.
   * @param poll - the poll
   * @returns the runs to start and to stop, or a failure when this host does not lead
   */
  poll (poll: RunPoll): Promise<Result<RunUpdate, Failure>>
  /**
   * Records reports of an executor.
   * @param reports - the reports
   * @returns nothing once they are in the replicated log, or a failure
   */
  report (reports: RunReports): Promise<Result<void, Failure>>
}

/**
 * Creates the batch runner and starts its tasks.
 * @param inputs - dependencies and settings of the batch runner
 * @returns the batch runner
 */
export function createBatchRunner (inputs: BatchRunnerInputs): BatchRunner {
  const { fleet, replica, state, clock, random, logger, metrics, lifecycle } = inputs
  const applied = createCondition(clock)
  const items = createOpenItems()
  const assignments = createRunAssignments({ ...inputs, items })
  const durationEstimator = createItemDurationEstimator()
  const endRecorder = createItemEndRecorder({ replica, clock, logger, lifecycle, isLeading: () => fleet.isLeading() })
  const backoffs = createServerBackoffs(clock)
  const queueReport = createReportQueue()
  const routes = createBatchRoutes(state)
  const competition = createItemCompetition({ state, routes, items })
  const planner = createServicePlanner({ ...inputs, routes, backoffs, durationEstimator })
  const reportServices: RunReportServices = { items, replica, getAttempts: ({ record }) => routes.find(record)?.attempts ?? 1, handleEnd, release: assignments.release }
  let term = -1
  let synchronizedIndex = -1
  let isOutputFull = false

  // Returns whether this host leads and has applied all entries of earlier terms, which may contain the ends of items.
  function prepareTerm (): boolean {
    if (!fleet.isLeading() || replica.state.commitIndex < replica.state.termStartIndex) return false
    if (term !== replica.state.term) {
      term = replica.state.term
      items.clear()
      synchronizedIndex = -1
      backoffs.clear()
      planner.clear()
      assignments.beginTerm(fleet.getLeadership())
    }
    if (synchronizedIndex === replica.state.appliedIndex) return true
    synchronizedIndex = replica.state.appliedIndex
    routes.update()
    for (const entry of items.synchronize(state.submissions)) {
      // The report that ended an item releases its run itself.
      if (!entry.isEnding) assignments.release(entry)
    }
    return true
  }

  async function waitForTerm (): Promise<boolean> {
    const deadline = clock.now() + readyTimeoutMs
    while (!prepareTerm()) {
      if (!fleet.isLeading() || clock.now() >= deadline || lifecycle.signal.aborted) return false
      await applied.wait(deadline - clock.now(), lifecycle.signal)
    }
    return true
  }

  // Returns the duration of the plan, in milliseconds.
  function measurePlan (): number {
    const startedAt = clock.now()
    plan()
    const durationMs = clock.now() - startedAt
    metrics.count(Counter.BatchPlans, 'gateway')
    metrics.count(Counter.BatchPlanning, 'gateway', durationMs * microsecondsPerMillisecond)
    return durationMs
  }

  function plan (): void {
    const running = groupBy(items.running(), entry => entry.run?.server ?? '')
    const serversByService = groupBy(fleet.listReadyServers(), server => server.service)
    const situations = [...serversByService].map(([service, servers]) => planner.describe(service, servers, running))
    // Ordering the waiting items is the larger part of a plan, and mostly there is no free slot.
    checkOutputSize()
    const canStart = assignments.canStart() && situations.some(({ servers }) => servers.some(hasFreeSlot))
    const startableByService = canStart ? groupStartableByService(situations.map(({ servers }) => servers)) : new Map<string, StartableItems>()
    for (const situation of situations) {
      const { starts, interruptions } = planner.plan(situation, startableByService.get(situation.service))
      for (const key of interruptions) interrupt(items.find(key))
      for (const { server, item } of starts) start(item, server)
    }
    const ready = new Set([...serversByService.values()].flat().map(server => server.id))
    for (const entry of items.running()) {
      // The server is leaving or was removed; the item resumes on another one.
      if (entry.run !== undefined && !ready.has(entry.run.server)) interrupt(entry)
    }
  }

  // At the maximum, the items with saved progress are completed, which takes less space than their progress; the others wait for them, or for
  // the purge of closed jobs.
  function checkOutputSize (): void {
    const outputBytes = countOutputBytes(state.submissions)
    if (isOutputFull === (outputBytes >= maxOutputBytes)) return
    isOutputFull = !isOutputFull
    logger.write(isOutputFull ? LogEvents.outputFull : LogEvents.outputSpaceFound, { value: outputBytes })
  }

  // Returns the items that may be started, by service.
  function groupStartableByService (servers: Iterable<readonly PlannedServer[]>): Map<string, StartableItems> {
    const startableByService = new Map<string, StartableItems>()
    const now = clock.now()
    for (const urgency of competition.order(planner.describeUrgency(items.startable(now)), servers)) {
      const entry = items.find(urgency.key)
      if (entry === undefined || (isOutputFull && countSavedEvents(entry) === 0)) continue
      const route = routes.find(entry.record)
      if (route === undefined) {
        // The active configuration no longer has a batch route for the item.
        if (routes.hasTables) finish(entry, ItemEndCause.NoRoute)
        continue
      }
      // It stays open until the quarantine ends, or until it is given up.
      if (fleet.quarantine.isBlocked(listTraitsOf(entry))) continue
      const service = chooseTarget(route, random.next())
      const startable: StartableItems = startableByService.get(service) ?? { items: [], resumptions: new Map() }
      startable.items.push(urgency)
      const resumption = determineResumption(entry, now)
      if (resumption !== undefined) startable.resumptions.set(urgency.key, resumption)
      startableByService.set(service, startable)
    }
    return startableByService
  }

  function interrupt (entry: OpenItem | undefined): void {
    if (entry?.run === undefined || entry.run.isInterrupted) return
    metrics.count(Counter.Yields, 'gateway')
    logger.write(LogEvents.itemInterrupted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: entry.run.server, events: countSavedEvents(entry) } })
    backoffs.recordInterruption(entry.run.server)
    assignments.interrupt(entry)
  }

  function start (key: string, serverId: string): void {
    const entry = items.find(key)
    const server = fleet.findServer(serverId)
    if (entry === undefined || server === undefined) return
    if (!fleet.quarantine.acquireTrial(listTraitsOf(entry))) return
    fleet.permits.takeItemPermit(serverId)
    assignments.start(entry, server)
  }

  function handleEnd ({ entry, run, report, cause, failures }: CurrentReport): void {
    const { end, isUnreachable, durationMs } = report
    if (end === undefined) return
    metrics.count(Counter.Items, end)
    entry.runTimeMs += durationMs
    assignments.release(entry)
    const isDropped = cause === ItemEndCause.Done && entry.record.open.has(report.item)
    if (isDropped) logger.write(LogEvents.itemEndDropped, { requestId: report.item, inputs: { job: report.job, run: run.id, savedEvents: countSavedEvents(entry), reportedEvents: report.from + report.data.length } })
    else if (cause !== undefined) logItemEnd(logger, report, cause, replica.state.commitIndex)
    switch (end) {
      case RunEnd.Complete:
        durationEstimator.addSample(report.from + report.data.length, entry.runTimeMs)
        backoffs.recordSuccess(run.server)
        break
      case RunEnd.Impossible: break
      case RunEnd.Failed:
        // A server that fails its runs immediately always has free slots, so the planner would send it every item.
        backoffs.recordFailure(run.server)
        delayStartAfterFailure(entry, failures, clock.now())
        break
      case RunEnd.NotRun:
        entry.interruptions++
        if (isUnreachable) backoffs.recordUnreachable(run.server)
        else backoffs.recordRefusal(run.server)
        delayStartAfterInterruption(entry, entry.interruptions, clock.now())
        break
      case RunEnd.Interrupted:
        if (report.isExcessive === true) backoffs.recordFailure(run.server)
        if (run.isInterrupted) break
        if (run.hasDelivered === false) backoffs.recordRefusal(run.server)
        entry.interruptions++
        delayStartAfterInterruption(entry, entry.interruptions, clock.now())
        break
      default: assertNever(end)
    }
    fleet.changed.notify()
  }

  // The parts are decoded only on demand, since a plan considers every waiting item.
  function listTraitsOf ({ item }: OpenItem): Trait[] {
    if (fleet.quarantine.isEmpty) return []
    return listPartTraits(inputs.listSharedPromptParts(item))
  }

  // Reports the first output of each run, which clears the parts of the item.
  function recordOutputs (reports: RunReports): void {
    for (const report of reports.reports) {
      const entry = items.find(createItemKey(report))
      if (entry?.run?.id !== report.run || report.data.length === 0) continue
      entry.run.hasDelivered = true
      backoffs.recordOutput(entry.run.server)
      if (entry.run.hasOutput) continue
      entry.run.hasOutput = true
      fleet.quarantine.recordOutputs(listTraitsOf(entry).map(trait => ({ trait, ageMs: 0 })))
    }
  }

  function finish (entry: OpenItem, cause: ItemEndCause): void {
    entry.isEnding = true
    endRecorder.record({ job: entry.record.submission.id, item: entry.item.id, ending: Ending.Failed, output: '' }, cause)
  }

  function giveUpExpiredItems (): void {
    for (const entry of items.pastGiveUpTime(clock.wallTime())) {
      assignments.release(entry)
      finish(entry, ItemEndCause.GivenUp)
    }
  }

  async function purgeExpiredJobs (): Promise<void> {
    const jobs: string[] = []
    for (const [id, record] of state.submissions.jobs) {
      if (isSubmissionClosed(record) && clock.wallTime() - record.submission.acceptedAt > inputs.keepMs) jobs.push(id)
    }
    // A failed purge is repeated by the next scan.
    if (jobs.length > 0) await replica.propose({ kind: CommandKind.PurgeSubmissions, jobs })
  }

  runContained(inputs, async signal => {
    while (!signal.aborted) {
      // The next wait begins before the planning, so that a change during the planning is not missed.
      const next = waitForEither(applied, fleet.changed, maxPlanIntervalMs, signal)
      const durationMs = prepareTerm() ? measurePlan() : 0
      await clock.sleep(Math.max(minPlanIntervalMs, fleet.reportIntervalMs / maxPlansPerReportInterval, Math.min(maxPlanIntervalMs, durationMs * planPauseFactor)), signal)
      await next
    }
  })
  runContained(inputs, async signal => {
    while (!signal.aborted) {
      // As for the sessions of hosts: polls that arrived while this process was suspended are not read yet.
      const dueAt = clock.now() + executorSweepIntervalMs
      await clock.sleep(executorSweepIntervalMs, signal)
      if (!signal.aborted && prepareTerm()) assignments.removeLost(dueAt)
    }
  })
  runContained(inputs, async signal => {
    while (!signal.aborted) {
      await clock.sleep(summaryIntervalMs, signal)
      if (!signal.aborted && prepareTerm()) logOpenItems(logger, items.list(), { now: clock.now(), isListed: assignments.isListed, isBlocked: entry => fleet.quarantine.isBlocked(listTraitsOf(entry)) })
    }
  })
  runContained(inputs, async signal => {
    while (!signal.aborted) {
      await clock.sleep(sweepIntervalMs, signal)
      if (signal.aborted || !prepareTerm()) continue
      giveUpExpiredItems()
      await purgeExpiredJobs()
    }
  })
  return {
    applied,
    async poll (poll) {
      return await waitForTerm() ? await assignments.poll(poll) : err(createNotReadyFailure())
    },
    report: async reports => await queueReport(reports.holder, async () => {
      // A report that is accepted before its run is adopted would be lost, and the run would never end.
      if (!await waitForTerm() || !assignments.isDescribed(reports.holder)) return err(createNotReadyFailure())
      recordOutputs(reports)
      return await recordRunReports(reports, reportServices)
    })
  }
}

function createNotReadyFailure (): Failure {
  return createFailure(FailureReason.NotLeader, { step: Step.Dispatch }, 'this control host does not lead, or has not applied the log of its predecessors yet')
}
