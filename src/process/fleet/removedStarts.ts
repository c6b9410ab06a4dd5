/**
 * The latest starts of backend servers whose records a host has deleted. A withdrawal that reaches a leader after that names an id only, and
 * the host still knows which start is meant.
 * @module
 */
import { maxLeavingServers } from './leavingServers.ts'

/** Starts of removed servers. */
export interface RemovedStarts {
  /**
   * Records the start of a server; the oldest records are removed when there are too many.
   * @param id - id of the server
   * @param startedAt - time of day at which it started, in milliseconds
   */
  record (id: string, startedAt: number): void
  /**
   * Finds the start of a server.
   * @param id - id of the server
   * @returns time of day at which it started, in milliseconds, or undefined if it is not known
   */
  find (id: string): number | undefined
}

/**
 * Creates an empty collection.
 * @returns the collection
 */
export function createRemovedStarts (): RemovedStarts {
  // The one recorded first at the front.
  const starts = new Map<string, number>()
  return {
    record (id, startedAt) {
      starts.delete(id)
      starts.set(id, startedAt)
      for (const oldest of starts.keys()) {
        if (starts.size <= maxLeavingServers) return
        starts.delete(oldest)
      }
    },
    find: id => starts.get(id)
  }
}
