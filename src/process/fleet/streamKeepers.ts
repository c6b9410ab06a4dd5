/**
 * Choice of the hosts that keep the records of streams: which hosts of the fleet do, and which of them for one stream.
 * @module
 */
import { combineHashes, hashText } from '../program/hash.ts'
import { type FleetHost, FleetRole } from './fleetMessages.ts'

/** Maximum number of hosts that keep records. A gateway holds a connection to each. */
const maxKeepers = 8

/** Number of hosts to which each record is sent, so that one of them may be lost. */
const recordCopies = 2

/** Number of hosts that are asked for a record: one more than hold it, so that one added host hides no record. */
const lookupWidth = 3

/**
 * Selects the executors that keep records: they run on other machines than the gateways, and have no part in the replicated log.
 * The selection is spread over the availability zones, and an executor that joins or leaves changes it little.
 * @param hosts - the hosts that have a session with the leader
 * @returns internal addresses; none if there is no executor that serves calls
 */
export function selectStreamKeepers (hosts: readonly FleetHost[]): readonly string[] {
  const zones = new Map<string, Array<{ readonly address: string, readonly nameHash: number }>>()
  for (const { role, name, internalAddress, availabilityZone } of hosts) {
    if (role !== FleetRole.Executor || internalAddress === undefined) continue
    const zone = zones.get(availabilityZone) ?? []
    zone.push({ address: internalAddress, nameHash: hashText(name) })
    zones.set(availabilityZone, zone)
  }
  // Each host gets its rank within its zone; the first ones of all zones precede the second ones.
  const ranked: Array<{ readonly address: string, readonly rank: number, readonly zone: string }> = []
  for (const [zone, members] of zones) {
    members.sort((left, right) => left.nameHash - right.nameHash)
    for (const [rank, { address }] of members.entries()) ranked.push({ address, rank, zone })
  }
  ranked.sort((left, right) => left.rank - right.rank || (left.zone < right.zone ? -1 : 1))
  return ranked.slice(0, maxKeepers).map(({ address }) => address)
}

/**
 * Lists the hosts to which the record of a stream is sent.
 * @param id - id of the caller's attempt that received the first event
 * @param keepers - internal addresses of the hosts that keep records
 */
export function listRecordKeepers (id: string, keepers: readonly string[]): string[] {
  return rankKeepers(id, keepers).slice(0, recordCopies)
}

/**
 * Lists the hosts that are asked for the record of a stream.
 * @param id - id of the caller's attempt that received the first event
 * @param keepers - internal addresses of the hosts that keep records
 */
export function listLookupKeepers (id: string, keepers: readonly string[]): string[] {
  return rankKeepers(id, keepers).slice(0, lookupWidth)
}

// Rendezvous hashing: the rank of a host does not depend on the others, nor on their order.
function rankKeepers (id: string, keepers: readonly string[]): string[] {
  const idHash = hashText(id)
  const scored = keepers.map(address => ({ address, score: combineHashes(idHash, hashText(address)) }))
  scored.sort((left, right) => right.score - left.score || (left.address < right.address ? -1 : 1))
  return scored.map(({ address }) => address)
}
