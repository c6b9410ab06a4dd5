/**
 * Quotas of client accounts at a gateway: requests of an account over all hosts together, in sliding windows. The state lives for the
 * process; the hosts exchange what they have admitted within the load reports.
 * @module
 */
import type { ClientAccount } from '../../version/accounts.ts'

/** Requests that a host has admitted in the latest window, by name of the account. */
export type AccountUse = Readonly<Record<string, number>>

/** Decision on one request. */
export interface QuotaDecision {
  readonly isAdmitted: boolean
  /** Time after which a further request is likely to be admitted, in milliseconds; 0 for an admitted one. */
  readonly retryMs: number
}

/** The quotas at a gateway. */
export interface AccountQuotas {
  /**
   * Decides on a live request, and counts it if it is admitted.
   * @param account - the account; undefined if the request needs none
   * @returns whether it may run
   */
  admit (account: ClientAccount | undefined): QuotaDecision
  /** Returns what this host has admitted, for the next load report; undefined without any limited account. */
  describeUse (): AccountUse | undefined
  /**
   * Applies the sums of all hosts in the response to a load report.
   * @param use - requests by account; undefined from a leader that names none
   * @param reported - what this host had reported
   * @param gateways - number of gateways
   */
  applyTotals (use: AccountUse | undefined, reported: AccountUse | undefined, gateways: number): void
}

const admitted: QuotaDecision = { isAdmitted: true, retryMs: 0 }

/**
 * Creates quotas without any use.
 * @returns the quotas
 */
export function createAccountQuotas (): AccountQuotas {
  return {
    admit: () => admitted,
    describeUse: () => undefined,
    applyTotals () {}
  }
}
