/**
 * The request limits that backend servers name in their responses, as far as this host knows.
 * @module
 */
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** Limits by backend server; `id` is the id of the server. */
export interface RequestLimits {
  /**
   * Records what a response says.
   * @param id - id of the server that responded
   * @param perSecond - requests per second that it takes from all hosts together; undefined if it names no limit
   */
  record (id: string, perSecond: number | undefined): void
  /**
   * Finds the limit of a server.
   * @param id - id of the server
   * @returns requests per second, or undefined if it has none
   */
  find (id: string): number | undefined
}

/**
 * Creates an empty set of limits.
 * @param logger - receives log events
 * @returns the limits
 */
export function createRequestLimits (logger: Logger): RequestLimits {
  const limits = new Map<string, number>()
  return {
    record (id, perSecond) {
      const known = limits.get(id)
      if (known === perSecond) return
      if (perSecond === undefined) limits.delete(id)
      else limits.set(id, perSecond)
      logger.write(LogEvents.requestLimitChanged, { detail: id, inputs: { perSecond: perSecond ?? -1 } })
    },
    find: id => limits.get(id)
  }
}
