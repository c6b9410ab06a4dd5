/**
 * Sessions of entry hosts, in the memory of the leader. They are rebuilt within one poll after a change of leader.
 * @module
 */
import type { Holder } from './commands.ts'

/** Time without a poll after which control takes back what a holder has, in milliseconds. */
export const sessionTimeoutMs = 5_000

/**
 * Time without a confirmed poll after which a holder stops by its own clock, in milliseconds. It is shorter than the
 * limit of control, so that clocks that differ by up to a fifth never leave two holders of one lease.
 */
export const holderSessionTimeoutMs = 4_000

/** An entry host as other hosts and callers see it. */
export interface EntryHost {
  readonly holder: Holder
  readonly host: string
  readonly callerAddress: string
  readonly internalAddress: string
  readonly availabilityZone: string
  readonly region: string
  readonly draining: boolean
}

/** One session. */
export interface Session {
  readonly entryHost: EntryHost
  /** Monotonic time of the last poll, in milliseconds. */
  readonly polledAt: number
  /** Index of the log up to which the entry host has stopped everything that was cancelled. */
  readonly stoppedIndex: number
}

/** All sessions of one leader. */
export interface Sessions {
  /** Changes whenever the list of entry hosts does. */
  readonly revision: number
  /**
   * Records a poll.
   * @param entryHost - who polled
   * @param stoppedIndex - index of the log up to which it has stopped what was cancelled
   * @param now - monotonic time in milliseconds
   * @returns true when the list of entry hosts changed
   */
  recordPoll (entryHost: EntryHost, stoppedIndex: number, now: number): boolean
  /**
   * Drops sessions without a poll.
   * @param now - monotonic time in milliseconds
   * @returns true when the list of entry hosts changed
   */
  expire (now: number): boolean
  /**
   * Finds a session.
   * @param holder - whose
   * @returns the session, if it has not expired
   */
  find (holder: Holder): Session | undefined
  /**
   * Lists the entry hosts.
   * @returns the entry hosts with a session
   */
  list (): EntryHost[]
  /** Forgets all sessions. */
  clear (): void
}

/**
 * Creates an empty list of sessions.
 * @returns the sessions
 */
export function createSessions (): Sessions {
  const sessions = new Map<Holder, Session>()
  let revision = 1
  return {
    get revision () { return revision },
    recordPoll (entryHost, stoppedIndex, now) {
      const previous = sessions.get(entryHost.holder)
      // A host that drains never returns: a poll sent before the one that said so may arrive after it.
      const draining = entryHost.draining || previous?.entryHost.draining === true
      sessions.set(entryHost.holder, { entryHost: { ...entryHost, draining }, stoppedIndex, polledAt: now })
      if (previous !== undefined && previous.entryHost.draining === draining) return false
      revision++
      return true
    },
    expire (now) {
      let changed = false
      for (const [holder, session] of sessions) {
        if (now - session.polledAt < sessionTimeoutMs) continue
        sessions.delete(holder)
        changed = true
      }
      if (changed) revision++
      return changed
    },
    find: holder => sessions.get(holder),
    list: () => [...sessions.values()].map(session => session.entryHost),
    clear () {
      sessions.clear()
      revision++
    }
  }
}
