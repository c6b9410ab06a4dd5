/**
 * An entry host: serves callers, receives announcements, routes live requests and dispatches batch items.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { createBackendServerConnections } from '../../connection/backendServerConnection.ts'
import type { BatchServices } from '../../connection/batchServices.ts'
import type { ControlClient } from '../../connection/controlClient.ts'
import { createControlStream, type Session } from '../../connection/controlStream.ts'
import { createCrashInspection } from '../../connection/crashInspection.ts'
import { createDispatchReceiver, type DispatchReceiver } from '../../connection/dispatchUpdate.ts'
import { createEngineProtocol } from '../../connection/engineProtocol.ts'
import type { InternalClients } from '../../connection/internalClient.ts'
import type { OpenRequests } from '../../connection/openRequests.ts'
import { createOrderConnection } from '../../connection/orderIssuer.ts'
import { createServiceProtocol } from '../../connection/serviceProtocol.ts'
import type { Announcement, ShareReceiver } from '../../connection/share.ts'
import { createCallerApi } from '../../request/callerApi.ts'
import { createErrorResponses } from '../../request/errorResponses.ts'
import type { LiveServices } from '../../request/liveServices.ts'
import { createRefusal, type Refusal, RefusalReason } from '../../request/refusal.ts'
import { createCurrentVersion, type CurrentVersion } from '../../version/currentVersion.ts'
import { ProtocolKind } from '../../version/tables.ts'
import { createPoolLoads } from '../state/poolLoads.ts'
import { type BackendServers, createBackendServers } from '../routing/backendServers.ts'
import type { Clock } from '../program/clock.ts'
import { type ByteBudget, createByteBudget } from '../jobs/byteBudget.ts'
import { createCompletions } from '../jobs/completions.ts'
import { createItemRuns } from '../jobs/itemRuns.ts'
import { createLeaseDirectory } from '../routing/leaseDirectory.ts'
import { reconcileDispatchTasks, reconcileOrderTasks, reconcilePeerTasks } from './entryTasks.ts'
import type { Lifecycle } from '../program/lifecycle.ts'
import { createLiveWork } from '../routing/liveWork.ts'
import type { Logger } from '../program/logger.ts'
import type { Metrics } from '../program/metrics.ts'
import { createQuarantine, type Quarantine } from '../routing/quarantine.ts'
import type { Random } from '../program/random.ts'
import { createRetryBudget, type RetryBudget } from '../routing/retryBudget.ts'
import { type EntryHost, sessionTimeoutMs } from '../state/sessions.ts'
import type { Settings } from '../program/settings.ts'
import { createSharedUpdates } from '../routing/sharedUpdates.ts'
import { createTimeLimit } from '../program/timeLimit.ts'

/** Retry-After of refusals by this host, in milliseconds. */
const refusalRetryAfterMs = 1_000

/** Dependencies and settings of an entry host. */
export interface EntryHostInputs {
  readonly settings: Settings
  readonly callerAddress: string
  /** Open requests of callers and operators. */
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
  readonly dispatchReceiver: DispatchReceiver
  readonly backendServers: BackendServers
  readonly quarantine: Quarantine
  readonly session: Session
  readonly version: CurrentVersion
  /**
   * Shuts down gracefully: removes this host from address responses, refuses new requests once callers' cached addresses
   * have expired, and waits for requests and batch items in flight.
   * @param limit - ends the wait for requests early
   * @returns a promise that resolves when no item is running, and no request unless the limit has aborted
   */
  drain (limit?: AbortSignal): Promise<void>
}

/**
 * Starts an entry host.
 * @param inputs - dependencies and settings of the entry host
 * @returns the running entry host
 */
export function createEntryHost (inputs: EntryHostInputs): RunningEntryHost {
  const { settings, openRequests, control, clients, clock, random, logger, metrics, lifecycle } = inputs
  const holder = `${settings.host}/${randomUUID()}`
  const version = createCurrentVersion()
  const updates = createSharedUpdates(clock)
  const quarantine = createQuarantine({ clock, logger, broadcast: report => updates.addCrashReport(report) })
  const backendServers = createBackendServers(clock, logger, (address, incarnation) => quarantine.reportCrash(address, incarnation))
  const leases = createLeaseDirectory(clock)
  const liveWork = createLiveWork(clock, backendServers.find)
  const byteBudgets = new Map<string, ByteBudget>()
  let lastClaimSequence = 0
  const runs = createItemRuns()
  const poolLoads = createPoolLoads()
  const retryBudgets = new Map<string, RetryBudget>()
  const batchAbort = new AbortController()
  let isDraining = false
  let isRefusingRequests = false

  const stream = createControlStream({
    control, version, clock, random, logger, describe: describeHost, stopJobs: jobs => runs.stopJobs(jobs), stopAll: () => runs.stopAll(), signal: lifecycle.signal
  })
  const { session } = stream
  const connections = createBackendServerConnections({ metrics, lifecycle, isInOtherRegion })
  const inspection = createCrashInspection({ connections, backendServers, quarantine })
  const protocols = { [ProtocolKind.Engine]: createEngineProtocol(), [ProtocolKind.Service]: createServiceProtocol() }
  const completions = createCompletions(control, logger)

  function describeHost (): EntryHost {
    return {
      holder,
      host: settings.host,
      callerAddress: inputs.callerAddress,
      internalAddress: settings.internalAddress,
      availabilityZone: settings.availabilityZone,
      region: settings.region,
      draining: isDraining
    }
  }

  function getRefusal (): Refusal | undefined {
    if (isRefusingRequests) return createRefusal(RefusalReason.Draining, 'this entry host is shutting down', refusalRetryAfterMs)
    if (!version.isConfirmed(clock.now())) return createRefusal(RefusalReason.StaleConfiguration, 'control has not confirmed the configuration', refusalRetryAfterMs)
    return undefined
  }

  function getRetryBudget (pool: string): RetryBudget {
    const budget = retryBudgets.get(pool) ?? createRetryBudget()
    retryBudgets.set(pool, budget)
    return budget
  }

  function isInOtherRegion (address: string): boolean {
    const region = backendServers.find(address)?.announcement.region
    return region !== undefined && region !== settings.region
  }

  function getByteBudget (pool: string): ByteBudget {
    const budget = byteBudgets.get(pool) ?? createByteBudget()
    byteBudgets.set(pool, budget)
    return budget
  }

  function recordAnnouncement (announcement: Announcement): void {
    // An announcement that is not newer was already received from a peer, which shares it with the other hosts.
    if (backendServers.recordAnnouncement(announcement, 0)) updates.addAnnouncement(announcement)
  }

  function listHostsForCallers (): EntryHost[] {
    // Control may not know yet that this host is draining.
    const hosts = session.entryHosts.filter(host => !host.draining && !(isDraining && host.holder === holder))
    return hosts.sort((left, right) => getDistance(left, settings) - getDistance(right, settings))
  }

  const shareReceiver: ShareReceiver = {
    receive (share) {
      for (const { announcement, ageMs } of share.announcements) backendServers.recordAnnouncement(announcement, ageMs)
      for (const report of share.crashes) quarantine.recordCrashReport(report)
      return { unheld: share.renewals.filter(renewal => !backendServers.renew(renewal)).map(renewal => renewal.address) }
    }
  }

  const live: LiveServices = {
    poolLoads, backendServers, liveWork, connections, quarantine, inspection, protocols, getRetryBudget, location: settings, clock, random, logger, metrics
  }
  const errors = createErrorResponses(metrics, logger, () => listHostsForCallers().filter(host => host.holder !== holder).map(host => host.callerAddress))
  const api = createCallerApi({
    live,
    control,
    errors,
    clock,
    configuration: () => version.configuration,
    gate: getRefusal,
    entryHosts: listHostsForCallers,
    addressKeepMs: settings.addressKeepMs,
    recordAnnouncement
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
    inspection,
    getByteBudget,
    nextSequence: () => ++lastClaimSequence,
    clock,
    random,
    logger,
    metrics,
    ended: lifecycle.signal
  }
  lifecycle.run(stream.run)
  lifecycle.run(signal => completions.run(signal))
  lifecycle.run(signal => reconcilePeerTasks({ updates, leases, liveWork, metrics, clients, settings, holder, session, clock, signal }))
  const orderServices = { holder, control, session, version, backendServers, orders: createOrderConnection(lifecycle), clock, logger }
  const ordering = reconcileOrderTasks(orderServices, AbortSignal.any([lifecycle.signal, batchAbort.signal]))
  lifecycle.run(() => ordering)
  const dispatching = reconcileDispatchTasks({ batch, backendServers, signal: AbortSignal.any([lifecycle.signal, batchAbort.signal]) })
  lifecycle.run(() => dispatching)

  // Items are requeued and leases released while callers are still being served.
  async function endBatch (): Promise<void> {
    batchAbort.abort()
    await Promise.all([dispatching, ordering])
    await completions.sent(createTimeLimit(sessionTimeoutMs, lifecycle.signal, clock))
  }

  async function drain (limit = lifecycle.signal): Promise<void> {
    isDraining = true
    const batchEnded = endBatch()
    await Promise.all([stream.report(), clock.sleep(settings.addressKeepMs, lifecycle.signal)])
    isRefusingRequests = true
    await Promise.all([batchEnded, openRequests.ended(limit)])
    // An item whose end is not recorded runs again, or ends as unknown if it has started.
    await runs.waitUntilIdle()
    await completions.sent(lifecycle.signal)
  }

  return {
    api, shareReceiver, dispatchReceiver: createDispatchReceiver(leases, liveWork), backendServers, quarantine, session, version, drain
  }
}

function getDistance (host: EntryHost, settings: Settings): number {
  if (host.availabilityZone === settings.availabilityZone) return 0
  return host.region === settings.region ? 1 : 2
}
