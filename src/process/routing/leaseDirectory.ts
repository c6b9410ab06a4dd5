/**
 * Directory of the entry hosts that hold batch dispatch leases, as reported by the holders. Also ranks entry hosts by
 * distance, which determines how long this host delays the acquisition of a free lease.
 * @module
 */
import type { Location } from '../../request/backendServerChoice.ts'
import type { Clock } from '../program/clock.ts'
import type { Holder } from '../state/commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { EntryHost } from '../state/sessions.ts'

/** Time after which the report of a holder expires unless it is renewed, in milliseconds. */
export const leaseReportTtlMs = 3_000

/** Delay for each lower distance rank at which there is an entry host, in milliseconds. */
const delayPerNearerRankMs = 700

/** Known holders of leases. */
export interface LeaseDirectory {
  /** Notified when this or another host has acquired or released a lease. */
  readonly changed: Condition
  /**
   * Records whether this host holds a lease.
   * @param backendServer - address of the backend server
   * @param isHeld - whether this host holds its lease
   */
  setOwn (backendServer: string, isHeld: boolean): void
  /**
   * Lists the leases of this host.
   * @returns the addresses of the backend servers
   */
  listOwn (): string[]
  /**
   * Records the complete list of leases of another holder, replacing its last report.
   * @param from - the holder
   * @param backendServers - addresses of the backend servers
   */
  recordLeases (from: Holder, backendServers: readonly string[]): void
  /**
   * Finds the other host that holds a lease.
   * @param backendServer - address of the backend server
   * @returns the holder, or undefined if no unexpired report contains the lease
   */
  find (backendServer: string): Holder | undefined
}

/**
 * Creates an empty directory.
 * @param clock - the clock
 * @returns the directory
 */
export function createLeaseDirectory (clock: Clock): LeaseDirectory {
  const own = new Set<string>()
  const others = new Map<Holder, { readonly receivedAt: number, readonly backendServers: ReadonlySet<string> }>()
  const changed = createCondition()
  return {
    changed,
    setOwn (backendServer, isHeld) {
      if (isHeld) own.add(backendServer)
      else own.delete(backendServer)
      changed.notify()
    },
    listOwn: () => [...own],
    recordLeases (from, backendServers) {
      const earlier = others.get(from)?.backendServers ?? new Set<string>()
      others.set(from, { receivedAt: clock.now(), backendServers: new Set(backendServers) })
      if (earlier.size !== backendServers.length || backendServers.some(address => !earlier.has(address))) changed.notify()
    },
    find (backendServer) {
      const now = clock.now()
      for (const [holder, report] of others) {
        if (now - report.receivedAt >= leaseReportTtlMs) others.delete(holder)
        else if (report.backendServers.has(backendServer)) return holder
      }
      return undefined
    }
  }
}

/**
 * Ranks an entry host by its distance from a backend server. Nearer hosts are preferred as lease holders, since they
 * serve more of the live requests on the backend server themselves.
 * @param host - location of the entry host
 * @param server - location of the backend server
 * @returns 0 in the same availability zone, 1 in the same region, 2 elsewhere
 */
export function rankHost (host: Location, server: Location): number {
  if (host.availabilityZone === server.availabilityZone) return 0
  return host.region === server.region ? 1 : 2
}

/**
 * Computes how long this host delays the acquisition of a free lease in favour of nearer hosts.
 * @param own - location of this host
 * @param others - all entry hosts with a session
 * @param server - location of the backend server
 * @returns milliseconds
 */
export function computeAcquisitionDelayMs (own: Location, others: readonly EntryHost[], server: Location): number {
  const rank = rankHost(own, server)
  const nearer = new Set<number>()
  for (const host of others) {
    const otherRank = rankHost(host, server)
    if (!host.draining && otherRank < rank) nearer.add(otherRank)
  }
  return nearer.size * delayPerNearerRankMs
}
