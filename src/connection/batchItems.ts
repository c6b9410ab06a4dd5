/**
 * The batch items in flight on one backend server under one lease, from their start until they end or are requeued.
 * @module
 */
import type { BackendServer } from '../process/routing/backendServers.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { type Condition, createCondition } from '../process/program/condition.ts'
import { type RunningItem, StopCause } from '../process/jobs/itemRuns.ts'
import { FailureReason } from '../process/program/failure.ts'
import { Counter, Latency } from '../process/program/metrics.ts'
import { ItemEndKind, runItem } from '../request/itemRun.ts'
import { findPool, findRoute, type Pool, type Route } from '../version/tables.ts'
import type { BatchServices } from './batchServices.ts'
import type { AttemptFailure } from './backendAttempt.ts'
import { type ClaimedItem, type ClaimedItems, createRequeuedItem } from './claimedItems.ts'

/** Maximum interval between two checks of the running items, in milliseconds. */
const maxCheckIntervalMs = 200

/** Delay before an item whose connection broke may run again, in milliseconds; a crash of a backend server lasts longer. */
const brokenRunDelayMs = 250

/** Timeout for recording items as started, in milliseconds. */
const startTimeoutMs = 2_000

/** The batch items in flight on one backend server under one lease. */
export interface BatchItems {
  /** Number of items that run or are about to start. */
  readonly count: number
  /**
   * Counts completed items.
   * @param since - monotonic time in milliseconds; must not be earlier than in the previous call
   * @returns the number of items that completed after it
   */
  countCompletedSince (since: number): number
  /**
   * Starts claimed items until the limit is reached.
   * @param limit - maximum number of items in flight
   */
  startUpTo (limit: number): void
  /**
   * Stops the most recently started items and keeps their progress. Items that are not idempotent continue.
   * @param limit - maximum number of items that continue
   * @param pool - name of the pool, for the metrics
   */
  yieldTo (limit: number, pool: string): void
  /**
   * Stops all items except those that are not idempotent and that this host may still run.
   * @param cause - the cause passed to the stopped items
   */
  stopAll (cause: StopCause): void
  /**
   * Waits until all items have ended.
   * @returns a promise that resolves when no item is in flight
   */
  ended (): Promise<void>
}

/** Dependencies of the batch items of one lease. */
export interface BatchItemsInputs {
  readonly server: BackendServer
  readonly services: BatchServices
  readonly claimed: ClaimedItems
  /** Notified when an item has ended. */
  readonly changed: Condition
}

interface InFlightItem {
  readonly item: ClaimedItem
  readonly route: Route
  readonly pool: Pool
  readonly run: RunningItem
  readonly incarnation: string
  /** Monotonic time at which the item was stopped by a yield, in milliseconds. */
  stoppedAt: number | undefined
}

/**
 * Creates the items of a new lease; none is in flight yet.
 * @param inputs - dependencies of the items
 * @returns the items
 */
export function createBatchItems (inputs: BatchItemsInputs): BatchItems {
  const { server, services, claimed, changed } = inputs
  const { clock, completions, connections, control, inspection, metrics, protocols, runs, session, version } = services
  const address = server.announcement.address
  const inFlightItems = new Set<InFlightItem>()
  const itemEnded = createCondition()
  let completionTimes: number[] = []
  const { lapses } = session

  // A grant claimed before the session expired may have moved to another host, or its job may have been cancelled.
  function isGrantValid (item: ClaimedItem): boolean {
    return session.isAlive(clock.now()) && session.lapses === lapses && !session.cancelledJobs.has(item.grant.job)
  }

  function createInFlightItem (item: ClaimedItem): InFlightItem | undefined {
    const { incarnation } = server.announcement
    const route = findRoute(version.configuration, item.grant.route)
    const pool = route === undefined ? undefined : findPool(version.configuration, route.pool)
    if (route === undefined || pool === undefined || !isGrantValid(item)) {
      completions.requeue(createRequeuedItem(item))
      return undefined
    }
    const entry: InFlightItem = { item, route, pool, run: runs.start(item.grant.job), incarnation, stoppedAt: undefined }
    inFlightItems.add(entry)
    server.batchInFlight++
    return entry
  }

  function remove (entry: InFlightItem): void {
    inFlightItems.delete(entry)
    server.batchInFlight--
    entry.run.finish()
    if (entry.stoppedAt !== undefined) metrics.record(Latency.Yield, clock.now() - entry.stoppedAt)
    changed.notify()
    itemEnded.notify()
  }

  async function runInFlightItem (entry: InFlightItem): Promise<void> {
    const { item, route, pool, run } = entry
    if (run.signal.aborted || !isGrantValid(item)) return requeueOrKeep(entry)
    const shouldCountBytes = server.announcement.region !== services.location.region
    const budget = services.getByteBudget(pool.name)
    const grant = { ...item.grant, partial: item.partial, offset: item.offset }
    const end = await runItem({
      grant,
      route,
      protocol: protocols[pool.protocol],
      connection: connections.to(address),
      signal: run.signal,
      countBytes: bytes => { if (shouldCountBytes) budget.spend(bytes) }
    })
    metrics.count(Counter.Items, end.kind)
    if (end.kind === ItemEndKind.Complete) {
      completionTimes.push(clock.now())
      return completions.complete(end.completion)
    }
    item.partial = end.requeue.partial
    item.offset = end.requeue.offset
    if (end.requeue.attempted) return completions.requeue(end.requeue)
    if (!run.signal.aborted) await waitAfterBrokenRun(entry, end.failed)
    requeueOrKeep(entry)
  }

  // Otherwise the item would be claimed and requeued in a loop until the backend server is reachable again.
  async function waitAfterBrokenRun (entry: InFlightItem, { sent, failure }: AttemptFailure): Promise<void> {
    if (!sent) {
      server.avoidedSince = clock.now()
      return
    }
    if (failure.reason === FailureReason.Reset) await inspection.inspect(server, entry.incarnation)
    await clock.sleep(brokenRunDelayMs, entry.run.signal)
  }

  // After a yield the item stays on this host and resumes as soon as the backend server is idle again.
  function requeueOrKeep (entry: InFlightItem): void {
    if (entry.run.signal.reason === StopCause.Yield) claimed.add(entry.item)
    else completions.requeue(createRequeuedItem(entry.item))
  }

  async function recordAndStart (group: readonly InFlightItem[]): Promise<void> {
    const items = group.map(entry => createRequeuedItem(entry.item))
    const outcome = await control.execute({ kind: CommandKind.Start, items }, startTimeoutMs)
    const accepted = outcome.isOk() && outcome.value.kind === OutcomeKind.Started ? outcome.value.accepted : []
    for (const [position, entry] of group.entries()) {
      if (accepted[position] === true) {
        runInBackground(entry)
        continue
      }
      // Nothing was sent, so the item can be requeued even if control recorded the start and the response was lost.
      completions.requeue(createRequeuedItem(entry.item))
      remove(entry)
    }
  }

  function runInBackground (entry: InFlightItem): void {
    runInFlightItem(entry).finally(() => remove(entry)).catch(() => {})
  }

  return {
    get count () { return inFlightItems.size },
    countCompletedSince (since) {
      completionTimes = completionTimes.filter(time => time > since)
      return completionTimes.length
    },
    startUpTo (limit) {
      const nonIdempotent: InFlightItem[] = []
      while (inFlightItems.size < limit) {
        const item = claimed.take()
        if (item === undefined) break
        const entry = createInFlightItem(item)
        if (entry === undefined) continue
        if (entry.route.idempotent) runInBackground(entry)
        else nonIdempotent.push(entry)
      }
      if (nonIdempotent.length > 0) recordAndStart(nonIdempotent).catch(() => {})
    },
    yieldTo (limit, pool) {
      const latestFirst = [...inFlightItems].filter(entry => entry.route.idempotent).reverse()
      let remaining = inFlightItems.size - latestFirst.filter(entry => entry.stoppedAt !== undefined).length
      for (const entry of latestFirst) {
        if (remaining <= limit) break
        if (entry.stoppedAt !== undefined) continue
        entry.stoppedAt = clock.now()
        entry.run.stop(StopCause.Yield)
        metrics.count(Counter.Yields, pool)
        remaining--
      }
    },
    stopAll (cause) {
      for (const entry of inFlightItems) {
        // A stopped item that is not idempotent would end with an unknown outcome, so it continues while this host may run it.
        if (!entry.route.idempotent && isGrantValid(entry.item)) continue
        entry.run.stop(cause)
      }
    },
    async ended () {
      while (inFlightItems.size > 0) await itemEnded.wait(maxCheckIntervalMs)
    }
  }
}
