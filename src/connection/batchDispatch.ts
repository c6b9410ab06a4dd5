/**
 * The task that dispatches batch items to one backend server while this host holds the lease on it.
 * @module
 */
import type { BatchServices } from './batchServices.ts'
import type { BackendServer } from '../process/routing/backendServers.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { type Condition, createCondition, waitForEither } from '../process/program/condition.ts'
import { StopCause } from '../process/jobs/itemRuns.ts'
import { computeAcquisitionDelayMs, rankHost } from '../process/routing/leaseDirectory.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { holderSessionTimeoutMs } from '../process/state/sessions.ts'
import { findPreference } from '../version/preference.ts'
import { findPool, type Pool } from '../version/tables.ts'
import { decideGrowth, type Growth, initialGrowth } from './batchGrowth.ts'
import { type BatchItems, createBatchItems } from './batchItems.ts'
import { type ClaimedItems, createClaimedItems, maxHoldMs } from './claimedItems.ts'

/** Delay before a lease held by another host is requested again, and timeout of lease commands, in milliseconds. */
const leaseRetryDelayMs = 1_000

/** Minimum time that a holder keeps a lease although a nearer host is present, in milliseconds; avoids frequent handovers. */
const minLeaseMs = 10_000

/** Maximum interval between two checks, in milliseconds. */
const maxCheckIntervalMs = 200

/** Maximum age at which a load report may still include batch items that have ended, in milliseconds. */
const maxLoadReportAgeMs = 2_000

/**
 * Prefetch window in milliseconds: as many items are claimed ahead as completed within it. More would wait behind long items
 * while other backend servers are idle. With this window 200 short items take fewer than 100 claims (test/batchDispatch).
 */
const claimAheadWindowMs = 1_000

/**
 * Acquires the lease and dispatches items until the signal aborts; when the lease ends, it is requested again.
 * @param server - the backend server
 * @param services - dependencies of batch dispatch
 * @param signal - ends the task
 * @returns a promise that resolves when the task and all its items have ended
 */
export async function runBatchDispatch (server: BackendServer, services: BatchServices, signal: AbortSignal): Promise<void> {
  const { control, clock, holder, leases, location, session } = services
  const address = server.announcement.address
  let knownLeaseNumber = 0
  let lastReceivedClaim = 0
  let leaseFreeSince: number | undefined
  while (!signal.aborted) {
    if (!canHoldLease(server, services) || leases.find(address) !== undefined) {
      leaseFreeSince = undefined
      await leases.changed.wait(leaseRetryDelayMs, signal)
      continue
    }
    leaseFreeSince ??= clock.now()
    const remainingMs = leaseFreeSince + computeAcquisitionDelayMs(location, session.entryHosts, server.announcement) - clock.now()
    if (remainingMs > 0) {
      await clock.sleep(Math.min(remainingMs, maxCheckIntervalMs), signal)
      continue
    }
    const outcome = await control.execute({
      kind: CommandKind.AcquireLease, backendServer: address, holder, expected: knownLeaseNumber, received: lastReceivedClaim
    }, leaseRetryDelayMs)
    if (outcome.isErr() || outcome.value.kind !== OutcomeKind.Lease) {
      await clock.sleep(leaseRetryDelayMs, signal)
      continue
    }
    knownLeaseNumber = outcome.value.number
    if (!outcome.value.granted) {
      // Without a holder the command failed only because the known lease number was outdated, so it is repeated soon.
      await clock.sleep(outcome.value.holder === '' ? maxCheckIntervalMs : leaseRetryDelayMs, signal)
      continue
    }
    leases.setOwn(address, true)
    lastReceivedClaim = await dispatchUnderLease(server, knownLeaseNumber, services, signal)
    await control.execute({
      kind: CommandKind.ReleaseLease, backendServer: address, holder, number: knownLeaseNumber, received: lastReceivedClaim
    }, leaseRetryDelayMs)
    leases.setOwn(address, false)
  }
}

function canHoldLease (server: BackendServer, services: BatchServices): boolean {
  const pool = findPool(services.version.configuration, server.announcement.pool)
  if (pool === undefined || pool.batchConcurrency === 0 || server.announcement.leaving) return false
  return services.session.isAlive(services.clock.now())
}

/** State of the dispatch under one lease. */
interface Dispatch {
  readonly server: BackendServer
  readonly services: BatchServices
  readonly claimed: ClaimedItems
  readonly items: BatchItems
  readonly changed: Condition
  growth: Growth
  /** Monotonic time of the last check that found an item running, in milliseconds. */
  lastRanAt: number
  /** Monotonic time since which no further item may start, in milliseconds. */
  blockedSince: number | undefined
}

// Returns the sequence number of the last claim whose outcome was received.
async function dispatchUnderLease (server: BackendServer, lease: number, services: BatchServices, signal: AbortSignal): Promise<number> {
  const { clock, logger, session } = services
  const { lapses } = session
  const address = server.announcement.address
  const changed = createCondition()
  const claimed = createClaimedItems({ address, lease, services, changed })
  const items = createBatchItems({ server, services, claimed, changed })
  const dispatch: Dispatch = { server, services, claimed, items, changed, growth: initialGrowth, lastRanAt: -Infinity, blockedSince: undefined }
  const heldSince = clock.now()
  let checkedAt = heldSince
  logger.write(LogEvents.leaseAcquired, { peer: address, value: lease })
  while (!signal.aborted && canHoldLease(server, services) && session.lapses === lapses && !claimed.isLeaseLost) {
    const now = clock.now()
    // After a gap this long the session may have expired and been confirmed again, while another host took the lease.
    if (now - checkedAt >= holderSessionTimeoutMs) break
    if (now - heldSince >= minLeaseMs && isNearerHostPresent(server, services)) break
    checkedAt = now
    const pool = findPool(services.version.configuration, server.announcement.pool)
    if (pool === undefined) break
    reconcile(dispatch, pool, now)
    await waitForChange(dispatch, signal)
  }
  // A leaving backend server completes its running items as long as the session of this host is valid.
  while (server.announcement.leaving && !signal.aborted && items.count > 0 && session.isAlive(clock.now()) && session.lapses === lapses) {
    await changed.wait(maxCheckIntervalMs, signal)
  }
  items.stopAll(StopCause.LeaseEnded)
  server.batchReported = 0
  await items.ended()
  await claimed.close()
  logger.write(LogEvents.leaseEnded, { peer: address, value: lease })
  return claimed.received
}

function isNearerHostPresent (server: BackendServer, services: BatchServices): boolean {
  const rank = rankHost(services.location, server.announcement)
  return services.session.entryHosts.some(host => !host.draining && rankHost(host, server.announcement) < rank)
}

/** Adjusts the running and claimed items to the current limit. */
function reconcile (dispatch: Dispatch, pool: Pool, now: number): void {
  const { server, services, claimed, items } = dispatch
  const { liveWork, random } = services
  const live = liveWork.countLiveRequests(server)
  dispatch.growth = decideGrowth({
    last: dispatch.growth,
    now,
    live,
    concurrency: pool.batchConcurrency,
    capacity: server.announcement.capacity,
    delay: liveWork.measureDelay(pool.name)
  }, findPreference(pool.preference), random)
  const limit = dispatch.growth.limit
  if (items.count > 0) dispatch.lastRanAt = now
  server.batchReported = now - dispatch.lastRanAt < maxLoadReportAgeMs ? pool.batchConcurrency : 0
  if (items.count > limit) items.yieldTo(limit, pool.name)
  const wanted = Math.max(0, limit - items.count) + items.countCompletedSince(now - claimAheadWindowMs)
  if (limit === 0 || wanted === 0 || server.avoidedSince !== undefined || isByteBudgetSpent(dispatch, pool, now)) {
    dispatch.blockedSince ??= now
    if (now - dispatch.blockedSince >= maxHoldMs) claimed.requeueAll()
    return
  }
  dispatch.blockedSince = undefined
  claimed.refill(pool.name, Math.min(wanted, pool.batchConcurrency, server.announcement.capacity))
  if (items.count < limit) items.startUpTo(limit)
}

function isByteBudgetSpent (dispatch: Dispatch, pool: Pool, now: number): boolean {
  const { server, services } = dispatch
  if (server.announcement.region === services.location.region) return false
  return services.getByteBudget(pool.name).refill(now, pool.batchBytesAcrossRegions) <= 0
}

async function waitForChange (dispatch: Dispatch, signal: AbortSignal): Promise<void> {
  const { server, services, changed, growth } = dispatch
  const untilStepMs = growth.nextStepAt - services.clock.now()
  const waitMs = untilStepMs > 0 ? Math.min(untilStepMs, maxCheckIntervalMs) : maxCheckIntervalMs
  await waitForEither(changed, server.liveChanged, waitMs, signal)
}
