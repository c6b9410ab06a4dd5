/**
 * Permits for requests to backend servers that name a request limit.
 * @module
 */
import type { FleetClient } from '../connection/controlClient.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'

/** Time for which a server is excluded after this host's share of its limit is used up, in milliseconds. */
const shareRetryMs = 100

/**
 * Asks whether a request may be sent to a server. While the leader is unreachable, this host keeps to its share of the limit.
 * @param id - id of the server
 * @param services - the view of the fleet, and the client of the leader
 * @returns whether it may be sent; if not, the server is excluded for a while
 */
export async function acquirePermit (id: string, { view: { requestLimits }, control }: { readonly view: Pick<FleetView, 'requestLimits'>, readonly control: Pick<FleetClient, 'acquirePermit'> }): Promise<boolean> {
  const perSecond = requestLimits.find(id)
  if (perSecond === undefined) return true
  const response = await control.acquirePermit({ server: id, perSecond })
  if (response.isOk()) {
    requestLimits.resetShares()
    if (!response.value.isGranted) requestLimits.exclude(id, response.value.retryMs)
    return response.value.isGranted
  }
  if (requestLimits.takeFromShare(id)) return true
  requestLimits.exclude(id, shareRetryMs)
  return false
}
