/**
 * Chooses the gateways whose addresses are returned to a caller.
 * @module
 */
import { type FleetHost, FleetRole } from '../process/fleet/fleetMessages.ts'
import { leaveOutOverloaded } from './placement/hostOverload.ts'

/** How long callers may cache an address response, in milliseconds; a draining gateway keeps listening for several times as long. */
export const addressKeepMs = 1_000

/** Minimum number of gateways in a response, so that a caller can fail over. */
const minGateways = 2

/** Maximum number of gateways in a response. */
const maxGateways = 64

/**
 * Chooses the gateways for a caller: those in its availability zone, or those in its region, or all, whichever of these is
 * the first to have enough ready gateways. Overloaded ones are left out while enough others remain.
 * @param hosts - the hosts of the fleet
 * @param availabilityZone - availability zone of the caller
 * @param region - region of the caller
 * @returns the caller addresses of the gateways
 */
export function chooseGateways (hosts: readonly FleetHost[], availabilityZone: string, region: string): string[] {
  const ready = hosts.filter(host => host.role === FleetRole.Gateway && host.ready && host.callerAddress !== undefined)
  for (const isNear of [
    (host: FleetHost) => host.availabilityZone === availabilityZone,
    (host: FleetHost) => host.region === region,
    () => true
  ]) {
    const near = ready.filter(isNear)
    if (near.length < minGateways && near.length < ready.length) continue
    return leaveOutOverloaded(near, minGateways).slice(0, maxGateways).map(host => host.callerAddress ?? '')
  }
  return []
}
