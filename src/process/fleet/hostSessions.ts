/**
 * Sessions of the fleet's hosts at the leader, with the load and the suspicions that they report.
 * @module
 */
import { type FleetHost, fleetLongPollMs, FleetRole, type FleetWatchRequest, type LiveCounts, type LoadReport } from './fleetMessages.ts'

/** How long a host may be silent before its session ends, in milliseconds: two polls held to their limit, and one lost. */
export const sessionMs = 3 * fleetLongPollMs

/** Live requests and suspicions of all hosts together. */
export interface LoadSums {
  readonly live: ReadonlyMap<string, number>
  readonly suspects: ReadonlySet<string>
}

/** A host whose session ended. */
export interface LostHost {
  readonly host: FleetHost
  readonly silentMs: number
}

/** The sessions. */
export interface HostSessions {
  readonly size: number
  /** Grows when a host comes, goes, or changes whether it is ready. */
  readonly revision: number
  /**
   * Keeps the session of a host that polls.
   * @param request - the poll
   * @param confirmedRevision - revision of the backend servers that the host has, -1 when it has none of this leader
   * @param now - monotonic time in milliseconds
   * @returns whether the session is new
   */
  keep (request: FleetWatchRequest, confirmedRevision: number, now: number): boolean
  /**
   * Notes that a held poll is answered, so that the time of the hold does not count as silence.
   * @param holder - the host's start
   * @param now - monotonic time in milliseconds
   */
  touch (holder: string, now: number): void
  /**
   * Takes a load report.
   * @param report - the report
   * @returns whether the host has a session
   */
  report (report: LoadReport): boolean
  /**
   * Ends the sessions of silent hosts.
   * @param now - monotonic time in milliseconds
   * @returns the hosts
   */
  expire (now: number): LostHost[]
  list (): FleetHost[]
  /** Adds up what the hosts reported. */
  sums (): LoadSums
  /**
   * Finds a host that sends requests or may lead, and has not confirmed a revision of the backend servers.
   * @param revision - the revision
   * @returns the host, or undefined when all have
   */
  findUnconfirmed (revision: number): FleetHost | undefined
  clear (): void
}

interface Session {
  host: FleetHost
  heardAt: number
  live: LiveCounts
  suspects: readonly string[]
  confirmedRevision: number
}

/**
 * Creates an empty list of sessions.
 * @returns the sessions
 */
export function createHostSessions (): HostSessions {
  const sessions = new Map<string, Session>()
  let revision = 0
  // Kept until a report changes them: the plan of batch work asks for each server.
  let sums: LoadSums | undefined

  // An earlier start of the same host is over.
  function endEarlierStart (host: FleetHost): void {
    for (const [holder, session] of sessions) {
      if (session.host.name === host.name && session.host.role === host.role) sessions.delete(holder)
    }
  }

  function addUp (): LoadSums {
    const live = new Map<string, number>()
    const suspects = new Set<string>()
    for (const session of sessions.values()) {
      for (const [id, count] of Object.entries(session.live)) live.set(id, (live.get(id) ?? 0) + count)
      for (const id of session.suspects) suspects.add(id)
    }
    return { live, suspects }
  }

  return {
    get size () { return sessions.size },
    get revision () { return revision },
    keep ({ host }, confirmedRevision, now) {
      const known = sessions.get(host.holder)
      if (known === undefined) {
        endEarlierStart(host)
        sums = undefined
      }
      if (known?.host.ready !== host.ready) revision++
      sessions.set(host.holder, { host, heardAt: now, live: known?.live ?? {}, suspects: known?.suspects ?? [], confirmedRevision })
      return known === undefined
    },
    touch (holder, now) {
      const session = sessions.get(holder)
      if (session !== undefined) session.heardAt = now
    },
    report ({ holder, live, suspects }) {
      const session = sessions.get(holder)
      if (session === undefined) return false
      session.live = live
      session.suspects = suspects
      sums = undefined
      return true
    },
    expire (now) {
      const lost: LostHost[] = []
      for (const [holder, { host, heardAt }] of sessions) {
        if (now - heardAt <= sessionMs) continue
        sessions.delete(holder)
        sums = undefined
        revision++
        lost.push({ host, silentMs: now - heardAt })
      }
      return lost
    },
    list: () => [...sessions.values()].map(session => session.host),
    sums () {
      sums ??= addUp()
      return sums
    },
    findUnconfirmed (needed) {
      for (const { host, confirmedRevision } of sessions.values()) {
        if (confirmedRevision < needed && host.role !== FleetRole.Executor) return host
      }
      return undefined
    },
    clear () {
      sessions.clear()
      sums = undefined
      revision++
    }
  }
}
