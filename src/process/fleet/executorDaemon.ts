/**
 * An executor: a host that performs the runs of batch items, which the leader plans. It stores no data.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createBackendServerHttp } from '../../../platform/backendServerHttp.ts'
import { serveInternalCalls } from '../../connection/callServer.ts'
import { createInternalRouter } from '../../connection/internalRouter.ts'
import { runRunPolls, runRunReports, type ExecutorLink } from '../../connection/executorLink.ts'
import type { Failure } from '../program/failure.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, type FleetHostBase, serveMetrics } from './fleetDaemon.ts'
import { runContained } from '../program/unexpectedErrors.ts'
import { fleetLongPollMs } from './fleetMessages.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { createItemExecutor, type ItemExecutor } from './itemExecutor.ts'
import { createStreamRecordStore } from './streamRecords.ts'

/** Longest time for which a draining executor reports the last events of its runs, in milliseconds. */
const reportTimeoutMs = 3_000

/** Interval at which a draining executor checks for runs whose report was not accepted yet, in milliseconds. */
const drainCheckIntervalMs = 50

/** Whether a host that performs runs of items shuts down. */
export interface ExecutorState {
  isDraining: boolean
}

/**
 * Starts an executor.
 * @param settings - settings of the host
 * @returns the running executor, or the failure that prevented its start
 */
export async function startExecutor (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  const state: ExecutorState = { isDraining: false }
  const router = createInternalRouter({ controlHost: undefined, shareReceiver: undefined, dispatchReceiver: undefined, streamRecords: createStreamRecordStore(base.clock) })
  const listening = await serveInternalCalls(`${settings.address}:${settings.controlPort}`, router, base.lifecycle, base.metrics)
  if (listening.isErr()) return err(listening.error)
  const executor = runItemExecutor(base, state, false)
  await serveMetrics(base)
  return ok(createFleetDaemon(base, () => drainExecutor(base, executor, state)))
}

/**
 * Starts to perform the runs of items that the leader assigns to a host.
 * @param base - services of the host
 * @param state - whether the host shuts down
 * @param isFallback - whether the host performs runs only while there is no other executor
 * @returns the executor
 */
export function runItemExecutor (base: FleetHostBase, state: Readonly<ExecutorState>, isFallback: boolean): ItemExecutor {
  const { settings, lifecycle, view, clock, random, logger, metrics, control } = base
  const executor = createItemExecutor({ client: createBackendServerHttp(metrics), view, clock, logger, metrics, lifecycle })
  const link: ExecutorLink = {
    executor,
    client: control,
    describe: () => ({ holder: base.describe().holder, name: settings.host, availabilityZone: settings.availabilityZone, isFallback, isDraining: state.isDraining }),
    clock,
    random,
    logger
  }
  runContained(base, signal => runRunPolls(link, signal))
  runContained(base, signal => runRunReports(link, signal))
  return executor
}

/**
 * Stops the runs once the leader assigns no further ones; their items resume on other executors after the reported events.
 * @param base - services of the host
 * @param executor - the executor
 * @param state - whether the host shuts down
 * @returns a promise that resolves when the reports of all runs were accepted or a time limit has passed
 */
export async function drainExecutor ({ clock }: FleetHostBase, executor: ItemExecutor, state: ExecutorState): Promise<void> {
  state.isDraining = true
  await clock.sleep(fleetLongPollMs)
  executor.stopAll()
  const deadline = clock.now() + reportTimeoutMs
  while (executor.describe().length > 0 && clock.now() < deadline) await clock.sleep(drainCheckIntervalMs)
}
