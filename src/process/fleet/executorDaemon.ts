/**
 * An executor: a host for batch work on machines that callers do not reach. It keeps no data.
 * @module
 */
import { ok, type Result } from 'neverthrow'
import type { Failure } from '../program/failure.ts'
import { createFleetDaemon, createFleetHostBase, type FleetDaemon, serveMetrics } from './fleetDaemon.ts'
import type { FleetSettings } from './fleetSettings.ts'

/**
 * Starts an executor.
 * @param settings - its settings
 * @returns the executor
 */
export async function startExecutor (settings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  const base = createFleetHostBase(settings)
  await serveMetrics(base)
  return ok(createFleetDaemon(base))
}
