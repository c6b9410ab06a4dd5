/**
 * The task that fetches the tables of a gateway, apart from its polls: neither large tables nor an unreachable leader delays
 * the other.
 * @module
 */
import { ResultAsync } from 'neverthrow'
import { toFailure, Step } from '../process/program/failure.ts'
import { maxTablesOutdatedMs } from '../process/fleet/fleetView.ts'
import type { TablesResponse } from '../process/fleet/fleetMessages.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Latency } from '../process/program/metrics.ts'
import type { FleetTaskInputs } from './fleetWatch.ts'
import { decodeTables } from './tablesCodec.ts'

/** Maximum delay after a failed fetch, in milliseconds; the delay is random so that gateways do not repeat at the same time. */
const maxRetryDelayMs = 150

/** Time without contact to the leader after which a gateway asks other control hosts for the version in force, in milliseconds; also the interval between two such requests. */
const independentFetchIntervalMs = 1_000

/**
 * Fetches tables whenever a newer version is known to be in force, until the signal aborts. Without contact to the leader, it
 * asks the other control hosts at intervals.
 * @param inputs - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runTablesFetch (inputs: FleetTaskInputs, signal: AbortSignal): Promise<void> {
  const { view, client, clock, random } = inputs
  let lastFetchAt = -Infinity
  while (!signal.aborted) {
    // A gateway without tables waits for the version that the leader names: a control host that has just started may have old ones.
    const idleSince = view.tables === undefined ? clock.now() : Math.max(view.lastContactAt, lastFetchAt)
    const waitMs = idleSince + independentFetchIntervalMs - clock.now()
    if (view.tablesOutdatedMs === undefined && waitMs > 0) {
      await view.changed.wait(waitMs, signal)
      continue
    }
    lastFetchAt = clock.now()
    const fetched = await client.fetchTables({ knownVersion: view.tables?.version ?? 0, requiredVersion: view.tablesVersionInForce })
    if (signal.aborted) return
    const isApplied = fetched.isOk() && await applyResponse(inputs, fetched.value)
    if (isApplied) continue
    logDelay(inputs, fetched.isErr() ? fetched.error.reason : 'damaged')
    await clock.sleep(random.next() * maxRetryDelayMs, signal)
  }
}

async function applyResponse ({ view, metrics }: FleetTaskInputs, { version, encoded }: TablesResponse): Promise<boolean> {
  view.recordTablesVersion(version)
  if (encoded === undefined) return true
  const decoded = await ResultAsync.fromPromise(decodeTables(encoded), error => toFailure(error, { step: Step.FetchTables }))
  if (decoded.isErr()) return false
  metrics.record(Latency.TablesDelay, view.tablesOutdatedMs ?? 0)
  view.applyTables(decoded.value)
  return true
}

function logDelay ({ view, logger }: FleetTaskInputs, reason: string): void {
  const outdatedMs = view.tablesOutdatedMs ?? 0
  if (outdatedMs < maxTablesOutdatedMs) return
  logger.write(LogEvents.tablesDelayed, { value: view.tablesVersionInForce, reason, inputs: { version: view.tables?.version ?? 0, outdatedMs: Math.round(outdatedMs) } })
}
