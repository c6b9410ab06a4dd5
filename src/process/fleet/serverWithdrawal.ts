/**
 * Withdrawals of backend servers. The call of a server names its id only, and the leader may know an earlier or a later start of the server
 * than the control host that received the call.
 * @module
 */
import type { BackendServerRecord, BackendServerRegistry } from './backendServerRegistry.ts'
import type { Withdrawal } from './fleetMessages.ts'

/**
 * Applies a withdrawal to the leader's registry.
 * @param registry - the registry
 * @param withdrawal - the server, with its start as far as the calling host knows it
 * @param now - monotonic time in milliseconds
 * @returns false if it is not certain which start is meant, and the registry is unchanged
 */
export function applyWithdrawal (registry: BackendServerRegistry, { id, namesStart, server }: Withdrawal, now: number): boolean {
  const registered = registry.find(id)
  if (registered === undefined) return true
  const withdrawn = selectWithdrawnStart(registered, namesStart === true ? server : registered)
  if (withdrawn === undefined) return false
  registry.withdraw(withdrawn, now)
  return true
}

// Without an answer the server repeats its call, to a host that knows the registered start by then. A call that was sent before that start
// is not repeated, since its sender has ended.
function selectWithdrawnStart (registered: BackendServerRecord, named: BackendServerRecord | undefined): BackendServerRecord | undefined {
  if (named === undefined || named.startedAt < registered.startedAt) return undefined
  return named.startedAt === registered.startedAt ? registered : named
}
