/**
 * Runs the items of the gateway's jobs while this control host leads: starts items on slots that live requests leave free
 * and interrupts them when live requests need the slots.
 * @module
 */
import type { BackendServerClient } from '../../connection/backendServerClient.ts'
import { type ItemUrgency, orderByUrgency, planBatch, type PlannedServer } from '../../request/batchPlan.ts'
import { RunEnd, type RunOutcome, runSubmittedItem } from '../../request/submittedItemRun.ts'
import { chooseTarget, createRouteIndex, type GatewayRoute, matchRoute, type RouteIndex, RouteKind } from '../../version/gatewayTables.ts'
import { CommandKind, Ending } from '../state/commands.ts'
import { type Condition, createCondition, waitForEither } from '../program/condition.ts'
import type { ControlState } from '../state/controlState.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { Replica } from '../log/replica.ts'
import { isSubmissionClosed } from '../jobs/submissions.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'
import type { FleetLeader } from './fleetLeader.ts'
import { createItemEndRecorder, ItemEndCause } from './itemEndRecorder.ts'
import { createItemDurationEstimator } from './itemDurationEstimator.ts'
import { createOpenItems, delayStartAfterInterruption, delayStartAfterFailure, type OpenItem } from './openItems.ts'
import { runProgressSaving } from './progressSaving.ts'
import { createServerBackoffs } from './serverBackoffs.ts'

/** Longest interval between two plans, in milliseconds. */
const maxPlanIntervalMs = 200

/** Shortest interval between two plans, in milliseconds. */
const minPlanIntervalMs = 10

/** Interval between scans for items to give up and jobs to purge, in milliseconds. */
const sweepIntervalMs = 1_000

/** Longest time without an event of a run, in milliseconds; several times the longest pause that counts as on time. */
const eventIdleTimeoutMs = 2_000

/** Delay after a failure of a run could not be recorded, in milliseconds. */
const recordRetryDelayMs = 150

/** Dependencies and settings of the batch runner. */
export interface BatchRunnerInputs extends ProcessServices {
  readonly fleet: FleetLeader
  readonly replica: Replica
  readonly state: ControlState
  readonly client: BackendServerClient
  /** Retention time of a job from its acceptance, in milliseconds. */
  readonly keepMs: number
}

/** The batch runner. */
export interface BatchRunner {
  /** To be notified after a command has been applied to the replicated state. */
  readonly applied: Condition
}

/**
 * Creates the batch runner and starts its tasks.
 * @param inputs - dependencies and settings of the batch runner
 * @returns the batch runner
 */
export function createBatchRunner (inputs: BatchRunnerInputs): BatchRunner {
  const { fleet, replica, state, client, clock, random, logger, metrics, lifecycle } = inputs
  const applied = createCondition(clock)
  const items = createOpenItems()
  const durationEstimator = createItemDurationEstimator()
  const endRecorder = createItemEndRecorder({ replica, clock, logger, lifecycle, isLeading: () => fleet.isLeading() })
  const backoffs = createServerBackoffs(clock)
  let term = -1
  let routes: RouteIndex = new Map()
  let routesVersion = -1

  function reset (): void {
    items.clear()
    backoffs.clear()
  }

  function planIfLeading (): void {
    if (!fleet.isLeading()) {
      if (term >= 0) reset()
      term = -1
      return
    }
    if (term !== replica.state.term) reset()
    term = replica.state.term
    // Items may be run again only once all entries of earlier terms are applied, since those may contain their ends.
    if (replica.state.commitIndex < replica.state.termStartIndex) return
    updateRoutes()
    items.synchronize(state.submissions)
    plan()
  }

  function updateRoutes (): void {
    const tables = state.publication?.tables
    if (tables === undefined || tables.version === routesVersion) return
    routes = createRouteIndex(tables)
    routesVersion = tables.version
  }

  function findRoute ({ record }: OpenItem): GatewayRoute | undefined {
    const route = matchRoute(routes, record.submission.host, record.submission.pathPrefix)
    return route?.kind === RouteKind.Batch ? route : undefined
  }

  function plan (): void {
    const startableByService = groupStartableByService()
    const running = groupBy(items.running(), entry => entry.run?.server ?? '')
    const serversByService = groupBy(fleet.listReadyServers(), server => server.service)
    for (const [service, servers] of serversByService) {
      const { starts, interruptions } = planBatch(servers.map(server => describeServer(server, running.get(server.id) ?? [])), startableByService.get(service) ?? [])
      for (const key of interruptions) interrupt(items.find(key))
      for (const { server, item } of starts) start(item, server)
    }
    const ready = new Set([...serversByService.values()].flat().map(server => server.id))
    for (const entry of items.running()) {
      // The server is leaving or was removed; the item resumes on another one.
      if (entry.run !== undefined && !ready.has(entry.run.server)) interrupt(entry)
    }
  }

  // Returns the keys of the items that may be started, by service, the most urgent first.
  function groupStartableByService (): Map<string, string[]> {
    const startableByService = new Map<string, string[]>()
    for (const { key } of orderByUrgency(items.startable(clock.now()).map(getUrgency))) {
      const entry = items.find(key)
      if (entry === undefined) continue
      const route = findRoute(entry)
      if (route === undefined) {
        // The active configuration no longer has a batch route for the item.
        if (routesVersion > 0) finish(entry, Ending.Failed, '', ItemEndCause.NoRoute)
        continue
      }
      const service = chooseTarget(route, random.next())
      const keys = startableByService.get(service) ?? []
      keys.push(key)
      startableByService.set(service, keys)
    }
    return startableByService
  }

  function describeServer ({ id, slots }: BackendServerRecord, running: readonly OpenItem[]): PlannedServer {
    return {
      id,
      slots,
      live: fleet.getLoad(id).live,
      items: orderByUrgency(running.map(getUrgency)).map(item => item.key),
      canStartItems: !backoffs.isBackingOff(id) && !fleet.isSuspect(id)
    }
  }

  function getUrgency (entry: OpenItem): ItemUrgency {
    const dueMs = findRoute(entry)?.dueMs ?? 0
    return {
      key: entry.key,
      dueInMs: entry.record.submission.acceptedAt + dueMs - clock.wallTime(),
      remainingMs: durationEstimator.estimateRemainingMs(entry.progress.data.length)
    }
  }

  function interrupt (entry: OpenItem | undefined): void {
    if (entry?.run === undefined) return
    metrics.count(Counter.Yields, 'gateway')
    logger.write(LogEvents.itemInterrupted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: entry.run.server, events: entry.progress.data.length } })
    backoffs.recordInterruption(entry.run.server)
    entry.run.controller.abort()
  }

  function start (key: string, serverId: string): void {
    const entry = items.find(key)
    const server = fleet.findServer(serverId)
    if (entry === undefined || server === undefined) return
    const controller = new AbortController()
    entry.run = { server: serverId, controller }
    adjustBatchCount(serverId, 1)
    logger.write(LogEvents.itemStarted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: serverId, revision: server.revision, from: entry.progress.lastEvent ?? -1 } })
    lifecycle.run(signal => run(entry, server, AbortSignal.any([signal, controller.signal]), signal))
  }

  async function run (entry: OpenItem, server: BackendServerRecord, interruptSignal: AbortSignal, closeSignal: AbortSignal): Promise<void> {
    const startedAt = clock.now()
    const outcome = await runSubmittedItem({
      item: entry.item,
      host: entry.record.submission.host,
      target: { address: server.address, id: server.id },
      client,
      progress: entry.progress,
      idleTimeoutMs: eventIdleTimeoutMs,
      signal: interruptSignal
    })
    adjustBatchCount(server.id, -1)
    entry.run = undefined
    entry.runTimeMs += clock.now() - startedAt
    if (!closeSignal.aborted) handleOutcome(entry, server.id, outcome, interruptSignal.aborted)
    fleet.changed.notify()
  }

  function adjustBatchCount (server: string, change: 1 | -1): void {
    fleet.batch.set(server, Math.max(0, (fleet.batch.get(server) ?? 0) + change))
  }

  function handleOutcome (entry: OpenItem, server: string, { end, failure, isUnreachable }: RunOutcome, isInterrupted: boolean): void {
    metrics.count(Counter.Items, end)
    switch (end) {
      case RunEnd.Complete:
        durationEstimator.addSample(entry.progress.data.length, entry.runTimeMs)
        backoffs.recordSuccess(server)
        return finish(entry, Ending.Done, entry.progress.data.join('\n'), ItemEndCause.Done)
      case RunEnd.Impossible: return finish(entry, Ending.Failed, '', ItemEndCause.Impossible)
      case RunEnd.Failed:
        entry.failures++
        // A server that fails its runs immediately always has free slots, so the planner would send it every item.
        backoffs.recordFailure(server)
        if (entry.failures >= (findRoute(entry)?.attempts ?? 1)) return finish(entry, Ending.Failed, '', ItemEndCause.AttemptsUsedUp)
        delayStartAfterFailure(entry, clock.now())
        return lifecycle.run(signal => recordFailure(entry, signal))
      case RunEnd.NotRun:
        entry.interruptions++
        if (isUnreachable === true) backoffs.recordUnreachable(server)
        return delayStartAfterInterruption(entry, entry.interruptions, clock.now())
      case RunEnd.Interrupted:
        if (isInterrupted) return
        if (failure !== undefined) logger.write(LogEvents.attemptFailed, { requestId: entry.item.id, failure, inputs: { server, events: entry.progress.data.length } })
        entry.interruptions++
        return delayStartAfterInterruption(entry, entry.interruptions, clock.now())
    }
  }

  // The item runs again only once the failure is durable; otherwise each new leader would grant it all attempts of its route.
  async function recordFailure (entry: OpenItem, signal: AbortSignal): Promise<void> {
    const { record: { submission }, item, failures } = entry
    const runTerm = replica.state.term
    entry.isFailureUnrecorded = true
    while (!signal.aborted && fleet.isLeading() && replica.state.term === runTerm) {
      const recorded = await replica.propose({ kind: CommandKind.RecordFailures, failures: [{ job: submission.id, item: item.id, count: failures }] })
      if (recorded.isOk()) break
      await clock.sleep(recordRetryDelayMs, signal)
    }
    entry.isFailureUnrecorded = false
  }

  function finish (entry: OpenItem, ending: Ending, output: string, cause: ItemEndCause): void {
    entry.isEnding = true
    endRecorder.record({ job: entry.record.submission.id, item: entry.item.id, ending, output }, cause)
  }

  function giveUpExpiredItems (): void {
    for (const entry of items.pastGiveUpTime(clock.wallTime())) {
      entry.run?.controller.abort()
      finish(entry, Ending.Failed, '', ItemEndCause.GivenUp)
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

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      // The next wait begins before the planning, so that a change during the planning is not missed.
      const next = waitForEither(applied, fleet.changed, maxPlanIntervalMs, signal)
      planIfLeading()
      await clock.sleep(minPlanIntervalMs, signal)
      await next
    }
    reset()
  })
  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await clock.sleep(sweepIntervalMs, signal)
      if (signal.aborted || !fleet.isLeading()) continue
      giveUpExpiredItems()
      await purgeExpiredJobs()
    }
  })
  lifecycle.run(signal => runProgressSaving({ items, replica, clock, logger, isLeading: () => fleet.isLeading() }, signal))
  return { applied }
}

function groupBy<Value> (values: readonly Value[], getKey: (value: Value) => string): Map<string, Value[]> {
  const groups = new Map<string, Value[]>()
  for (const value of values) {
    const key = getKey(value)
    const group = groups.get(key) ?? []
    group.push(value)
    groups.set(key, group)
  }
  return groups
}
