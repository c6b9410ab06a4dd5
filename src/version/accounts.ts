/**
 * Client accounts of one version of the tables, and the look-up of the account that holds a key. Only digests of keys are kept, so that
 * no table, log line or message between hosts contains a key.
 * @module
 */
import { createHash } from 'node:crypto'

/** Number of characters of a digest: 132 bits. */
const digestCharacters = 22

/** Digest of a key of an account. */
export type KeyDigest = string

/** Row of the accounts table. */
export interface ClientAccount {
  readonly name: string
  /** Digests of the keys that callers may use for the account; empty when all of them were withdrawn. */
  readonly keys: readonly KeyDigest[]
  /** Priority that takes precedence over that of the route, 0 being the highest; undefined if the account has none. */
  readonly priority: number | undefined
  /** Requests per second over all hosts; 0 for no limit. */
  readonly ratePerSecond: number
  /** Requests that may come at once in addition to the rate. */
  readonly burst: number
}

/** Accounts by the digest of each of their keys. */
export type AccountIndex = ReadonlyMap<KeyDigest, ClientAccount>

/**
 * Computes the digest of a key.
 * @param key - the key as a caller or an operator sends it
 * @returns the digest
 */
export function digestKey (key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64url').slice(0, digestCharacters)
}

/**
 * Indexes accounts for the look-up of keys.
 * @param accounts - the accounts; undefined if the tables have none
 * @returns the index; undefined if requests need no key
 */
export function createAccountIndex (accounts: readonly ClientAccount[] | undefined): AccountIndex | undefined {
  if (accounts === undefined) return undefined
  const index = new Map<KeyDigest, ClientAccount>()
  for (const account of accounts) {
    for (const key of account.keys) index.set(key, account)
  }
  return index
}
