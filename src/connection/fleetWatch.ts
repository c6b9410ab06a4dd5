/**
 * The tasks that connect a host to the leader of the fleet: one polls for news, one reports the load of a gateway.
 * @module
 */
import type { FleetHost } from '../process/fleet/fleetMessages.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { ProcessServices } from '../process/program/processServices.ts'
import type { FleetClient } from './controlClient.ts'

/** Longest pause after a poll that failed, in milliseconds; random, so that hosts do not call a new leader all at once. */
const maxRetryDelayMs = 150

/** Longest time between two reports of a host without live requests, in milliseconds. */
const idleReportIntervalMs = 500

/** Longest time between two reports of a host with live requests, in shortest times; the next request is placed by the totals of the last one. */
const busyReportFactor = 2.5

/** What the tasks need. */
export interface FleetConnection extends Pick<ProcessServices, 'clock' | 'random' | 'logger'> {
  readonly view: FleetView
  readonly client: FleetClient
  /** Describes this host as it is now. */
  readonly describe: () => FleetHost
}

/**
 * Polls the leader until the signal aborts.
 * @param connection - what the task needs
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runFleetWatch (connection: FleetConnection, signal: AbortSignal): Promise<void> {
  const { view, client, clock, random, logger } = connection
  let isLeaderReachable = true
  while (!signal.aborted) {
    const update = await client.watchFleet(view.createWatchRequest(connection.describe()))
    if (signal.aborted) return
    if (update.isOk()) {
      isLeaderReachable = true
      view.applyUpdate(update.value)
      continue
    }
    if (isLeaderReachable) logger.write(LogEvents.leaderUnreachable, { failure: update.error, value: Math.round(clock.now() - view.lastContactAt) })
    isLeaderReachable = false
    await clock.sleep(random.next() * maxRetryDelayMs, signal)
  }
}

/**
 * Reports the load until the signal aborts.
 * @param connection - what the task needs
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runLoadReports (connection: FleetConnection, signal: AbortSignal): Promise<void> {
  const { view, client, describe, clock } = connection
  let intervalMs = idleReportIntervalMs
  while (!signal.aborted) {
    // The next wait begins before the report, so that a change during the report is not missed.
    const nextChange = view.loadChanged.wait(view.live.size > 0 ? intervalMs * busyReportFactor : idleReportIntervalMs, signal)
    const reported = new Map(view.live)
    const totals = await client.reportLoad({ holder: describe().holder, live: Object.fromEntries(reported), suspects: view.listLocalSuspects() })
    // Without an answer the last totals stand; the watch reports a leader that is not reached.
    if (totals.isOk()) view.applyLoads(totals.value, reported)
    intervalMs = totals.isOk() ? totals.value.intervalMs : idleReportIntervalMs
    await clock.sleep(intervalMs, signal)
    await nextChange
  }
}
