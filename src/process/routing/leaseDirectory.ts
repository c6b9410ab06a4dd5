/**
 * Which entry host holds the batch dispatch lease of each backend server, as heard from the holders, and when this host
 * asks for a lease.
 * @module
 */
import type { Location } from '../../request/backendServerChoice.ts'
import type { Clock } from '../program/clock.ts'
import type { Holder } from '../state/commands.ts'
import { createCondition, type Condition } from '../program/condition.ts'
import type { EntryHost } from '../state/sessions.ts'

/** Time after which a holder that was not heard of no longer counts, in milliseconds. */
export const leaseNewsLimitMs = 3_000

/** Head start of the next nearer entry hosts, in milliseconds. */
const headStartMs = 700

/** Known holders. */
export interface LeaseDirectory {
  /** Notified when a lease is taken or given up, here or elsewhere. */
  readonly changed: Condition
  /** Records that this host holds a lease, or no longer does. */
  setOwn (backendServer: string, held: boolean): void
  /** Lists the leases of this host. */
  listOwn (): string[]
  /** Takes the whole list of another holder's leases. */
  recordLeases (from: Holder, backendServers: readonly string[]): void
  /**
   * Finds the other host that holds a lease.
   * @param backendServer - address of the backend server
   * @returns the holder, if one was heard of lately
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
  const others = new Map<Holder, { readonly heardAt: number, readonly backendServers: ReadonlySet<string> }>()
  const changed = createCondition()
  return {
    changed,
    setOwn (backendServer, held) {
      if (held) own.add(backendServer)
      else own.delete(backendServer)
      changed.notify()
    },
    listOwn: () => [...own],
    recordLeases (from, backendServers) {
      const earlier = others.get(from)?.backendServers ?? new Set<string>()
      others.set(from, { heardAt: clock.now(), backendServers: new Set(backendServers) })
      if (earlier.size !== backendServers.length || backendServers.some(address => !earlier.has(address))) changed.notify()
    },
    find (backendServer) {
      const now = clock.now()
      for (const [holder, news] of others) {
        if (now - news.heardAt >= leaseNewsLimitMs) others.delete(holder)
        else if (news.backendServers.has(backendServer)) return holder
      }
      return undefined
    }
  }
}

/**
 * Ranks entry hosts by their distance from a backend server: the nearer one sees more of its live work itself.
 * @param host - where the entry host is
 * @param server - where the backend server is
 * @returns 0 in the same availability zone, 1 in the same region, 2 elsewhere
 */
export function rankHost (host: Location, server: Location): number {
  if (host.availabilityZone === server.availabilityZone) return 0
  return host.region === server.region ? 1 : 2
}

/**
 * Decides how long this host leaves a free lease to nearer ones.
 * @param own - where this host is
 * @param others - all entry hosts with a session
 * @param server - where the backend server is
 * @returns milliseconds
 */
export function computeHeadStartMs (own: Location, others: readonly EntryHost[], server: Location): number {
  const rank = rankHost(own, server)
  const nearer = new Set<number>()
  for (const host of others) {
    const otherRank = rankHost(host, server)
    if (!host.draining && otherRank < rank) nearer.add(otherRank)
  }
  return nearer.size * headStartMs
}
