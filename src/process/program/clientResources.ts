/**
 * Memory and connections that a process has for its clients, with counters and log events of what it refuses to hold.
 * @module
 */
import { computeMaxConnections } from '../../connection/clientConnections.ts'
import type { ClientResources } from '../../connection/clientServer.ts'
import { createFragmentedUploads } from '../../connection/fragmentedUploads.ts'
import { type LogEvent, LogEvents } from './logEvents.ts'
import { computeMemoryBudgetBytes, createMemoryBudget } from './memoryBudget.ts'
import { Counter } from './metrics.ts'
import { bytesPerMebibyte, millisecondsPerSecond } from './units.ts'
import type { ProcessServices } from './processServices.ts'

/** Shortest interval between two log events of a kind, in milliseconds: a crowd of clients loses thousands of connections at once. */
const logIntervalMs = millisecondsPerSecond

/** Connections at an address for monitoring or administration alone: a few clients of the operators use it. */
const maxMonitoringConnections = 64

/** Settings of the limits. */
export interface ClientSettings {
  /** Memory that is held for clients at once, in MB; undefined for the default. */
  readonly maxClientMemoryMb?: number | undefined
  /** Connections at once; undefined for the default. */
  readonly maxCallerConnections?: number | undefined
}

/**
 * Creates the resources of a process.
 * @param settings - settings of the limits
 * @param services - services of the process
 * @returns the resources
 */
export function createClientResources (settings: ClientSettings, { clock, logger, metrics }: Pick<ProcessServices, 'clock' | 'logger' | 'metrics'>): ClientResources {
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
    fragmented: createFragmentedUploads(),
    maxConnections,
    now: () => clock.now(),
    onClosed (reason) {
      metrics.count(Counter.ClosedConnections, reason)
      log(LogEvents.callerConnectionsClosed, reason, { maxConnections, total: metrics.sum(Counter.ClosedConnections) })
    }
  }
}

/**
 * Limits the connections at an address for monitoring or administration alone.
 * @param resources - the resources of the process
 * @returns the resources of the address
 */
export function limitToMonitoring (resources: ClientResources): ClientResources {
  return { ...resources, maxConnections: maxMonitoringConnections }
}

/**
 * Divides the connections of a process among its addresses, so that many clients at one of them do not use up the others'.
 * @param resources - the resources of the process
 * @param addresses - number of addresses
 * @returns the resources of one address
 */
export function divideConnections (resources: ClientResources, addresses: number): ClientResources {
  return { ...resources, maxConnections: Math.max(1, Math.floor(resources.maxConnections / addresses)) }
}
