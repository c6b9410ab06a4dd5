/**
 * Sessions of the fleet's hosts with the leader, and the load and suspect servers that the hosts report.
 * @module
 */
import { type AccountUseSums, createAccountUseSums } from '../accounts/accountUseSums.ts'
import { maxTablesOutdatedMs } from './fleetView.ts'
import type { ReportedWorks } from './serverWork.ts'
import { type FleetHost, fleetLongPollMs, FleetRole, type FleetWatchRequest, type LiveCounts, type LoadReport } from './fleetMessages.ts'

/** Time without contact after which a session expires, in milliseconds: two long polls of full length and a lost one. */
export const sessionTimeoutMs = 3 * fleetLongPollMs

/** Live requests by server and suspect servers, over all hosts. */
export interface LoadSums {
  readonly live: ReadonlyMap<string, number>
  /** Number of hosts that suspect a server, by its id. */
  readonly suspects: ReadonlyMap<string, number>
  /** Work of the live requests beyond their number, in usual requests, by server. */
  readonly extraWork: ReadonlyMap<string, number>
  /** Tokens that live requests hold, as far as hosts have reported them, by server. */
  readonly tokens: ReadonlyMap<string, number>
}

/** A session that expired. */
export interface ExpiredSession {
  readonly host: FleetHost
  /** Time since the last contact, in milliseconds. */
  readonly silentMs: number
}

/** The sessions. */
export interface HostSessions {
  readonly size: number
  /** Incremented when a host is added, expires, or changes its readiness or overload, and by `clear`. */
  readonly revision: number
  /**
   * Creates or renews the session of a host that polls. A new session replaces that of the host's previous process.
   * @param request - the poll
   * @param confirmedRevision - registry revision that the host has applied; -1 if it has none of this leader
   * @param now - monotonic time in milliseconds
   * @returns whether the session is new
   */
  renew (request: FleetWatchRequest, confirmedRevision: number, now: number): boolean
  /**
   * Sets the last contact to the time at which a long poll is answered, so that its delay does not count as idle time.
   * @param holder - identifies the host's process start
   * @param now - monotonic time in milliseconds
   */
  touch (holder: string, now: number): void
  /**
   * Records a load report.
   * @param report - the report
   * @returns whether the host has a session
   */
  report (report: LoadReport): boolean
  /**
   * Removes the sessions of hosts without contact within `sessionTimeoutMs`.
   * @param now - monotonic time in milliseconds
   * @returns the removed sessions
   */
  expire (now: number): ExpiredSession[]
  /** Lists the hosts that have a session. */
  list (): FleetHost[]
  /** Use of client accounts as of the latest reports. */
  readonly accountUse: AccountUseSums
  /** Returns the totals of the latest reports. */
  getLoadSums (): LoadSums
  /**
   * Finds a host that has not confirmed a registry revision: any host may send requests, or lead.
   * @param revision - the registry revision
   * @returns such a host, or undefined when all have confirmed
   */
  findUnconfirmed (revision: number): FleetHost | undefined
  /**
   * Finds a gateway that may serve by older tables.
   * @param version - the version of the tables
   * @param now - monotonic time in milliseconds
   * @returns such a gateway, or undefined when each has the version or a later one, or has known of one for so long that it refuses requests
   */
  findServingOlderTables (version: number, now: number): FleetHost | undefined
  /** Removes all sessions. */
  clear (): void
}

interface Session {
  host: FleetHost
  /** Monotonic time of the last contact, in milliseconds. */
  lastContactAt: number
  live: LiveCounts
  suspects: readonly string[]
  work: ReportedWorks
  /** Registry revision that the host has applied; -1 if it has none of this leader. */
  confirmedRevision: number
  /** Version of the tables by which the host serves. */
  tablesVersion: number
  /** Versions that the host was known to know of, in order, with the monotonic time of the first such poll, in milliseconds. */
  knownVersions: ReadonlyArray<{ readonly version: number, readonly since: number }>
}

/**
 * Creates an empty set of sessions.
 * @returns the sessions
 */
export function createHostSessions (): HostSessions {
  const sessions = new Map<string, Session>()
  let revision = 0
  // Changed by the difference of each report: with many hosts, adding up all of them for each report takes too much time.
  const liveSums = new Map<string, number>()
  const suspectCounts = new Map<string, number>()
  const accountUse = createAccountUseSums()
  const extraWork = new Map<string, number>()
  const tokenSums = new Map<string, number>()

  // A restarted process has a new holder, so the session of the previous process is removed.
  function removePreviousSession (host: FleetHost, now: number): void {
    for (const [holder, session] of sessions) {
      if (session.host.name === host.name && session.host.role === host.role) {
        accountUse.retire(holder, true, now)
        remove(holder, session)
      }
    }
  }

  function addLoad ({ live, suspects, work }: Pick<Session, 'live' | 'suspects' | 'work'>, sign: 1 | -1): void {
    for (const [id, count] of Object.entries(live)) addCount(liveSums, id, sign * count)
    for (const id of suspects) addCount(suspectCounts, id, sign)
    for (const [id, [extra, tokens]] of Object.entries(work)) {
      addCount(extraWork, id, sign * extra)
      addCount(tokenSums, id, sign * tokens)
    }
  }

  function remove (holder: string, session: Session): void {
    addLoad(session, -1)
    sessions.delete(holder)
  }

  return {
    get size () { return sessions.size },
    get revision () { return revision },
    renew ({ host, tablesVersion, knownTablesVersion }, confirmedRevision, now) {
      const known = sessions.get(host.holder)
      if (known === undefined) removePreviousSession(host, now)
      if (known?.host.ready !== host.ready || known.host.isOverloaded !== host.isOverloaded) revision++
      sessions.set(host.holder, {
        host,
        lastContactAt: now,
        live: known?.live ?? {},
        suspects: known?.suspects ?? [],
        work: known?.work ?? {},
        confirmedRevision,
        tablesVersion: Math.max(tablesVersion, known?.tablesVersion ?? 0),
        knownVersions: addKnownVersion(known?.knownVersions ?? [], tablesVersion, knownTablesVersion ?? 0, now)
      })
      return known === undefined
    },
    touch (holder, now) {
      const session = sessions.get(holder)
      if (session !== undefined) session.lastContactAt = now
    },
    report ({ holder, live, suspects, work, tablesVersion, accountUse: use, accountUseSequence }) {
      const session = sessions.get(holder)
      if (session === undefined) return false
      addLoad(session, -1)
      session.live = live
      session.suspects = suspects
      session.work = work ?? {}
      addLoad(session, 1)
      if (use !== undefined) accountUse.record(holder, use, accountUseSequence)
      session.tablesVersion = Math.max(session.tablesVersion, tablesVersion ?? 0)
      return true
    },
    expire (now) {
      const expired: ExpiredSession[] = []
      for (const [holder, session] of sessions) {
        const { host, lastContactAt } = session
        if (now - lastContactAt <= sessionTimeoutMs) continue
        accountUse.retire(holder, false, now)
        remove(holder, session)
        revision++
        expired.push({ host, silentMs: now - lastContactAt })
      }
      return expired
    },
    list: () => [...sessions.values()].map(session => session.host),
    accountUse,
    getLoadSums: () => ({ live: liveSums, suspects: suspectCounts, extraWork, tokens: tokenSums }),
    findUnconfirmed (requiredRevision) {
      for (const { host, confirmedRevision } of sessions.values()) {
        if (confirmedRevision < requiredRevision) return host
      }
      return undefined
    },
    findServingOlderTables (version, now) {
      for (const { host, tablesVersion, knownVersions } of sessions.values()) {
        if (host.role !== FleetRole.Gateway || tablesVersion >= version) continue
        const known = knownVersions.find(entry => entry.version >= version)
        if (known === undefined || now - known.since <= maxTablesOutdatedMs) return host
      }
      return undefined
    },
    clear () {
      sessions.clear()
      liveSums.clear()
      suspectCounts.clear()
      accountUse.clear()
      extraWork.clear()
      tokenSums.clear()
      revision++
    }
  }
}

function addKnownVersion (known: Session['knownVersions'], tablesVersion: number, knownVersion: number, now: number): Session['knownVersions'] {
  const missing = known.filter(({ version }) => version > tablesVersion)
  const latest = missing.at(-1)?.version ?? tablesVersion
  return knownVersion > latest ? [...missing, { version: knownVersion, since: now }] : missing
}

function addCount (counts: Map<string, number>, id: string, difference: number): void {
  const count = (counts.get(id) ?? 0) + difference
  if (count > 0) counts.set(id, count)
  else counts.delete(id)
}
