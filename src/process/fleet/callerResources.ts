/**
 * Memory and connections that a gateway has for its callers, with counters and log events of what it refuses to hold.
 * @module
 */
import { computeMaxConnections } from '../../../platform/callerConnections.ts'
import type { CallerResources } from '../../../platform/callerHttp.ts'
import { type LogEvent, LogEvents } from '../program/logEvents.ts'
import { computeMemoryBudgetBytes, createMemoryBudget } from '../program/memoryBudget.ts'
import { Counter } from '../program/metrics.ts'
import { bytesPerMebibyte, millisecondsPerSecond } from '../program/units.ts'
import type { FleetHostBase } from './fleetDaemon.ts'

/** Shortest interval between two log events of a kind, in milliseconds: a crowd of clients loses thousands of connections at once. */
const logIntervalMs = millisecondsPerSecond

/**
 * Creates the resources of a gateway.
 * @param base - settings and services of the host
 * @returns the resources
 */
export function createCallerResources ({ settings, clock, logger, metrics }: Pick<FleetHostBase, 'settings' | 'clock' | 'logger' | 'metrics'>): CallerResources {
  const loggedAt = new Map<LogEvent, number>()

  function log (event: LogEvent, reason: string, inputs: Readonly<Record<string, number>>): void {
    if (clock.now() - (loggedAt.get(event) ?? -Infinity) < logIntervalMs) return
    loggedAt.set(event, clock.now())
    logger.write(event, { reason, inputs })
  }

  const limitBytes = settings.maxClientMemoryMb === undefined ? computeMemoryBudgetBytes() : settings.maxClientMemoryMb * bytesPerMebibyte
  const maxConnections = settings.maxCallerConnections ?? computeMaxConnections()
  return {
    budget: createMemoryBudget({
      limitBytes,
      now: () => clock.now(),
      onGivenWay (kind, bytes) {
        metrics.count(Counter.GivenWay, kind)
        log(LogEvents.clientMemoryUsed, kind, { bytes, limitBytes, total: metrics.sum(Counter.GivenWay) })
      }
    }),
    maxConnections,
    onClosed (reason) {
      metrics.count(Counter.ClosedConnections, reason)
      log(LogEvents.callerConnectionsClosed, reason, { maxConnections, total: metrics.sum(Counter.ClosedConnections) })
    }
  }
}
