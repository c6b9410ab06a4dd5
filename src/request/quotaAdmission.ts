/**
 * Admission of a live request by the limit of its client account.
 * @module
 */
import type { FleetClient } from '../connection/controlClient.ts'
import type { QuotaDecision } from '../process/accounts/accountQuotas.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import type { ClientAccount } from '../version/accounts.ts'

/** Longest wait for an exchange with the leader that other requests have begun, in milliseconds. */
const exchangeWaitMs = 200

/** Exchanges with the leader for which a request waits. */
const maxExchanges = 2

/** What the admission needs. */
export interface QuotaAdmissionServices {
  readonly view: Pick<FleetView, 'accountQuotas'>
  readonly control: Pick<FleetClient, 'acquireAllotment'>
  readonly metrics: Metrics
}

/**
 * Decides on a request, and asks the leader for an allotment if the host has none left that it may use.
 * @param account - the account; undefined if the request needs none
 * @param signal - aborted when the caller disconnects
 * @param services - the quotas of the host, and the client of the leader
 * @returns the decision
 */
export async function admitByQuota (account: ClientAccount | undefined, signal: AbortSignal, { view: { accountQuotas }, control, metrics }: QuotaAdmissionServices): Promise<QuotaDecision> {
  const first = accountQuotas.admit(account, true)
  if (account === undefined || first.isUndecided !== true) return first
  let exchanges = 0
  while (exchanges < maxExchanges && !signal.aborted) {
    exchanges++
    const request = accountQuotas.describeRequest(account)
    if (request === undefined) {
      await accountQuotas.exchanged.wait(exchangeWaitMs, signal)
    } else {
      const response = await control.acquireAllotment(request)
      metrics.count(Counter.AllotmentRequests, response.isOk() ? 'answered' : response.error.reason)
      accountQuotas.applyAllotment(request, response.unwrapOr(undefined))
    }
    const decision = accountQuotas.admit(account, true)
    if (decision.isUndecided !== true) return decision
  }
  return accountQuotas.admit(account)
}
