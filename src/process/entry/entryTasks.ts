/**
 * Reconciles the tasks of an entry host with the known peer entry hosts, backend servers and pools with models: one task for
 * each.
 * @module
 */
import { runBatchDispatch } from '../../connection/batchDispatch.ts'
import type { BatchServices } from '../../connection/batchServices.ts'
import type { Session } from '../../connection/controlStream.ts'
import { runDispatchPeer } from '../../connection/dispatchPeer.ts'
import { runEntryPeer } from '../../connection/entryPeer.ts'
import type { InternalClients } from '../../connection/internalClient.ts'
import { type OrderServices, runOrderIssuer } from '../../connection/orderIssuer.ts'
import type { BackendServer, BackendServers } from '../routing/backendServers.ts'
import type { Clock } from '../program/clock.ts'
import type { LeaseDirectory } from '../routing/leaseDirectory.ts'
import type { LiveWork } from '../routing/liveWork.ts'
import type { Metrics } from '../program/metrics.ts'
import type { EntryHost } from '../state/sessions.ts'
import type { Settings } from '../program/settings.ts'
import type { SharedUpdates } from '../routing/sharedUpdates.ts'
import { createTaskSet } from '../program/taskSet.ts'

/** Interval between reconciliations when no change is notified, in milliseconds. */
const reconcileIntervalMs = 500

/** Dependencies and settings of the tasks for peer entry hosts. */
export interface PeerTaskInputs {
  readonly updates: SharedUpdates
  readonly leases: LeaseDirectory
  readonly liveWork: LiveWork
  readonly metrics: Metrics
  readonly clients: InternalClients
  readonly settings: Settings
  /** Identifies this process start of the host as a holder of leases. */
  readonly holder: string
  readonly session: Session
  readonly clock: Clock
  readonly signal: AbortSignal
}

/**
 * Runs a share task and a dispatch task for each peer entry host until the signal aborts.
 * @param inputs - dependencies and settings of the tasks; the signal ends them
 * @returns a promise that resolves when all tasks have ended
 */
export async function reconcilePeerTasks (inputs: PeerTaskInputs): Promise<void> {
  const { updates, leases, liveWork, metrics, clients, settings, holder, session, clock, signal } = inputs
  const shareTasks = createTaskSet(signal)
  const dispatchTasks = createTaskSet(signal)
  while (!signal.aborted) {
    const wanted = new Set<string>()
    for (const host of selectLatestStarts(session.entryHosts)) {
      if (host.holder === holder) continue
      // The key is the process start of the peer, not its address: a restarted peer has lost the updates it received before.
      wanted.add(host.holder)
      const address = host.internalAddress
      shareTasks.ensure(host.holder, taskSignal => runEntryPeer({ address, host: settings.host, updates, clients, clock, signal: taskSignal }))
      dispatchTasks.ensure(host.holder, taskSignal =>
        runDispatchPeer({ address, peer: host.holder, holder, leases, liveWork, clients, clock, metrics, signal: taskSignal }))
    }
    shareTasks.abortAllExcept(wanted)
    dispatchTasks.abortAllExcept(wanted)
    await session.changed.wait(reconcileIntervalMs, signal)
  }
  await Promise.all([shareTasks.ended(), dispatchTasks.ended()])
}

/** Dependencies of the batch dispatch tasks. */
export interface DispatchTaskInputs {
  readonly batch: BatchServices
  readonly backendServers: BackendServers
  readonly signal: AbortSignal
}

/**
 * Runs a batch dispatch task for each backend server until the signal aborts.
 * @param inputs - dependencies of the tasks; the signal ends them
 * @returns a promise that resolves when all tasks have requeued their items and released their leases
 */
export async function reconcileDispatchTasks (inputs: DispatchTaskInputs): Promise<void> {
  const { batch, backendServers, signal } = inputs
  const tasks = createTaskSet(signal)
  const leaving = new Set<BackendServer>()
  while (!signal.aborted) {
    const wanted = new Set<BackendServer>()
    for (const server of backendServers.list()) {
      // The key is the object, not the address: a server that expired and was announced again is a new object, which the
      // task of the old one would never see.
      wanted.add(server)
      if (server.announcement.leaving) leaving.add(server)
      tasks.ensure(server, taskSignal => runBatchDispatch(server, batch, taskSignal))
    }
    // A leaving backend server may stop its announcements before its last item has ended.
    for (const server of leaving) {
      if (server.batchInFlight === 0) leaving.delete(server)
      else wanted.add(server)
    }
    tasks.abortAllExcept(wanted)
    await backendServers.changed.wait(reconcileIntervalMs, signal)
  }
  await tasks.ended()
}

/**
 * Runs an order task for each pool with models to load until the signal aborts.
 * @param services - dependencies of the tasks
 * @param signal - ends the tasks
 * @returns a promise that resolves when all tasks have released their leases
 */
export async function reconcileOrderTasks (services: OrderServices, signal: AbortSignal): Promise<void> {
  const tasks = createTaskSet(signal)
  while (!signal.aborted) {
    const wanted = new Set<string>()
    for (const pool of services.version.configuration.pools) {
      if (pool.models.length === 0) continue
      wanted.add(pool.name)
      tasks.ensure(pool.name, taskSignal => runOrderIssuer(pool.name, services, taskSignal))
    }
    tasks.abortAllExcept(wanted)
    await services.session.changed.wait(reconcileIntervalMs, signal)
  }
  await tasks.ended()
}

// After a restart control lists both process starts of a host under one address, the later one last, until the session of
// the first expires.
function selectLatestStarts (entryHosts: readonly EntryHost[]): Iterable<EntryHost> {
  const latest = new Map<string, EntryHost>()
  for (const host of entryHosts) latest.set(host.internalAddress, host)
  return latest.values()
}
