/**
 * The task that dispatches batch items to one backend server while this host holds its lease.
 * @module
 */
import { CommandKind, type Grant, OutcomeKind } from '../process/commands.ts'
import type { BackendServer } from '../process/backendServers.ts'
import type { Clock } from '../process/clock.ts'
import type { Completions } from '../process/completions.ts'
import { type Condition, createCondition } from '../process/condition.ts'
import { Counter, type Metrics } from '../process/metrics.ts'
import { ItemEndKind, runItem } from '../request/itemRun.ts'
import type { CurrentVersion } from '../version/currentVersion.ts'
import { findPool, findRoute, type Pool, type ProtocolKind } from '../version/tables.ts'
import type { BackendServerConnections } from './backendServerConnection.ts'
import type { ControlClient } from './controlClient.ts'
import type { Session } from './controlStream.ts'
import type { Protocol } from './protocol.ts'

/** Pause before another host's lease is asked for again, in milliseconds. */
const leaseRetryMs = 1_000

/** Longest wait between two looks at the queue, in milliseconds. */
const idleMs = 200

/** What batch dispatch on one host needs. */
export interface BatchServices {
  readonly holder: string
  readonly control: ControlClient
  readonly session: Session
  readonly version: CurrentVersion
  readonly connections: BackendServerConnections
  readonly protocols: Readonly<Record<ProtocolKind, Protocol>>
  readonly completions: Completions
  readonly runs: ItemRuns
  readonly clock: Clock
  readonly metrics: Metrics
}

/** Items that run on this host. */
export interface ItemRuns {
  /**
   * Registers a running item.
   * @param job - its job
   * @returns the signal that aborts it, and what to call at its end
   */
  start (job: string): { readonly controller: AbortController, readonly finish: () => void }
  /**
   * Aborts the items of cancelled jobs.
   * @param jobs - the jobs
   * @returns a promise that resolves when they have stopped
   */
  stopJobs (jobs: readonly string[]): Promise<void>
}

/**
 * Creates the list of running items.
 * @returns the list
 */
export function createItemRuns (): ItemRuns {
  const running = new Map<string, Set<AbortController>>()
  const ended = createCondition()
  return {
    start (job) {
      const controller = new AbortController()
      const runs = running.get(job) ?? new Set<AbortController>()
      running.set(job, runs)
      runs.add(controller)
      return {
        controller,
        finish () {
          runs.delete(controller)
          if (runs.size === 0) running.delete(job)
          ended.notify()
        }
      }
    },
    async stopJobs (jobs) {
      for (const job of jobs) {
        for (const controller of running.get(job) ?? []) controller.abort()
      }
      while (jobs.some(job => running.has(job))) await ended.wait(idleMs)
    }
  }
}

/**
 * Runs until the signal aborts.
 * @param server - the backend server
 * @param services - what dispatch needs
 * @param signal - ends the task
 * @returns a promise that resolves when the task and all its items have ended
 */
export async function runBatchDispatch (server: BackendServer, services: BatchServices, signal: AbortSignal): Promise<void> {
  const { control, session, clock, holder } = services
  const address = server.announcement.address
  let known = 0
  while (!signal.aborted) {
    const pool = findPool(services.version.configuration, server.announcement.pool)
    if (pool === undefined || pool.batchConcurrency === 0 || !session.isAlive(clock.now()) || server.announcement.leaving) {
      await clock.sleep(leaseRetryMs, signal)
      continue
    }
    const outcome = await control.execute({ kind: CommandKind.AcquireLease, backendServer: address, holder, expected: known }, leaseRetryMs)
    if (outcome.isErr() || outcome.value.kind !== OutcomeKind.Lease) {
      await clock.sleep(leaseRetryMs, signal)
      continue
    }
    known = outcome.value.number
    if (!outcome.value.granted) {
      await clock.sleep(leaseRetryMs, signal)
      continue
    }
    await dispatchUnderLease(server, known, services, signal)
    await control.execute({ kind: CommandKind.ReleaseLease, backendServer: address, holder, number: known }, leaseRetryMs)
  }
}

async function dispatchUnderLease (server: BackendServer, lease: number, services: BatchServices, signal: AbortSignal): Promise<void> {
  const { control, session, version, clock, holder, metrics } = services
  const address = server.announcement.address
  const controllers = new Set<AbortController>()
  const ended = createCondition()
  const unrepeatable = new WeakSet<AbortController>()
  let sequence = 0
  while (!signal.aborted && session.isAlive(clock.now()) && !server.announcement.leaving) {
    const pool = findPool(version.configuration, server.announcement.pool)
    if (pool === undefined) break
    if (server.liveInFlight > 0 && controllers.size > 0) {
      metrics.count(Counter.Yields, pool.name, controllers.size)
      for (const controller of controllers) controller.abort()
    }
    const room = roomFor(server, pool, controllers.size)
    if (room <= 0) {
      await waitForChange(server, ended, signal)
      continue
    }
    sequence++
    const outcome = await control.execute({ kind: CommandKind.Claim, backendServer: address, holder, lease, sequence, pool: pool.name, count: room })
    if (outcome.isErr() || outcome.value.kind !== OutcomeKind.Grants) break
    for (const grant of outcome.value.grants) {
      const run = services.runs.start(grant.job)
      controllers.add(run.controller)
      if (findRoute(version.configuration, grant.route)?.idempotent === false) unrepeatable.add(run.controller)
      server.batchInFlight++
      runGrant(grant, server, services, run.controller.signal).finally(() => {
        controllers.delete(run.controller)
        server.batchInFlight--
        run.finish()
        ended.notify()
      }).catch(() => {})
    }
    if (outcome.value.grants.length === 0) await waitForChange(server, ended, signal)
  }
  // A leaving backend server finishes what it has.
  while (server.announcement.leaving && controllers.size > 0 && !signal.aborted && session.isAlive(clock.now())) {
    await waitForChange(server, ended, signal)
  }
  for (const controller of controllers) {
    // An item that must not run twice would end as unknown if a shutdown cut it off.
    if (!unrepeatable.has(controller) || !session.isAlive(clock.now())) controller.abort()
  }
  while (controllers.size > 0) await ended.wait(idleMs)
}

function roomFor (server: BackendServer, pool: Pool, running: number): number {
  if (server.liveInFlight > 0) return 0
  return Math.min(pool.batchConcurrency, server.announcement.capacity) - running
}

async function waitForChange (server: BackendServer, ended: Condition, signal: AbortSignal): Promise<void> {
  const wake = new AbortController()
  const either = AbortSignal.any([wake.signal, signal])
  await Promise.race([ended.wait(idleMs, either), server.liveChanged.wait(idleMs, either)])
  wake.abort()
}

async function runGrant (grant: Grant, server: BackendServer, services: BatchServices, signal: AbortSignal): Promise<void> {
  const { completions, control, session, version, connections, protocols, metrics, clock } = services
  const route = findRoute(version.configuration, grant.route)
  const pool = route === undefined ? undefined : findPool(version.configuration, route.pool)
  const unchanged = { job: grant.job, position: grant.position, grant: grant.grant, partial: grant.partial, offset: grant.offset, attempted: false }
  if (route === undefined || pool === undefined || session.cancelledJobs.has(grant.job)) return completions.giveBack(unchanged)
  if (!route.idempotent) {
    const outcome = await control.execute({ kind: CommandKind.Start, items: [unchanged] })
    if (outcome.isErr() || outcome.value.kind !== OutcomeKind.Started || outcome.value.accepted[0] !== true) return
  }
  if (!session.isAlive(clock.now()) || session.cancelledJobs.has(grant.job)) return completions.giveBack(unchanged)
  const end = await runItem({ grant, route, protocol: protocols[pool.protocol], connection: connections.to(server.announcement.address), signal })
  metrics.count(Counter.Items, end.kind)
  switch (end.kind) {
    case ItemEndKind.Complete: return completions.complete(end.completion)
    case ItemEndKind.GiveBack: return completions.giveBack(end.returned)
  }
}
