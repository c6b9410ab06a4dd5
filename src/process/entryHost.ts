/**
 * An entry host: serves callers, hears announcements, routes live requests and dispatches batch items.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { createBackendServerConnections } from '../connection/backendServerConnection.ts'
import { type BatchServices, createItemRuns, runBatchDispatch } from '../connection/batchDispatch.ts'
import type { ControlClient } from '../connection/controlClient.ts'
import { createControlStream, type Session } from '../connection/controlStream.ts'
import { createEngineProtocol } from '../connection/engineProtocol.ts'
import { runEntryPeer } from '../connection/entryPeer.ts'
import type { InternalClients } from '../connection/internalClient.ts'
import type { OpenRequests } from '../connection/openRequests.ts'
import { createOrderConnection, type OrderServices, runOrderIssuer } from '../connection/orderIssuer.ts'
import { createServiceProtocol } from '../connection/serviceProtocol.ts'
import type { Announcement, ShareReceiver } from '../connection/share.ts'
import { createCallerApi } from '../request/callerApi.ts'
import { createErrorAnswers } from '../request/errorAnswer.ts'
import type { LiveServices } from '../request/liveRequest.ts'
import { refuse, type Refusal, RefusalReason } from '../request/refusal.ts'
import { createCurrentVersion, type CurrentVersion } from '../version/currentVersion.ts'
import { ProtocolKind } from '../version/tables.ts'
import { createAccounts } from './accounts.ts'
import { type BackendServer, type BackendServers, createBackendServers } from './backendServers.ts'
import type { Clock } from './clock.ts'
import { createCompletions } from './completions.ts'
import type { Lifecycle } from './lifecycle.ts'
import type { Logger } from './logger.ts'
import type { Metrics } from './metrics.ts'
import type { Random } from './random.ts'
import { createRetryBudget, type RetryBudget } from './retryBudget.ts'
import { type EntryHost, sessionLimitMs } from './sessions.ts'
import type { Settings } from './settings.ts'
import { createSharedNews, type SharedNews } from './sharedNews.ts'
import { createTaskSet } from './taskSet.ts'

/** How often the tasks for peers and backend servers are brought in line with what is known, in milliseconds. */
const alignMs = 500

/** Pause before a refused caller should try again, in milliseconds. */
const refusedRetryMs = 1_000

/** What an entry host needs. */
export interface EntryHostInputs {
  readonly settings: Settings
  readonly callerAddress: string
  /** Requests that callers and operators wait for. */
  readonly openRequests: OpenRequests
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
  readonly backendServers: BackendServers
  readonly session: Session
  readonly version: CurrentVersion
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
  const { settings, openRequests, control, clients, clock, random, logger, metrics, lifecycle } = inputs
  const holder = `${settings.host}/${randomUUID()}`
  const version = createCurrentVersion()
  const backendServers = createBackendServers(clock, logger)
  const news = createSharedNews(clock)
  const runs = createItemRuns()
  const accounts = createAccounts()
  const budgets = new Map<string, RetryBudget>()
  const batchEnd = new AbortController()
  let draining = false
  let refusing = false

  const stream = createControlStream({
    control, version, clock, random, logger, describe, stopJobs: jobs => runs.stopJobs(jobs), signal: lifecycle.signal
  })
  const { session } = stream
  const connections = createBackendServerConnections({ clock, metrics, lifecycle })
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

  function hear (announcement: Announcement): void {
    // An announcement that is not newer came by another path, and the host that heard it tells the others.
    if (backendServers.hear(announcement, 0)) news.announce(announcement)
  }

  function callableHosts (): EntryHost[] {
    // Control may not have heard yet that this host drains.
    const hosts = session.entryHosts.filter(host => !host.draining && !(draining && host.holder === holder))
    return hosts.sort((left, right) => distance(left, settings) - distance(right, settings))
  }

  const shareReceiver: ShareReceiver = {
    receive (share) {
      for (const { announcement, ageMs } of share.announcements) backendServers.hear(announcement, ageMs)
      return true
    }
  }

  const live: LiveServices = { accounts, backendServers, connections, protocols, retryBudgetOf, location: settings, clock, random, logger, metrics }
  const errors = createErrorAnswers(metrics, logger, () => callableHosts().filter(host => host.holder !== holder).map(host => host.callerAddress))
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

  const batch: BatchServices = { holder, control, session, version, connections, protocols, completions, runs, clock, metrics }
  lifecycle.run(stream.run)
  lifecycle.run(signal => completions.run(signal))
  lifecycle.run(signal => alignPeers({ news, clients, settings, holder, session, clock, signal }))
  const orderServices = { holder, control, session, version, backendServers, orders: createOrderConnection(lifecycle), clock, logger }
  const ordering = alignOrders(orderServices, AbortSignal.any([lifecycle.signal, batchEnd.signal]))
  lifecycle.run(() => ordering)
  const dispatching = alignDispatch({ batch, backendServers, signal: AbortSignal.any([lifecycle.signal, batchEnd.signal]) })
  lifecycle.run(() => dispatching)

  // Items go back and leases are released while callers may still come.
  async function endBatch (): Promise<void> {
    batchEnd.abort()
    await Promise.all([dispatching, ordering])
    await completions.flushed(AbortSignal.any([lifecycle.signal, AbortSignal.timeout(sessionLimitMs)]))
  }

  async function drain (): Promise<void> {
    draining = true
    const batchEnded = endBatch()
    await Promise.all([stream.report(), clock.sleep(settings.addressKeepMs, lifecycle.signal)])
    refusing = true
    await Promise.all([batchEnded, openRequests.ended(lifecycle.signal)])
  }

  return { api, shareReceiver, backendServers, session, version, drain }
}

interface PeerAlignment {
  readonly news: SharedNews
  readonly clients: InternalClients
  readonly settings: Settings
  readonly holder: string
  readonly session: Session
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Keeps one task for each peer entry host. */
async function alignPeers (alignment: PeerAlignment): Promise<void> {
  const { news, clients, settings, holder, session, clock, signal } = alignment
  const tasks = createTaskSet(signal)
  while (!signal.aborted) {
    const wanted = new Set<string>()
    for (const host of latestStarts(session.entryHosts)) {
      if (host.holder === holder) continue
      // The subject is the start of the peer, not its address: a peer that restarts has lost what it was told.
      wanted.add(host.holder)
      tasks.ensure(host.holder, taskSignal => runEntryPeer({ address: host.internalAddress, host: settings.host, news, clients, clock, signal: taskSignal }))
    }
    tasks.endAllBut(wanted)
    await session.changed.wait(alignMs, signal)
  }
  await tasks.ended()
}

interface DispatchAlignment {
  readonly batch: BatchServices
  readonly backendServers: BackendServers
  readonly signal: AbortSignal
}

/** Keeps one task for each backend server, and ends when each has returned its items and its lease. */
async function alignDispatch (alignment: DispatchAlignment): Promise<void> {
  const { batch, backendServers, signal } = alignment
  const tasks = createTaskSet(signal)
  const leaving = new Set<BackendServer>()
  while (!signal.aborted) {
    const wanted = new Set<BackendServer>()
    for (const server of backendServers.list()) {
      // The subject is the object: one that expired and was announced again is another object, which a task of the
      // first would never see.
      wanted.add(server)
      if (server.announcement.leaving) leaving.add(server)
      tasks.ensure(server, taskSignal => runBatchDispatch(server, batch, taskSignal))
    }
    // A backend server that leaves may stop its announcements before its last item has ended.
    for (const server of leaving) {
      if (server.batchInFlight === 0) leaving.delete(server)
      else wanted.add(server)
    }
    tasks.endAllBut(wanted)
    await backendServers.changed.wait(alignMs, signal)
  }
  await tasks.ended()
}

/** Keeps one task for each pool with models to load. */
async function alignOrders (services: OrderServices, signal: AbortSignal): Promise<void> {
  const tasks = createTaskSet(signal)
  while (!signal.aborted) {
    const wanted = new Set<string>()
    for (const pool of services.version.configuration.pools) {
      if (pool.models.length === 0) continue
      wanted.add(pool.name)
      tasks.ensure(pool.name, taskSignal => runOrderIssuer(pool.name, services, taskSignal))
    }
    tasks.endAllBut(wanted)
    await services.session.changed.wait(alignMs, signal)
  }
  await tasks.ended()
}

/** Of two starts of a host under one address, control lists the later one last until the session of the first expires. */
function latestStarts (entryHosts: readonly EntryHost[]): Iterable<EntryHost> {
  const latest = new Map<string, EntryHost>()
  for (const host of entryHosts) latest.set(host.internalAddress, host)
  return latest.values()
}

function distance (host: EntryHost, settings: Settings): number {
  if (host.availabilityZone === settings.availabilityZone) return 0
  return host.region === settings.region ? 1 : 2
}
