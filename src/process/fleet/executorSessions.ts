/**
 * The executors that poll the leader, and the runs that each of them is to have.
 * @module
 */
import { fleetLongPollMs } from './fleetMessages.ts'
import type { RunAssignment, RunId, RunPoll } from './runMessages.ts'

/** Time without a poll after which an executor counts as lost, in milliseconds: two long polls of full length and a lost one. */
export const executorTimeoutMs = 3 * fleetLongPollMs

/** Maximum number of runs of one executor; it bounds the memory for the bodies of its items. */
const maxRunsPerExecutor = 128

/** A run of an executor. */
export interface AssignedRun {
  readonly run: RunId
  /** Key of the item. */
  readonly key: string
  /** The message that starts the run; undefined if an earlier leader has sent it. */
  readonly assignment: RunAssignment | undefined
  /** Whether the executor is to stop the run. */
  isStopped: boolean
  /** Whether the assignment was sent to the executor. */
  isSent: boolean
  /** Whether the latest poll of the executor listed the run; undefined before the first that did. */
  isListed?: boolean
}

/** An executor that polls. */
export interface ExecutorSession {
  readonly holder: string
  readonly name: string
  readonly availabilityZone: string
  readonly runs: ReadonlyMap<RunId, AssignedRun>
  /** Whether the leader knows the runs that an earlier leader assigned to the executor. */
  hasDescribedRuns: boolean
}

/** Changes between the runs that an executor has and those that it is to have. */
export interface RunChanges {
  readonly starts: RunAssignment[]
  readonly stops: RunId[]
}

/** The executors of a leader. */
export interface ExecutorSessions {
  /**
   * Creates or renews the session of an executor. A new process of the executor replaces its previous one.
   * @param poll - the poll
   * @param now - monotonic time in milliseconds
   * @returns the session, and the lost session of the previous process, if there was one
   */
  renew (poll: RunPoll, now: number): { readonly session: ExecutorSession, readonly replaced: ExecutorSession | undefined }
  /**
   * Sets the last contact to the time at which a long poll is answered.
   * @param holder - identifies the executor's process start
   * @param now - monotonic time in milliseconds
   */
  touch (holder: string, now: number): void
  /**
   * Removes the sessions of executors without a poll within `executorTimeoutMs`.
   * @param now - monotonic time in milliseconds
   * @returns the removed sessions
   */
  expire (now: number): ExecutorSession[]
  /**
   * Chooses the executor for a run: the one with the fewest runs among those closest to the backend server. Fallback executors
   * are chosen only while there is no other one.
   * @param availabilityZone - availability zone of the backend server
   * @param getRegion - returns the region of an availability zone
   * @returns the session, or undefined when no executor can take another run
   */
  choose (availabilityZone: string, getRegion: (availabilityZone: string) => string | undefined): ExecutorSession | undefined
  /**
   * Adds a run to those of an executor.
   * @param holder - identifies the executor's process start
   * @param run - the run
   */
  assign (holder: string, run: AssignedRun): void
  /**
   * Removes a run from those of its executor, which stops it if it still has it.
   * @param holder - identifies the executor's process start
   * @param run - the run
   */
  release (holder: string, run: RunId): void
  /**
   * Checks whether an executor has a session and the run is one of its runs.
   * @param holder - identifies the executor's process start
   * @param run - the run
   * @returns the run, or undefined
   */
  find (holder: string, run: RunId): AssignedRun | undefined
  /**
   * Checks whether an executor has described its runs in this session.
   * @param holder - identifies the executor's process start
   * @returns false if it has not, or has no session
   */
  hasDescribed (holder: string): boolean
  /**
   * Compares the runs that an executor lists with those that it is to have.
   * @param poll - the poll
   * @returns the changes; everything is to be stopped when the executor has no session
   */
  compare (poll: RunPoll): RunChanges
  /**
   * Lists the runs that the executor does not have: those that it has listed before, so that a report on their end was accepted, and those that are
   * stopped, which it never received.
   * @param poll - the poll
   * @returns the runs
   */
  listDropped (poll: RunPoll): AssignedRun[]
  /** Lists the names of the executors whose runs are known. */
  listDescribed (): Set<string>
  /** Removes all sessions. */
  clear (): void
}

interface Session extends ExecutorSession {
  readonly runs: Map<RunId, AssignedRun>
  lastContactAt: number
  readonly isFallback: boolean
  isDraining: boolean
}

/**
 * Creates an empty set of sessions.
 * @returns the sessions
 */
export function createExecutorSessions (): ExecutorSessions {
  const sessions = new Map<string, Session>()

  function removeByName (name: string): Session | undefined {
    for (const [holder, session] of sessions) {
      if (session.name !== name) continue
      sessions.delete(holder)
      return session
    }
    return undefined
  }

  function recordListed (session: Session, listed: ReadonlySet<RunId>): void {
    for (const assigned of session.runs.values()) {
      if (assigned.isListed !== undefined || listed.has(assigned.run)) assigned.isListed = listed.has(assigned.run)
    }
  }

  return {
    renew ({ holder, name, availabilityZone, isFallback, isDraining, runs, ending }, now) {
      const known = sessions.get(holder)
      if (known !== undefined) {
        recordListed(known, new Set([...runs, ...ending]))
        known.lastContactAt = now
        known.isDraining = isDraining
        return { session: known, replaced: undefined }
      }
      const replaced = removeByName(name)
      const session: Session = { holder, name, availabilityZone, runs: new Map(), hasDescribedRuns: false, lastContactAt: now, isFallback, isDraining }
      sessions.set(holder, session)
      return { session, replaced }
    },
    touch (holder, now) {
      const session = sessions.get(holder)
      if (session !== undefined) session.lastContactAt = now
    },
    expire (now) {
      const expired: Session[] = []
      for (const [holder, session] of sessions) {
        if (now - session.lastContactAt <= executorTimeoutMs) continue
        sessions.delete(holder)
        expired.push(session)
      }
      return expired
    },
    choose (availabilityZone, getRegion) {
      const region = getRegion(availabilityZone)
      let best: Session | undefined
      let bestDistance = Infinity
      const usesFallback = [...sessions.values()].every(session => session.isFallback)
      for (const session of sessions.values()) {
        if (session.isFallback !== usesFallback || session.isDraining || !session.hasDescribedRuns || session.runs.size >= maxRunsPerExecutor) continue
        const distance = session.availabilityZone === availabilityZone ? 0 : getRegion(session.availabilityZone) === region ? 1 : 2
        if (distance > bestDistance || (distance === bestDistance && best !== undefined && session.runs.size >= best.runs.size)) continue
        best = session
        bestDistance = distance
      }
      return best
    },
    assign (holder, run) {
      sessions.get(holder)?.runs.set(run.run, run)
    },
    release (holder, run) {
      sessions.get(holder)?.runs.delete(run)
    },
    hasDescribed: holder => sessions.get(holder)?.hasDescribedRuns === true,
    find: (holder, run) => sessions.get(holder)?.runs.get(run),
    compare (poll) {
      const assigned = sessions.get(poll.holder)?.runs
      const changes: RunChanges = { starts: [], stops: [] }
      for (const run of poll.runs) {
        if (assigned?.get(run)?.isStopped !== false) changes.stops.push(run)
      }
      const present = new Set([...poll.runs, ...poll.ending])
      for (const { run, isStopped, assignment } of assigned?.values() ?? []) {
        if (!isStopped && assignment !== undefined && !present.has(run)) changes.starts.push(assignment)
      }
      return changes
    },
    listDropped (poll) {
      const present = new Set([...poll.runs, ...poll.ending])
      return [...sessions.get(poll.holder)?.runs.values() ?? []].filter(({ run, isStopped, isListed }) => (isStopped || isListed !== undefined) && !present.has(run))
    },
    listDescribed: () => new Set([...sessions.values()].filter(session => session.hasDescribedRuns).map(session => session.name)),
    clear: () => sessions.clear()
  }
}
