/**
 * The tasks that connect a host to the leader of the fleet: one polls for updates, one reports the load of a gateway.
 * @module
 */
import type { FleetHost } from '../process/fleet/fleetMessages.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { waitForEither } from '../process/program/condition.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter, Latency } from '../process/program/metrics.ts'
import type { ProcessServices } from '../process/program/processServices.ts'
import type { FleetClient } from './controlClient.ts'

/** Maximum delay after a failed poll, in milliseconds; the delay is random so that hosts don't call a new leader all at once. */
const maxRetryDelayMs = 150

/** Maximum interval between two reports of a host without live requests, in milliseconds. */
const idleReportIntervalMs = 500

/**
 * Maximum interval between two reports of a host with live requests, as a multiple of the minimum interval. The next request
 * is placed by the totals that the last report returned.
 */
const busyReportFactor = 2.5

/** Dependencies of the tasks. */
export interface FleetTaskInputs extends Pick<ProcessServices, 'clock' | 'random' | 'logger' | 'metrics'> {
  readonly view: FleetView
  readonly client: FleetClient
  /** Describes the current state of this host. */
  readonly describe: () => FleetHost
}

/**
 * Polls the leader for updates until the signal aborts.
 * @param inputs - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runFleetWatch (inputs: FleetTaskInputs, signal: AbortSignal): Promise<void> {
  const { view, client, clock, random, logger, metrics } = inputs
  // Failed polls since the last answered one, by reason.
  const failedPolls = new Map<string, number>()
  while (!signal.aborted) {
    const sentAt = clock.now()
    const update = await client.watchFleet(view.createWatchRequest(inputs.describe()))
    if (signal.aborted) return
    if (update.isOk()) {
      const silentMs = clock.now() - view.lastContactAt
      metrics.count(Counter.FleetPolls, 'answered')
      if (silentMs < Infinity) metrics.record(Latency.FleetPollGap, silentMs)
      if (failedPolls.size > 0) logger.write(LogEvents.leaderReached, { value: Math.round(silentMs), inputs: Object.fromEntries(failedPolls) })
      failedPolls.clear()
      view.applyUpdate(update.value, sentAt)
      continue
    }
    const { reason } = update.error
    metrics.count(Counter.FleetPolls, reason)
    if (failedPolls.size === 0) logger.write(LogEvents.leaderUnreachable, { failure: update.error, value: Math.round(clock.now() - view.lastContactAt) })
    failedPolls.set(reason, (failedPolls.get(reason) ?? 0) + 1)
    await clock.sleep(random.next() * maxRetryDelayMs, signal)
  }
}

/**
 * Reports the load of this host to the leader until the signal aborts.
 * @param inputs - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runLoadReports (inputs: FleetTaskInputs, signal: AbortSignal): Promise<void> {
  const { view, client, describe, clock } = inputs
  let intervalMs = idleReportIntervalMs
  while (!signal.aborted) {
    // The next wait begins before the report, so that a change during the report is not missed.
    const nextChange = view.loadChanged.wait(view.live.size > 0 ? intervalMs * busyReportFactor : idleReportIntervalMs, signal)
    if (view.accounts !== undefined) await view.accountQuotas.prepareReport(signal)
    const reported = new Map(view.live)
    const outputs = view.quarantine.listOutputs()
    const accountUse = view.accounts === undefined ? undefined : view.accountQuotas.describeUse()
    const earlierUse = accountUse === undefined ? undefined : view.accountQuotas.describeEarlierUse()
    const work = view.serverWork.describe()
    const totals = await client.reportLoad({
      holder: describe().holder,
      tablesVersion: view.tables?.version ?? 0,
      live: Object.fromEntries(reported),
      suspects: view.listLocalSuspects(),
      outputs,
      accountUse,
      accountUseSequence: accountUse === undefined ? undefined : view.accountQuotas.sequence,
      earlierUse,
      paces: view.paceSamples.take(),
      work
    })
    // Without a response the last totals remain valid; the watch task logs an unreachable leader.
    if (totals.isOk()) {
      view.applyLoads(totals.value, reported, work)
      view.accountQuotas.applyTotals(totals.value, accountUse, earlierUse)
      view.quarantine.confirmOutputs(outputs)
    } else if (accountUse !== undefined) {
      view.accountQuotas.cancelReport()
    }
    intervalMs = totals.isOk() ? totals.value.intervalMs : idleReportIntervalMs
    await clock.sleep(intervalMs, signal)
    await nextChange
  }
}

/**
 * Reports crashes again that the leader has not recorded, until the signal aborts.
 * @param inputs - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runCrashReports ({ view: { quarantine }, client, clock, random }: FleetTaskInputs, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const report = quarantine.findQueuedCrash()
    if (report === undefined) {
      await quarantine.crashQueued.wait(idleReportIntervalMs, signal)
      continue
    }
    const reported = await client.reportCrash(report)
    if (reported.isOk()) quarantine.removeQueuedCrash()
    else await clock.sleep(random.next() * maxRetryDelayMs, signal)
  }
}

/**
 * Reports the request limits that backend servers name to this host, and which of them say that they leave, until the signal aborts.
 * @param inputs - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runLimitReports ({ view: { requestLimits, leavingServers }, client, clock, random }: FleetTaskInputs, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const limits = requestLimits.listUnreported()
    const leaving = leavingServers.listUnreported()
    if (limits.length === 0 && leaving.length === 0) {
      await waitForEither(requestLimits.changed, leavingServers.changed, idleReportIntervalMs, signal)
      continue
    }
    const reported = await client.reportLimits({ limits, leaving })
    if (reported.isOk()) {
      requestLimits.confirm(limits)
      leavingServers.confirm(leaving)
    } else await clock.sleep(random.next() * maxRetryDelayMs, signal)
  }
}
