/**
 * Decides for which client account a request is made, by the key that its caller sent.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { type ClientAccount, digestKey } from '../version/accounts.ts'
import { GatewayRefusal } from './callerExchange.ts'

/** What a gateway knows of the accounts. */
export type KnownAccounts = Pick<FleetView, 'accounts' | 'canServeAccounts' | 'tablesOutdatedMs'>

/**
 * Finds the account of a caller.
 * @param credential - the key as the caller sent it; undefined if it sent none
 * @param isPublic - whether requests of the route need no key
 * @param known - what the gateway knows
 * @returns the account, undefined if none is needed, or the refusal: `Unauthorized` only if the tables are known to be the newest
 */
export function identifyCaller (credential: string | undefined, isPublic: boolean, known: KnownAccounts): Result<ClientAccount | undefined, GatewayRefusal> {
  if (known.accounts === undefined) return ok(undefined)
  const account = credential === undefined ? undefined : known.accounts.get(digestKey(credential))
  if (isPublic) return ok(account)
  if (!known.canServeAccounts) return err(GatewayRefusal.NotReady)
  if (account !== undefined) return ok(account)
  return err(known.tablesOutdatedMs === undefined ? GatewayRefusal.Unauthorized : GatewayRefusal.NotReady)
}
