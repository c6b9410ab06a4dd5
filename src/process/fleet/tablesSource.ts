/**
 * Serves the tables in force to the hosts that fetch them. Each control host serves them from its own replica of the log, so
 * the load is divided among the control hosts.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createTablesEncoder } from '../../connection/tablesCodec.ts'
import { createCondition } from '../program/condition.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { Counter } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { ControlState } from '../state/controlState.ts'
import type { TablesRequest, TablesResponse } from './fleetMessages.ts'

/** Longest wait for a version that this replica has not applied yet, in milliseconds: several heartbeats of the leader, which carry the commit index. */
const applyTimeoutMs = 300

/** Source of tables. */
export interface TablesSource {
  /** Wakes requests that wait for a version, after a command was applied. */
  handleApplied (): void
  /**
   * Returns the tables, once this replica has applied the required version.
   * @param request - the version of the host and the required one
   * @returns the tables if they are newer than those of the host, or a `NotFound` failure when the required version is not applied in time
   */
  fetch (request: TablesRequest): Promise<Result<TablesResponse, Failure>>
}

/** Dependencies of the source. */
export interface TablesSourceInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'metrics' | 'lifecycle'> {
  readonly state: Pick<ControlState, 'publication'>
}

/**
 * Creates the source.
 * @param inputs - dependencies
 * @returns the source
 */
export function createTablesSource (inputs: TablesSourceInputs): TablesSource {
  const { state, clock, metrics, lifecycle } = inputs
  const applied = createCondition(clock)
  const encoder = createTablesEncoder(inputs)

  function getVersion (): number {
    return state.publication?.tables.version ?? 0
  }

  async function waitForVersion (version: number): Promise<boolean> {
    const deadline = clock.now() + applyTimeoutMs
    while (getVersion() < version) {
      if (clock.now() >= deadline || lifecycle.signal.aborted) return false
      await applied.wait(deadline - clock.now(), lifecycle.signal)
    }
    return true
  }

  return {
    handleApplied: () => applied.notify(),
    async fetch ({ knownVersion, requiredVersion }) {
      if (!await waitForVersion(requiredVersion)) {
        metrics.count(Counter.TablesFetches, 'behind')
        return err(createFailure(FailureReason.NotFound, { step: Step.FetchTables }, `version ${requiredVersion} is not applied here; the latest is ${getVersion()}`))
      }
      const tables = state.publication?.tables
      const hasNewer = tables !== undefined && tables.version > knownVersion
      metrics.count(Counter.TablesFetches, hasNewer ? 'newer' : 'unchanged')
      return ok({ version: tables?.version ?? 0, encoded: hasNewer ? await encoder.encode(tables) : undefined })
    }
  }
}
