/**
 * Client accounts and traffic of the replays of quotas.
 * @module
 */
import type { ClientAccount } from '../../src/version/accounts.ts'

/** Limit of each account as a multiple of its usual rate. */
export const limitFactor = 1.6

/** Returns accounts of which a few are large, for the usual requests per second of all. */
export function createAccounts (count: number, perSecond: number): ReadonlyArray<ClientAccount & { readonly usual: number }> {
  const weights = Array.from({ length: count }, (_, position) => (position + 1) ** -1.2)
  const sum = weights.reduce((total, weight) => total + weight)
  return weights.map((weight, position) => {
    const usual = perSecond * weight / sum
    return { name: `account-${position}`, keys: [], priority: undefined, usual, ratePerSecond: usual * limitFactor, burst: 0 }
  })
}

/** Returns the rate at a time as a multiple of the usual one: traffic comes in waves of 3 s, of 0.38 and 1.84 of the mean. */
export function waveAt (at: number): number {
  return (Math.floor(at / 3_000) % 2 === 0 ? 0.38 : 1.84) / 1.11
}

/** Returns whether a time is within a span that ends before `until`. */
export function isWithin (at: number, from: number, until: number): boolean {
  return at >= from && at < until
}
