/**
 * Withdrawals of backend servers. The call of a server names its id only, and the leader may know an earlier or a later start of the server
 * than the control host that received the call, or none.
 * @module
 */
import { type BackendServerRecord, type BackendServerRegistry, ServerPhase } from './backendServerRegistry.ts'
import type { Withdrawal } from './fleetMessages.ts'
import type { ServerStart } from './leavingServers.ts'

/** When a withdrawal arrives at the leader. */
export interface ArrivalTime {
  /** Monotonic time, in milliseconds. */
  readonly monotonic: number
  /** Time of day, in milliseconds. */
  readonly wall: number
}

/**
 * Applies a withdrawal to the leader's registry.
 * @param registry - the registry
 * @param withdrawal - the server, with its start as far as the calling host knows it
 * @param time - time of its arrival
 * @returns false if it is not certain which start is meant, and the registry is unchanged
 */
export function applyWithdrawal (registry: BackendServerRegistry, { id, namesStart, server }: Withdrawal, time: ArrivalTime): boolean {
  const registered = registry.find(id)
  const named = namesStart === true ? server : registered
  if (!hasKnownStart(registered) && !hasKnownStart(named)) {
    // The leader may have begun after the last heartbeat of the server. Hosts that know its start report it.
    registry.withdrawUnregistered(id, time.wall, true, time.monotonic)
    return true
  }
  const withdrawn = selectWithdrawnStart(registered, named)
  if (withdrawn === undefined) return false
  registry.withdraw(withdrawn, time.monotonic)
  return true
}

// Without an answer the server repeats its call, to a host that knows the registered start by then. A call that was sent before that start
// is not repeated, since its sender has ended.
function selectWithdrawnStart (registered: BackendServerRecord | undefined, named: BackendServerRecord | undefined): BackendServerRecord | undefined {
  if (!hasKnownStart(registered)) return named
  if (named === undefined || named.startedAt < registered.startedAt) return undefined
  return hasKnownStart(named) && named.startedAt > registered.startedAt ? named : registered
}

function hasKnownStart (record: BackendServerRecord | undefined): record is BackendServerRecord {
  return record !== undefined && record.isStartUnknown !== true
}

// Whether the leader has registered the withdrawal of a server only, and knows nothing else of it.
function isUnregistered ({ address }: BackendServerRecord): boolean {
  return address === ''
}

/**
 * Applies a host's report that one start of a server leaves to the leader's registry.
 * @param registry - the registry
 * @param start - the start
 * @param now - monotonic time in milliseconds
 * @returns whether the registry has changed
 */
export function applyLeavingReport (registry: BackendServerRegistry, { id, startedAt }: ServerStart, now: number): boolean {
  const record = registry.find(id)
  if (record === undefined) return false
  // Hosts may know different starts of a server that the leader does not know; the latest one counts.
  if (record.isStartUnknown === true || (isUnregistered(record) && startedAt > record.startedAt)) {
    registry.withdrawUnregistered(id, startedAt, false, now)
    return true
  }
  if (record.phase !== ServerPhase.Ready || record.startedAt !== startedAt) return false
  registry.withdraw(record, now)
  return true
}

/**
 * Completes the leader's record of a withdrawn server that it does not know, by what a host knows. The leader has begun after the host learned
 * of the server, so the start that the host knows is not later than the withdrawal.
 * @param listed - the record that the leader lists
 * @param known - the record that the host has; undefined for none
 * @param removedStart - time of day at which the server started, in milliseconds, if the host has deleted its record; undefined if it knows none
 * @returns the record with the start, or the listed one if it is complete or the host knows no start
 */
export function completeWithdrawn (listed: BackendServerRecord, known: BackendServerRecord | undefined, removedStart: number | undefined): BackendServerRecord {
  if (!isUnregistered(listed)) return listed
  if (hasKnownStart(known) && (listed.isStartUnknown === true || known.startedAt === listed.startedAt)) {
    return { ...known, leaving: true, sequence: Infinity, phase: known.phase === ServerPhase.Gone ? ServerPhase.Gone : ServerPhase.Leaving, revision: listed.revision }
  }
  return listed.isStartUnknown === true && removedStart !== undefined ? { ...listed, startedAt: removedStart, isStartUnknown: undefined } : listed
}
