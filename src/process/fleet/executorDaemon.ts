/**
 * An executor: a host for batch work that callers cannot reach. It stores no data.
 * @module
 */
import { ok, type Result } from 'neverthrow'
import type { Failure } from '../program/failure.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, serveMetrics } from './fleetDaemon.ts'
import type { FleetSettings } from './fleetSettings.ts'

/**
 * Starts an executor.
 * @param settings - settings of the host
 * @returns the running executor
 */
export async function startExecutor (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  await serveMetrics(base)
  return ok(createFleetDaemon(base))
}
