/**
 * The backend servers that have said in a response to this host that they leave. They get no new requests of this host, whatever
 * the leader or a heartbeat says, until a later start of them is known.
 * @module
 */
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/**
 * Maximum number of servers that are remembered; the oldest are removed first. The fleet to design for has 4,200 servers, so a
 * server is removed only after the whole fleet was replaced twice, long after the server has ended.
 */
export const maxLeavingServers = 10_000

/** One start of a backend server. */
export interface ServerStart {
  /** Id of the server. */
  readonly id: string
  /** Time of day at which it started, in milliseconds; 0 if it does not report one. */
  readonly startedAt: number
}

/** Leaving servers, as far as this host knows from responses. */
export interface LeavingServers {
  /**
   * Records a response.
   * @param start - the server that responded
   * @param isLeaving - whether it says that it leaves
   */
  record (start: ServerStart, isLeaving: boolean): void
  /**
   * Checks whether a server has said that it leaves. A later start of it has not.
   * @param start - the server
   */
  has (start: ServerStart): boolean
}

/**
 * Creates an empty set of leaving servers.
 * @param logger - receives log events
 * @returns the set
 */
export function createLeavingServers (logger: Logger): LeavingServers {
  // Start times by id, the oldest response first.
  const startTimes = new Map<string, number>()

  function has ({ id, startedAt }: ServerStart): boolean {
    const leftAt = startTimes.get(id)
    return leftAt !== undefined && startedAt <= leftAt
  }

  function removeOldest (): void {
    for (const id of startTimes.keys()) {
      if (startTimes.size <= maxLeavingServers) return
      startTimes.delete(id)
    }
  }

  return {
    has,
    record (start, isLeaving) {
      if (!isLeaving || has(start)) return
      startTimes.delete(start.id)
      startTimes.set(start.id, start.startedAt)
      removeOldest()
      logger.write(LogEvents.leavingInResponse, { detail: start.id, inputs: { startedAt: start.startedAt } })
    }
  }
}
