/**
 * Runs the items of the gateway's jobs while this control host leads: starts them where live work leaves slots, and
 * interrupts them when it does not.
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
import { createItemEnds, ItemEndCause } from './itemEnds.ts'
import { createItemPace } from './itemPace.ts'
import { createOpenItems, delayStart, delayStartAfterFailure, type OpenItem } from './openItems.ts'
import { runProgressSaving } from './progressSaving.ts'
import { createServerPauses } from './serverPauses.ts'

/** How often the plan is made without being asked for, in milliseconds. */
const planEveryMs = 200

/** Shortest time between two plans, in milliseconds. */
const planIntervalMs = 10

/** How often items are looked over for being given up, and jobs for being forgotten, in milliseconds. */
const sweepMs = 1_000

/** Longest silence of a run, in milliseconds: several times the longest pause that counts as on time. */
const silenceMs = 2_000

/** What the runner needs. */
export interface BatchRunnerInputs extends ProcessServices {
  readonly fleet: FleetLeader
  readonly replica: Replica
  readonly state: ControlState
  readonly client: BackendServerClient
  /** How long a job is kept after it was accepted, in milliseconds. */
  readonly keepMs: number
}

/** The runner. */
export interface BatchRunner {
  /** Notified when jobs or results were applied. */
  readonly applied: Condition
}

/**
 * Starts the runner.
 * @param inputs - what it needs
 * @returns the runner
 */
export function createBatchRunner (inputs: BatchRunnerInputs): BatchRunner {
  const { fleet, replica, state, client, clock, random, logger, metrics, lifecycle } = inputs
  const applied = createCondition(clock)
  const items = createOpenItems()
  const pace = createItemPace()
  const ends = createItemEnds({ replica, clock, logger, lifecycle, isLeading: () => fleet.isLeading() })
  const pauses = createServerPauses(clock)
  let term = -1
  let routes: RouteIndex = new Map()
  let routesVersion = -1

  function reset (): void {
    items.clear()
    pauses.clear()
  }

  function planWhileLeading (): void {
    if (!fleet.isLeading()) {
      if (term >= 0) reset()
      term = -1
      return
    }
    if (term !== replica.state.term) reset()
    term = replica.state.term
    // Items are run again only once everything committed before this term is applied.
    if (replica.state.commitIndex < replica.state.termStartIndex) return
    indexRoutes()
    items.collect(state.submissions)
    plan()
  }

  function indexRoutes (): void {
    const tables = state.publication?.tables
    if (tables === undefined || tables.version === routesVersion) return
    routes = createRouteIndex(tables)
    routesVersion = tables.version
  }

  function routeOf ({ record }: OpenItem): GatewayRoute | undefined {
    const route = matchRoute(routes, record.submission.host, record.submission.pathPrefix)
    return route?.kind === RouteKind.Batch ? route : undefined
  }

  function plan (): void {
    const waiting = assignServices()
    const running = groupBy(items.running(), entry => entry.run?.server ?? '')
    const serversByService = groupBy(fleet.listReadyServers(), server => server.service)
    for (const [service, servers] of serversByService) {
      const { starts, interruptions: stops } = planBatch(servers.map(server => describeServer(server, running.get(server.id) ?? [])), waiting.get(service) ?? [])
      for (const key of stops) interrupt(items.find(key))
      for (const { server, item } of starts) start(item, server)
    }
    const ready = new Set([...serversByService.values()].flat().map(server => server.id))
    for (const entry of items.running()) {
      // The server leaves or is gone; the item goes on at another one.
      if (entry.run !== undefined && !ready.has(entry.run.server)) interrupt(entry)
    }
  }

  /** Keys of the items that may be started, by service, the most urgent first. */
  function assignServices (): Map<string, string[]> {
    const waiting = new Map<string, string[]>()
    for (const { key } of orderByUrgency(items.startable(clock.now()).map(urgencyOf))) {
      const entry = items.find(key)
      if (entry === undefined) continue
      const route = routeOf(entry)
      if (route === undefined) {
        // No configuration in force allows the item any more.
        if (routesVersion > 0) finish(entry, Ending.Failed, '', ItemEndCause.NoRoute)
        continue
      }
      const service = chooseTarget(route, random.next())
      const keys = waiting.get(service) ?? []
      keys.push(key)
      waiting.set(service, keys)
    }
    return waiting
  }

  function describeServer ({ id, slots }: BackendServerRecord, running: readonly OpenItem[]): PlannedServer {
    return {
      id,
      slots,
      live: fleet.getLoad(id).live,
      items: orderByUrgency(running.map(urgencyOf)).map(item => item.key),
      canStartItems: !pauses.isPaused(id) && !fleet.isSuspect(id)
    }
  }

  function urgencyOf (entry: OpenItem): ItemUrgency {
    const dueMs = routeOf(entry)?.dueMs ?? 0
    return {
      key: entry.key,
      dueInMs: entry.record.submission.acceptedAt + dueMs - clock.wallTime(),
      remainingMs: pace.remainingMs(entry.progress.data.length)
    }
  }

  function interrupt (entry: OpenItem | undefined): void {
    if (entry?.run === undefined) return
    metrics.count(Counter.Yields, 'gateway')
    logger.write(LogEvents.itemInterrupted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: entry.run.server, events: entry.progress.data.length } })
    pauses.noteInterruption(entry.run.server)
    entry.run.controller.abort()
  }

  function start (key: string, serverId: string): void {
    const entry = items.find(key)
    const server = fleet.findServer(serverId)
    if (entry === undefined || server === undefined) return
    const controller = new AbortController()
    entry.run = { server: serverId, controller }
    countBatch(serverId, 1)
    logger.write(LogEvents.itemStarted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: serverId, revision: server.revision, from: entry.progress.lastEvent ?? -1 } })
    lifecycle.run(signal => run(entry, server, AbortSignal.any([signal, controller.signal]), signal))
  }

  async function run (entry: OpenItem, server: BackendServerRecord, interrupted: AbortSignal, closing: AbortSignal): Promise<void> {
    const startedAt = clock.now()
    const outcome = await runSubmittedItem({
      item: entry.item,
      host: entry.record.submission.host,
      target: { address: server.address, id: server.id },
      client,
      progress: entry.progress,
      idleTimeoutMs: silenceMs,
      signal: interrupted
    })
    countBatch(server.id, -1)
    entry.run = undefined
    entry.ranMs += clock.now() - startedAt
    if (!closing.aborted) settle(entry, server.id, outcome, interrupted.aborted)
    fleet.changed.notify()
  }

  function countBatch (server: string, change: 1 | -1): void {
    fleet.batch.set(server, Math.max(0, (fleet.batch.get(server) ?? 0) + change))
  }

  function settle (entry: OpenItem, server: string, { end, failure, unreachable }: RunOutcome, isInterrupted: boolean): void {
    metrics.count(Counter.Items, end)
    switch (end) {
      case RunEnd.Complete:
        pace.learn(entry.progress.data.length, entry.ranMs)
        pauses.noteSuccess(server)
        return finish(entry, Ending.Done, entry.progress.data.join('\n'), ItemEndCause.Done)
      case RunEnd.Impossible: return finish(entry, Ending.Failed, '', ItemEndCause.Impossible)
      case RunEnd.Failed:
        entry.failures++
        // A server that fails its runs at once always has room, so the plan would send it every item.
        pauses.noteFailure(server)
        if (entry.failures >= (routeOf(entry)?.attempts ?? 1)) return finish(entry, Ending.Failed, '', ItemEndCause.AttemptsUsedUp)
        return delayStartAfterFailure(entry, clock.now())
      case RunEnd.NotRun:
        entry.interruptions++
        if (unreachable === true) pauses.noteUnreachable(server)
        return delayStart(entry, entry.interruptions, clock.now())
      case RunEnd.Interrupted:
        if (isInterrupted) return
        if (failure !== undefined) logger.write(LogEvents.attemptFailed, { requestId: entry.item.id, failure, inputs: { server, events: entry.progress.data.length } })
        entry.interruptions++
        return delayStart(entry, entry.interruptions, clock.now())
    }
  }

  function finish (entry: OpenItem, ending: Ending, output: string, cause: ItemEndCause): void {
    entry.isEnding = true
    ends.record({ job: entry.record.submission.id, item: entry.item.id, ending, output }, cause)
  }

  function giveUpItems (): void {
    for (const entry of items.givenUp(clock.wallTime())) {
      entry.run?.controller.abort()
      finish(entry, Ending.Failed, '', ItemEndCause.GivenUp)
    }
  }

  async function forgetJobs (): Promise<void> {
    const jobs: string[] = []
    for (const [id, record] of state.submissions.jobs) {
      if (isSubmissionClosed(record) && clock.wallTime() - record.submission.acceptedAt > inputs.keepMs) jobs.push(id)
    }
    // A purge that failed comes again with the next sweep.
    if (jobs.length > 0) await replica.propose({ kind: CommandKind.PurgeSubmissions, jobs })
  }

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      // The next wait begins before the plan, so that a change during the plan is not missed.
      const next = waitForEither(applied, fleet.changed, planEveryMs, signal)
      planWhileLeading()
      await clock.sleep(planIntervalMs, signal)
      await next
    }
    reset()
  })
  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await clock.sleep(sweepMs, signal)
      if (signal.aborted || !fleet.isLeading()) continue
      giveUpItems()
      await forgetJobs()
    }
  })
  lifecycle.run(signal => runProgressSaving({ items, replica, clock, logger, isLeading: () => fleet.isLeading() }, signal))
  return { applied }
}

function groupBy<Value> (values: readonly Value[], keyOf: (value: Value) => string): Map<string, Value[]> {
  const groups = new Map<string, Value[]>()
  for (const value of values) {
    const key = keyOf(value)
    const group = groups.get(key) ?? []
    group.push(value)
    groups.set(key, group)
  }
  return groups
}
