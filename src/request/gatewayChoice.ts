/**
 * Which gateways a caller is told.
 * @module
 */
import { type FleetHost, FleetRole } from '../process/fleet/fleetMessages.ts'

/** How long callers may keep an address answer, in milliseconds; a gateway that drains listens for some lives of it. */
export const addressKeepMs = 1_000

/** Gateways that a caller should at least be told, so that it has another one when one fails. */
const minGateways = 2

/** Most gateways in one answer. */
const maxGateways = 64

/**
 * Chooses the gateways for a caller: those of its availability zone, with those of its region or all where they are few.
 * @param hosts - the hosts of the fleet
 * @param availabilityZone - where the caller is
 * @param region - where the caller is
 * @returns their addresses for callers
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
    return near.slice(0, maxGateways).map(host => host.callerAddress ?? '')
  }
  return []
}
