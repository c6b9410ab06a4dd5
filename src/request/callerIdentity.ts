/**
 * Decides for which client account a request is made, by the key that its caller sent.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { type ClientAccount, digestKey } from '../version/accounts.ts'
import { GatewayRefusal } from './callerExchange.ts'

/** What a gateway knows of the accounts. */
export type KnownAccounts = Pick<FleetView, 'accounts' | 'canServeAccounts' | 'hasNewestAccounts'>

/**
 * Finds the account of a caller. A key that is sent is judged or refused as not ready, also on a public route: a job that is taken for one
 * without an account would be open to everyone.
 * @param credential - the key as the caller sent it; undefined if it sent none
 * @param isPublic - whether requests of the route need no key
 * @param known - what the gateway knows
 * @returns the account, undefined if there is none and none is needed, or the refusal: `Unauthorized`, which ends the attempts of
 *   the caller, only if the key is unknown for certain, and `NotReady` otherwise
 */
export function identifyCaller (credential: string | undefined, isPublic: boolean, known: KnownAccounts): Result<ClientAccount | undefined, GatewayRefusal> {
  return judgeAccount(credential !== undefined, () => credential === undefined ? undefined : known.accounts?.get(digestKey(credential)), isPublic, known)
}

/**
 * Judges a caller whose key, if it sent one, was looked up.
 * @param hasKey - whether the caller sent a key
 * @param find - returns the account that holds the key; undefined if none does
 * @param isPublic - whether requests of the route need no key
 * @param known - what the gateway knows
 * @returns as `identifyCaller`
 */
export function judgeAccount (hasKey: boolean, find: () => ClientAccount | undefined, isPublic: boolean, known: KnownAccounts): Result<ClientAccount | undefined, GatewayRefusal> {
  if (known.accounts === undefined) return ok(undefined)
  if (!hasKey && isPublic) return ok(undefined)
  if (!known.canServeAccounts) return err(GatewayRefusal.NotReady)
  const account = find()
  if (account !== undefined) return ok(account)
  if (!known.hasNewestAccounts) return err(GatewayRefusal.NotReady)
  return isPublic ? ok(undefined) : err(GatewayRefusal.Unauthorized)
}
