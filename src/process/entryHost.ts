/**
 * An entry host: serves callers, hears announcements, routes live requests and dispatches batch items.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { createBackendServerConnections } from '../connection/backendServerConnection.ts'
import { type BatchServices, runBatchDispatch } from '../connection/batchDispatch.ts'
import type { ControlClient } from '../connection/controlClient.ts'
import { createControlStream, type Session } from '../connection/controlStream.ts'
import { createCrashInspection } from '../connection/crashInspection.ts'
import { createDispatchReceiver, type DispatchReceiver, runDispatchPeer } from '../connection/dispatchPeer.ts'
import { createEngineProtocol } from '../connection/engineProtocol.ts'
import { runEntryPeer } from '../connection/entryPeer.ts'
import type { InternalClients } from '../connection/internalClient.ts'
import { createOpenRequests, type OpenRequests } from '../connection/openRequests.ts'
import { createServiceProtocol } from '../connection/serviceProtocol.ts'
import type { Announcement, ShareReceiver } from '../connection/share.ts'
import { createCallerApi } from '../request/callerApi.ts'
import { createErrorAnswers } from '../request/errorAnswer.ts'
import type { LiveServices } from '../request/liveRequest.ts'
import { refuse, type Refusal, RefusalReason } from '../request/refusal.ts'
import { createCurrentVersion, type CurrentVersion } from '../version/currentVersion.ts'
import { ProtocolKind } from '../version/tables.ts'
import { createAccounts } from './accounts.ts'
import { type BackendServers, createBackendServers } from './backendServers.ts'
import type { Clock } from './clock.ts'
import { type ByteBudget, createByteBudget } from './byteBudget.ts'
import { createCompletions } from './completions.ts'
import { createItemRuns } from './itemRuns.ts'
import { createLeaseDirectory } from './leaseDirectory.ts'
import type { Lifecycle } from './lifecycle.ts'
import { createLiveWork } from './liveWork.ts'
import type { Logger } from './logger.ts'
import type { Metrics } from './metrics.ts'
import { createQuarantine, type Quarantine } from './quarantine.ts'
import type { Random } from './random.ts'
import { createRetryBudget, type RetryBudget } from './retryBudget.ts'
import type { EntryHost } from './sessions.ts'
import type { Settings } from './settings.ts'
import { createSharedNews, type SharedNews } from './sharedNews.ts'

/** How often the tasks for peers and backend servers are brought in line with what is known, in milliseconds. */
const alignMs = 500

/** Pause before a refused caller should try again, in milliseconds. */
const refusedRetryMs = 1_000

/** What an entry host needs. */
export interface EntryHostInputs {
  readonly settings: Settings
  readonly callerAddress: string
  readonly control: ControlClient
  readonly clients: InternalClients
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly lifecycle: Lifecycle
}

/** A running entry host. */
export interface RunningEntryHost {
  readonly api: ReturnType<typeof createCallerApi>
  readonly shareReceiver: ShareReceiver
  readonly dispatchReceiver: DispatchReceiver
  readonly backendServers: BackendServers
  readonly quarantine: Quarantine
  readonly session: Session
  readonly version: CurrentVersion
  /** Requests that callers wait for. */
  readonly openRequests: OpenRequests
  /**
   * Leaves: out of the address answers at once, then no new requests, then waits for the last one.
   * @returns a promise that resolves when nothing runs any more
   */
  drain (): Promise<void>
}

/**
 * Starts an entry host.
 * @param inputs - what it needs
 * @returns the running entry host
 */
export function createEntryHost (inputs: EntryHostInputs): RunningEntryHost {
  const { settings, control, clients, clock, random, logger, metrics, lifecycle } = inputs
  const holder = `${settings.host}/${randomUUID()}`
  const version = createCurrentVersion()
  const news = createSharedNews(clock)
  const quarantine = createQuarantine({ clock, logger, tell: report => news.reportCrash(report) })
  const backendServers = createBackendServers(clock, logger, (address, incarnation) => quarantine.reportCrash(address, incarnation))
  const leases = createLeaseDirectory(clock)
  const liveWork = createLiveWork(clock, backendServers.find)
  const byteBudgets = new Map<string, ByteBudget>()
  let claims = 0
  const runs = createItemRuns()
  const accounts = createAccounts()
  const budgets = new Map<string, RetryBudget>()
  const batchEnd = new AbortController()
  let draining = false
  let refusing = false
  const openRequests = createOpenRequests()

  const stream = createControlStream({
    control, version, clock, random, logger, describe, stopJobs: jobs => runs.stopJobs(jobs), stopAll: () => runs.stopAll(), signal: lifecycle.signal
  })
  const { session } = stream
  const connections = createBackendServerConnections({ metrics, lifecycle, crossesRegions })
  const inspection = createCrashInspection({ connections, backendServers, quarantine })
  const protocols = { [ProtocolKind.Engine]: createEngineProtocol(), [ProtocolKind.Service]: createServiceProtocol() }
  const completions = createCompletions(control, logger)

  function describe (): EntryHost {
    return {
      holder,
      host: settings.host,
      callerAddress: inputs.callerAddress,
      internalAddress: settings.internalAddress,
      availabilityZone: settings.availabilityZone,
      region: settings.region,
      draining
    }
  }

  function gate (): Refusal | undefined {
    if (refusing) return refuse(RefusalReason.Draining, 'this entry host is shutting down', refusedRetryMs)
    if (!version.isConfirmed(clock.now())) return refuse(RefusalReason.StaleConfiguration, 'control has not confirmed the configuration', refusedRetryMs)
    return undefined
  }

  function retryBudgetOf (pool: string): RetryBudget {
    const budget = budgets.get(pool) ?? createRetryBudget()
    budgets.set(pool, budget)
    return budget
  }

  function crossesRegions (address: string): boolean {
    const region = backendServers.find(address)?.announcement.region
    return region !== undefined && region !== settings.region
  }

  function byteBudgetOf (pool: string): ByteBudget {
    const budget = byteBudgets.get(pool) ?? createByteBudget()
    byteBudgets.set(pool, budget)
    return budget
  }

  function hear (announcement: Announcement): void {
    backendServers.hear(announcement, 0)
    news.announce(announcement)
  }

  function callableHosts (): EntryHost[] {
    const hosts = session.entryHosts.filter(host => !host.draining)
    return hosts.sort((left, right) => distance(left, settings) - distance(right, settings))
  }

  const shareReceiver: ShareReceiver = {
    receive (share) {
      for (const { announcement, ageMs } of share.announcements) backendServers.hear(announcement, ageMs)
      for (const report of share.crashes) quarantine.hear(report)
      return true
    }
  }

  const live: LiveServices = {
    accounts, backendServers, liveWork, connections, quarantine, inspection, protocols, retryBudgetOf, location: settings, clock, random, logger, metrics
  }
  const errors = createErrorAnswers(metrics, () => callableHosts().filter(host => host.holder !== holder).map(host => host.callerAddress))
  const api = createCallerApi({
    live,
    control,
    errors,
    clock,
    configuration: () => version.configuration,
    gate,
    entryHosts: callableHosts,
    addressKeepMs: settings.addressKeepMs,
    hear
  })

  const batch: BatchServices = {
    holder,
    location: settings,
    control,
    session,
    version,
    connections,
    protocols,
    completions,
    runs,
    leases,
    liveWork,
    quarantine,
    inspection,
    byteBudgetOf,
    nextSequence: () => ++claims,
    clock,
    random,
    logger,
    metrics,
    ended: lifecycle.signal
  }
  lifecycle.run(stream.run)
  lifecycle.run(signal => completions.run(signal))
  lifecycle.run(signal => alignTasks({ batch, news, clients, settings, holder, backendServers, session, clock, signal, batchSignal: batchEnd.signal }))

  async function drain (): Promise<void> {
    draining = true
    await clock.sleep(settings.addressKeepMs, lifecycle.signal)
    refusing = true
    batchEnd.abort()
    while (leases.listOwn().length > 0 && !lifecycle.signal.aborted) await leases.changed.wait(alignMs, lifecycle.signal)
    await openRequests.ended(lifecycle.signal)
    // Ends that were not recorded would be run again, and started items would end as unknown.
    await runs.idle()
    await completions.sent(lifecycle.signal)
  }

  return {
    api, shareReceiver, dispatchReceiver: createDispatchReceiver(leases, liveWork), backendServers, quarantine, session, version, openRequests, drain
  }
}

interface Alignment {
  readonly batch: BatchServices
  readonly news: SharedNews
  readonly clients: InternalClients
  readonly settings: Settings
  readonly holder: string
  readonly backendServers: BackendServers
  readonly session: Session
  readonly clock: Clock
  readonly signal: AbortSignal
  readonly batchSignal: AbortSignal
}

/** Keeps one task for each peer entry host and for each backend server. */
async function alignTasks (alignment: Alignment): Promise<void> {
  const { batch, news, clients, settings, holder, backendServers, session, clock, signal, batchSignal } = alignment
  const tasks = new Map<string, AbortController>()
  const running = new Set<Promise<void>>()

  function ensure (name: string, run: (taskSignal: AbortSignal) => Promise<void>): void {
    if (tasks.has(name)) return
    const controller = new AbortController()
    tasks.set(name, controller)
    const task = run(AbortSignal.any([signal, controller.signal])).finally(() => {
      running.delete(task)
      tasks.delete(name)
    })
    running.add(task)
  }

  while (!signal.aborted) {
    const wanted = new Set<string>()
    for (const host of session.entryHosts) {
      if (host.holder === holder) continue
      const name = `entry ${host.internalAddress}`
      wanted.add(name)
      ensure(name, taskSignal => runEntryPeer({ address: host.internalAddress, host: settings.host, news, clients, clock, signal: taskSignal }))
    }
    for (const host of session.entryHosts) {
      if (host.holder === holder) continue
      const name = `dispatch ${host.holder}`
      wanted.add(name)
      const { leases, liveWork, metrics } = batch
      ensure(name, taskSignal => runDispatchPeer({ address: host.internalAddress, peer: host.holder, holder, leases, liveWork, clients, clock, metrics, signal: taskSignal }))
    }
    for (const server of backendServers.list()) {
      const name = `batch ${server.announcement.address}`
      wanted.add(name)
      if (batchSignal.aborted) continue
      ensure(name, taskSignal => runBatchDispatch(server, batch, AbortSignal.any([taskSignal, batchSignal])))
    }
    for (const [name, controller] of tasks) {
      if (!wanted.has(name)) controller.abort()
    }
    await backendServers.changed.wait(alignMs, signal)
  }
  await Promise.all(running)
}

function distance (host: EntryHost, settings: Settings): number {
  if (host.availabilityZone === settings.availabilityZone) return 0
  return host.region === settings.region ? 1 : 2
}
