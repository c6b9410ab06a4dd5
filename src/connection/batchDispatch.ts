/**
 * The task that dispatches batch items to one backend server while this host holds its lease.
 * @module
 */
import type { BatchServices } from './batchServices.ts'
import type { BackendServer } from '../process/routing/backendServers.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { type Condition, createCondition, waitForEither } from '../process/program/condition.ts'
import { StopCause } from '../process/jobs/itemRuns.ts'
import { computeHeadStartMs, rankHost } from '../process/routing/leaseDirectory.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { holderSessionTimeoutMs } from '../process/state/sessions.ts'
import { findPreference } from '../version/preference.ts'
import { findPool, type Pool } from '../version/tables.ts'
import { decideGrowth, type Growth, noGrowth } from './batchGrowth.ts'
import { type BatchItems, createBatchItems } from './batchItems.ts'
import { type ClaimedItems, createClaimedItems, holdLimitMs } from './claimedItems.ts'

/** Pause before another host's lease is asked for again, in milliseconds. */
const leaseRetryMs = 1_000

/** Time for which a holder keeps a lease although a nearer host is there, in milliseconds, so that leases don't wander. */
const leaseKeepMs = 10_000

/** Longest wait between two looks, in milliseconds. */
const lookMs = 200

/** Age up to which a load report may still count batch items that have ended, in milliseconds. */
const loadReportAgeMs = 2_000

/**
 * As many items are claimed ahead as have ended in this time, in milliseconds. More would wait behind long items while other
 * backend servers are idle. With it, 200 short items take fewer than 100 claims (test/batchDispatch).
 */
const claimAheadMs = 1_000

/**
 * Runs until the signal aborts.
 * @param server - the backend server
 * @param services - what dispatch needs
 * @param signal - ends the task
 * @returns a promise that resolves when the task and all its items have ended
 */
export async function runBatchDispatch (server: BackendServer, services: BatchServices, signal: AbortSignal): Promise<void> {
  const { control, clock, holder, leases, location, session } = services
  const address = server.announcement.address
  let known = 0
  let received = 0
  let freeSince: number | undefined
  while (!signal.aborted) {
    if (!mayHold(server, services) || leases.find(address) !== undefined) {
      freeSince = undefined
      await leases.changed.wait(leaseRetryMs, signal)
      continue
    }
    freeSince ??= clock.now()
    const leftMs = freeSince + computeHeadStartMs(location, session.entryHosts, server.announcement) - clock.now()
    if (leftMs > 0) {
      await clock.sleep(Math.min(leftMs, lookMs), signal)
      continue
    }
    const outcome = await control.execute({ kind: CommandKind.AcquireLease, backendServer: address, holder, expected: known, received }, leaseRetryMs)
    if (outcome.isErr() || outcome.value.kind !== OutcomeKind.Lease) {
      await clock.sleep(leaseRetryMs, signal)
      continue
    }
    known = outcome.value.number
    if (!outcome.value.granted) {
      await clock.sleep(outcome.value.holder === '' ? lookMs : leaseRetryMs, signal)
      continue
    }
    leases.setOwn(address, true)
    received = await dispatchUnderLease(server, known, services, signal)
    await control.execute({ kind: CommandKind.ReleaseLease, backendServer: address, holder, number: known, received }, leaseRetryMs)
    leases.setOwn(address, false)
  }
}

function mayHold (server: BackendServer, services: BatchServices): boolean {
  const pool = findPool(services.version.configuration, server.announcement.pool)
  if (pool === undefined || pool.batchConcurrency === 0 || server.announcement.leaving) return false
  return services.session.isAlive(services.clock.now())
}

/** Dispatch under one lease. */
interface Dispatch {
  readonly server: BackendServer
  readonly services: BatchServices
  readonly claimed: ClaimedItems
  readonly items: BatchItems
  readonly changed: Condition
  growth: Growth
  /** Monotonic time at which an item last ran, in milliseconds. */
  ranAt: number
  /** Monotonic time since which no item may run, in milliseconds. */
  blockedSince: number | undefined
}

// Returns the sequence of the last claim whose outcome was received.
async function dispatchUnderLease (server: BackendServer, lease: number, services: BatchServices, signal: AbortSignal): Promise<number> {
  const { clock, logger, session } = services
  const { lapses } = session
  const address = server.announcement.address
  const changed = createCondition()
  const claimed = createClaimedItems({ address, lease, services, changed })
  const items = createBatchItems({ server, services, claimed, changed })
  const dispatch: Dispatch = { server, services, claimed, items, changed, growth: noGrowth, ranAt: -Infinity, blockedSince: undefined }
  const heldSince = clock.now()
  let lookedAt = heldSince
  logger.write(LogEvents.leaseAcquired, { peer: address, value: lease })
  while (!signal.aborted && mayHold(server, services) && session.lapses === lapses && !claimed.leaseLost) {
    const now = clock.now()
    // After such a gap the session may have expired and been confirmed again, with the lease at another host.
    if (now - lookedAt >= holderSessionTimeoutMs) break
    if (now - heldSince >= leaseKeepMs && isNearerHostPresent(server, services)) break
    lookedAt = now
    const pool = findPool(services.version.configuration, server.announcement.pool)
    if (pool === undefined) break
    look(dispatch, pool, now)
    await waitForChange(dispatch, signal)
  }
  // A leaving backend server finishes what it has, as long as this host may run items at all.
  while (server.announcement.leaving && !signal.aborted && items.count > 0 && session.isAlive(clock.now()) && session.lapses === lapses) {
    await changed.wait(lookMs, signal)
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

/** One look: bring what runs in line with what may run. */
function look (dispatch: Dispatch, pool: Pool, now: number): void {
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
  if (items.count > 0) dispatch.ranAt = now
  server.batchReported = now - dispatch.ranAt < loadReportAgeMs ? pool.batchConcurrency : 0
  if (items.count > limit) items.yieldTo(limit, pool.name)
  const wanted = Math.max(0, limit - items.count) + items.countEndedSince(now - claimAheadMs)
  if (limit === 0 || wanted === 0 || server.avoidedSince !== undefined || isOutOfBytes(dispatch, pool, now)) {
    dispatch.blockedSince ??= now
    if (now - dispatch.blockedSince >= holdLimitMs) claimed.giveBack()
    return
  }
  dispatch.blockedSince = undefined
  claimed.refill(pool.name, Math.min(wanted, pool.batchConcurrency, server.announcement.capacity))
  if (items.count < limit) items.startUpTo(limit)
}

function isOutOfBytes (dispatch: Dispatch, pool: Pool, now: number): boolean {
  const { server, services } = dispatch
  if (server.announcement.region === services.location.region) return false
  return services.getByteBudget(pool.name).refill(now, pool.batchBytesAcrossRegions) <= 0
}

async function waitForChange (dispatch: Dispatch, signal: AbortSignal): Promise<void> {
  const { server, services, changed, growth } = dispatch
  const stepMs = growth.nextStepAt - services.clock.now()
  const limitMs = stepMs > 0 ? Math.min(stepMs, lookMs) : lookMs
  await waitForEither(changed, server.liveChanged, limitMs, signal)
}
