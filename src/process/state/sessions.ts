/**
 * Sessions of entry hosts, in the leader's memory. After a change of leader they are rebuilt within one poll interval.
 * @module
 */
import type { Holder } from './commands.ts'

/** Time without a poll after which control reclaims the leases and grants of a holder, in milliseconds. */
export const sessionTimeoutMs = 5_000

/**
 * Time without a confirmed poll after which a holder stops by its own clock, in milliseconds. It is shorter than
 * `sessionTimeoutMs`, so that two holders never act on one lease while clock rates differ by up to 20 %.
 */
export const holderSessionTimeoutMs = 4_000

/** Public description of an entry host, for other hosts and callers. */
export interface EntryHost {
  readonly holder: Holder
  readonly host: string
  readonly callerAddress: string
  readonly internalAddress: string
  readonly availabilityZone: string
  readonly region: string
  readonly draining: boolean
}

/** The session of one entry host. */
export interface HolderSession {
  readonly entryHost: EntryHost
  /** Monotonic time of the last poll, in milliseconds. */
  readonly polledAt: number
  /** Log index up to which the entry host has stopped all cancelled work. */
  readonly stoppedIndex: number
}

/** The sessions that a leader maintains. */
export interface Sessions {
  /** Incremented whenever the list of entry hosts changes. */
  readonly revision: number
  /**
   * Records a poll.
   * @param entryHost - the entry host that polled
   * @param stoppedIndex - log index up to which it has stopped all cancelled work
   * @param now - monotonic time in milliseconds
   * @returns true when the list of entry hosts changed
   */
  recordPoll (entryHost: EntryHost, stoppedIndex: number, now: number): boolean
  /**
   * Removes sessions that had no poll within `sessionTimeoutMs`.
   * @param now - monotonic time in milliseconds
   * @returns true when the list of entry hosts changed
   */
  expire (now: number): boolean
  /**
   * Finds a session.
   * @param holder - the holder
   * @returns the session, or undefined if there is none
   */
  find (holder: Holder): HolderSession | undefined
  /**
   * Lists the entry hosts that have a session.
   * @returns the entry hosts
   */
  list (): EntryHost[]
  /** Removes all sessions. */
  clear (): void
}

/**
 * Creates the sessions of a new leader.
 * @returns the sessions, initially none
 */
export function createSessions (): Sessions {
  const sessions = new Map<Holder, HolderSession>()
  let revision = 1
  return {
    get revision () { return revision },
    recordPoll (entryHost, stoppedIndex, now) {
      const previous = sessions.get(entryHost.holder)
      // Draining is permanent. A poll that was sent before draining began may arrive late and must not revert it.
      const draining = entryHost.draining || previous?.entryHost.draining === true
      sessions.set(entryHost.holder, { entryHost: { ...entryHost, draining }, stoppedIndex, polledAt: now })
      if (previous !== undefined && previous.entryHost.draining === draining) return false
      revision++
      return true
    },
    expire (now) {
      let hasChanged = false
      for (const [holder, session] of sessions) {
        if (now - session.polledAt < sessionTimeoutMs) continue
        sessions.delete(holder)
        hasChanged = true
      }
      if (hasChanged) revision++
      return hasChanged
    },
    find: holder => sessions.get(holder),
    list: () => [...sessions.values()].map(session => session.entryHost),
    clear () {
      sessions.clear()
      revision++
    }
  }
}
