/**
 * Runs the items of the gateway's jobs while this control host leads: starts them where live work leaves slots, interrupts
 * them when it does not, and records their ends in the log.
 * @module
 */
import type { BackendServerClient } from '../../connection/backendServerClient.ts'
import { type ItemUrgency, orderByUrgency, planBatch, type PlannedServer } from '../../request/batchPlan.ts'
import { type ItemProgress, RunEnd, type RunOutcome, runSubmittedItem } from '../../request/submittedItemRun.ts'
import { CommandKind, Ending, type FinishedItem } from '../commands.ts'
import { type Condition, createCondition, waitForEither } from '../condition.ts'
import type { ControlState } from '../controlState.ts'
import { LogEvents } from '../logEvents.ts'
import { Counter } from '../metrics.ts'
import type { ProcessServices } from '../processServices.ts'
import type { Replica } from '../replica.ts'
import { isClosed, type SubmissionRecord, type SubmittedItem } from '../submissions.ts'
import { chooseTarget, createRouteIndex, type GatewayRoute, matchRoute, type RouteIndex, RouteKind } from '../../version/gatewayTables.ts'
import { ServerPhase } from './backendServerRecords.ts'
import type { FleetLeader } from './fleetLeader.ts'

/** How often the plan is made without being asked for, in milliseconds. */
const planEveryMs = 200

/** Shortest time between two plans, in milliseconds. */
const planIntervalMs = 10

/** How often items are looked over for being given up, and jobs for being forgotten, in milliseconds. */
const sweepMs = 1_000

/** Pause after a run that failed or was not run, in milliseconds, for each failure so far. */
const backoffMs = 150

/** Longest such pause, in milliseconds. */
const backoffLimitMs = 2_000

/** Longest silence of a run, in milliseconds: several times the longest pause that counts as on time. */
const silenceMs = 2_000

/** Weight of a new item in the usual length and pace of items. */
const learningShare = 0.1

/** How long a server that failed a connection gets no items, in milliseconds. */
const avoidMs = 1_000

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

interface OpenItem {
  readonly key: string
  readonly record: SubmissionRecord
  readonly item: SubmittedItem
  readonly progress: ItemProgress
  failures: number
  notRun: number
  /** Time of all runs so far, in milliseconds. */
  ranMs: number
  /** Monotonic time before which it is not started again, in milliseconds. */
  startAfter: number
  run: { readonly server: string, readonly controller: AbortController } | undefined
  /** Whether its end is being recorded. */
  isEnding: boolean
}

/**
 * Starts the runner.
 * @param inputs - what it needs
 * @returns the runner
 */
export function createBatchRunner (inputs: BatchRunnerInputs): BatchRunner {
  const { fleet, replica, state, client, clock, random, logger, metrics, lifecycle } = inputs
  const applied = createCondition(clock)
  const open = new Map<string, OpenItem>()
  const avoidUntil = new Map<string, number>()
  let term = -1
  let routes: RouteIndex = new Map()
  let routesVersion = -1
  // Learned from the items that end; before the first one every item counts as about to end.
  let usualEvents = 0
  let usualEventMs = 0

  function reset (): void {
    for (const entry of open.values()) entry.run?.controller.abort()
    open.clear()
    avoidUntil.clear()
  }

  function collect (): void {
    const tables = state.publication?.tables
    if (tables !== undefined && tables.version !== routesVersion) {
      routes = createRouteIndex(tables)
      routesVersion = tables.version
    }
    for (const [job, record] of state.submissions.jobs) {
      if (isClosed(record)) continue
      for (const [id, item] of record.open) {
        const key = `${job} ${id}`
        if (open.has(key)) continue
        open.set(key, { key, record, item, progress: { data: [], lastEvent: undefined }, failures: 0, notRun: 0, ranMs: 0, startAfter: 0, run: undefined, isEnding: false })
      }
    }
    for (const [key, entry] of open) {
      if (!entry.record.ended && entry.record.open.has(entry.item.id)) continue
      entry.run?.controller.abort()
      open.delete(key)
    }
  }

  function routeOf (record: SubmissionRecord | undefined): GatewayRoute | undefined {
    return record === undefined ? undefined : matchRoute(routes, record.submission.host, record.submission.pathPrefix)
  }

  function plan (): void {
    const now = clock.now()
    const servers: PlannedServer[] = []
    const serviceOf = new Map<string, string>()
    for (const server of fleet.readyServers()) {
      serviceOf.set(server.id, server.service)
      servers.push({
        id: server.id,
        slots: server.slots,
        live: fleet.loadOf(server.id).live,
        items: itemsOn(server.id),
        isOpen: (avoidUntil.get(server.id) ?? 0) <= now && !fleet.isSuspect(server.id)
      })
    }
    const waiting = new Map<string, string[]>()
    const candidates = [...open.values()].filter(entry => entry.run === undefined && !entry.isEnding && entry.startAfter <= now)
    for (const { key } of orderByUrgency(candidates.map(urgencyOf))) {
      const entry = open.get(key)
      const route = routeOf(entry?.record)
      if (route?.kind !== RouteKind.Batch) {
        // No configuration in force allows the item any more.
        if (entry !== undefined && routesVersion > 0) finish(entry, Ending.Failed, '')
        continue
      }
      const service = chooseTarget(route, random.next())
      const keys = waiting.get(service) ?? []
      keys.push(key)
      waiting.set(service, keys)
    }
    const services = new Set([...serviceOf.values()])
    for (const service of services) {
      const { starts, stops } = planBatch(servers.filter(server => serviceOf.get(server.id) === service), waiting.get(service) ?? [])
      for (const key of stops) interrupt(key)
      for (const { server, item } of starts) start(item, server)
    }
    for (const entry of open.values()) {
      if (entry.run === undefined || serviceOf.has(entry.run.server)) continue
      // The server is leaving or gone; the item goes on at another one.
      if (fleet.findServer(entry.run.server)?.phase !== ServerPhase.Ready) interrupt(entry.key)
    }
  }

  function itemsOn (server: string): string[] {
    const running: ItemUrgency[] = []
    for (const entry of open.values()) {
      if (entry.run?.server === server && !entry.run.controller.signal.aborted) running.push(urgencyOf(entry))
    }
    return orderByUrgency(running).map(item => item.key)
  }

  function urgencyOf (entry: OpenItem): ItemUrgency {
    const dueMs = routeOf(entry.record)?.dueMs ?? 0
    return {
      key: entry.key,
      dueInMs: entry.record.submission.acceptedAt + dueMs - clock.wallTime(),
      remainingMs: Math.max(0, usualEvents - entry.progress.data.length) * usualEventMs
    }
  }

  function interrupt (key: string): void {
    const entry = open.get(key)
    if (entry?.run === undefined) return
    metrics.count(Counter.Yields, 'gateway')
    logger.write(LogEvents.itemInterrupted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: entry.run.server, events: entry.progress.data.length } })
    entry.run.controller.abort()
  }

  function start (key: string, serverId: string): void {
    const entry = open.get(key)
    const server = fleet.findServer(serverId)
    if (entry === undefined || server === undefined) return
    const controller = new AbortController()
    entry.run = { server: serverId, controller }
    fleet.batch.set(serverId, (fleet.batch.get(serverId) ?? 0) + 1)
    logger.write(LogEvents.itemStarted, { requestId: entry.item.id, inputs: { job: entry.record.submission.id, server: serverId, revision: server.revision, from: entry.progress.lastEvent ?? -1 } })
    const startedAt = clock.now()
    lifecycle.run(async signal => {
      const outcome = await runSubmittedItem({
        item: entry.item,
        host: entry.record.submission.host,
        target: { address: server.address, id: serverId },
        client,
        progress: entry.progress,
        silenceMs,
        signal: AbortSignal.any([signal, controller.signal])
      })
      fleet.batch.set(serverId, Math.max(0, (fleet.batch.get(serverId) ?? 0) - 1))
      entry.run = undefined
      entry.ranMs += clock.now() - startedAt
      if (!signal.aborted) settle(entry, serverId, outcome, controller.signal.aborted)
      fleet.changed.notify()
    })
  }

  function settle (entry: OpenItem, server: string, { end, failure, unreachable }: RunOutcome, isInterrupted: boolean): void {
    const attempts = routeOf(entry.record)?.attempts ?? 1
    metrics.count(Counter.Items, end)
    switch (end) {
      case RunEnd.Complete:
        learn(entry)
        return finish(entry, Ending.Done, entry.progress.data.join('\n'))
      case RunEnd.Impossible: return finish(entry, Ending.Failed, '')
      case RunEnd.Failed:
        entry.failures++
        if (entry.failures >= attempts) return finish(entry, Ending.Failed, '')
        return delay(entry, entry.failures)
      case RunEnd.NotRun:
        entry.notRun++
        if (unreachable === true) avoidUntil.set(server, clock.now() + avoidMs)
        return delay(entry, entry.notRun)
      case RunEnd.Interrupted:
        if (isInterrupted) return
        if (failure !== undefined) logger.write(LogEvents.attemptFailed, { requestId: entry.item.id, failure, inputs: { server, events: entry.progress.data.length } })
        entry.notRun++
        delay(entry, entry.notRun)
    }
  }

  function learn (entry: OpenItem): void {
    const events = entry.progress.data.length
    if (events === 0) return
    const share = usualEvents === 0 ? 1 : learningShare
    usualEvents += (events - usualEvents) * share
    usualEventMs += (entry.ranMs / events - usualEventMs) * share
  }

  function delay (entry: OpenItem, count: number): void {
    entry.startAfter = clock.now() + Math.min(backoffLimitMs, backoffMs * count)
  }

  const ends: FinishedItem[] = []
  const ended = createCondition(clock)

  function finish (entry: OpenItem, ending: Ending, output: string): void {
    entry.isEnding = true
    ends.push({ job: entry.record.submission.id, item: entry.item.id, ending, output })
    ended.notify()
  }

  // Ends that come up during one write are recorded together by the next.
  async function recordEnds (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (ends.length === 0) {
        await ended.wait(sweepMs, signal)
        continue
      }
      const results = ends.splice(0)
      const outcome = await replica.propose({ kind: CommandKind.FinishItems, results })
      for (const { job, item, ending } of results) {
        logger.write(LogEvents.itemRecorded, { requestId: item, reason: outcome.isOk() ? ending : outcome.error.reason, inputs: { job, index: replica.state.commitIndex } })
      }
      // An end that may not have been recorded is recorded again; the first one stands. Another leader runs its item again.
      if (outcome.isErr() && fleet.isLeading()) ends.push(...results)
      if (outcome.isErr()) await clock.sleep(backoffMs, signal)
    }
  }

  async function sweep (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(sweepMs, signal)
      if (signal.aborted || !fleet.isLeading()) continue
      const now = clock.wallTime()
      for (const entry of open.values()) {
        if (entry.isEnding || now < entry.record.submission.giveUpAt) continue
        entry.run?.controller.abort()
        finish(entry, Ending.Failed, '')
      }
      const old: string[] = []
      for (const [id, record] of state.submissions.jobs) {
        if (isClosed(record) && now - record.submission.acceptedAt > inputs.keepMs) old.push(id)
      }
      if (old.length > 0) await replica.propose({ kind: CommandKind.PurgeSubmissions, jobs: old })
    }
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
  lifecycle.run(recordEnds)
  lifecycle.run(sweep)
  return { applied }

  function planWhileLeading (): void {
    if (!fleet.isLeading()) {
      if (term >= 0) reset()
      term = -1
      return
    }
    if (term !== replica.state.term) reset()
    term = replica.state.term
    // Items are run again only once everything committed before this term is applied.
    if (replica.state.commitIndex < replica.state.termStart) return
    collect()
    plan()
  }
}
