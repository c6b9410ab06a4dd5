/**
 * The backend servers of which this host knows that they leave, from their responses to it or from a leader. They get no new
 * requests of this host, whatever a later leader or a heartbeat says, until a later start of them is known.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { type BackendServerRecord, goneRetentionMs, ServerPhase } from './backendServerRegistry.ts'

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

/** The latest start of a server that leaves. */
interface LeavingStart {
  readonly startedAt: number
  /** Monotonic time until which it is remembered, in milliseconds. */
  readonly until: number
}

/** Leaving servers, as far as this host knows from responses. */
export interface LeavingServers {
  /** Notified when there are servers to report to the leader. */
  readonly changed: Condition
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
  /**
   * Applies a record that the leader lists. A server that it lists as leaving stays leaving for this host, so that a later leader,
   * which may not know it, learns it again. If a leader lists a leaving server as ready, it is reported to it.
   * @param record - the record
   */
  applyRecord (record: BackendServerRecord): void
  /**
   * Reports the start of a withdrawn server to the leader, which does not know it.
   * @param start - the start
   */
  reportWithdrawn (start: ServerStart): void
  /** Lists the servers that the leader does not know to be leaving. */
  listUnreported (): ServerStart[]
  /**
   * Marks servers as reported.
   * @param reported - the servers
   */
  confirm (reported: readonly ServerStart[]): void
}

/**
 * Creates an empty set of leaving servers.
 * @param clock - source of time
 * @param logger - receives log events
 * @returns the set
 */
export function createLeavingServers (clock: Clock, logger: Logger): LeavingServers {
  // By id, the one learned first at the front.
  const latestStarts = new Map<string, LeavingStart>()
  const unreported = new Map<string, ServerStart>()
  const changed = createCondition(clock)

  function has ({ id, startedAt }: ServerStart): boolean {
    const latest = latestStarts.get(id)
    return latest !== undefined && startedAt <= latest.startedAt && clock.now() < latest.until
  }

  function removeOldest (): void {
    for (const id of latestStarts.keys()) {
      if (latestStarts.size <= maxLeavingServers) return
      latestStarts.delete(id)
      unreported.delete(id)
    }
  }

  // A later start of a server can't be distinguished from one that is not certain, so that one is forgotten after a while.
  function add ({ id, startedAt, isStartUnknown }: ServerStart & Pick<BackendServerRecord, 'isStartUnknown'>): void {
    const isCertain = startedAt > 0 && isStartUnknown !== true
    const latest = latestStarts.get(id)
    if (latest?.until === Infinity && startedAt <= latest.startedAt) return
    latestStarts.delete(id)
    latestStarts.set(id, { startedAt, until: isCertain ? Infinity : clock.now() + goneRetentionMs })
    removeOldest()
  }

  function scheduleReport ({ id, startedAt }: ServerStart): void {
    unreported.set(id, { id, startedAt })
    changed.notify()
  }

  return {
    changed,
    has,
    record (start, isLeaving) {
      if (!isLeaving || has(start)) return
      add(start)
      logger.write(LogEvents.leavingInResponse, { detail: start.id, inputs: { startedAt: start.startedAt } })
      scheduleReport(start)
    },
    applyRecord (record) {
      // A server that only missed its heartbeats may return.
      if (record.leaving && record.phase !== ServerPhase.Ready) add(record)
      if (record.phase === ServerPhase.Ready && has(record)) scheduleReport(record)
    },
    reportWithdrawn: scheduleReport,
    listUnreported: () => [...unreported.values()],
    confirm (reported) {
      for (const start of reported) {
        if (unreported.get(start.id) === start) unreported.delete(start.id)
      }
    }
  }
}
