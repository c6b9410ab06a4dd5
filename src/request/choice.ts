/**
 * Which backend server a request goes to.
 * @module
 */
import type { BackendServer } from '../process/backendServers.ts'
import type { Random } from '../process/random.ts'

/** Where the choosing entry host is. */
export interface Location {
  readonly availabilityZone: string
  readonly region: string
}

/**
 * Chooses a backend server: the nearest that have room, and of two drawn at random the less loaded one.
 * @param candidates - the backend servers of the pool that may get new work
 * @param location - where this entry host is
 * @param tried - addresses that earlier attempts of the request used
 * @param random - random numbers
 * @returns the backend server, or undefined when there is none
 */
export function chooseBackendServer (
  candidates: readonly BackendServer[], location: Location, tried: ReadonlySet<string>, random: Random
): BackendServer | undefined {
  const untried = candidates.filter(server => !tried.has(server.announcement.address))
  const left = untried.length > 0 ? untried : candidates
  for (const level of [isInZone, isInRegion, isAnywhere]) {
    const near = left.filter(server => level(server, location) && hasRoom(server))
    if (near.length > 0) return lessLoadedOfTwo(near, random)
  }
  return left.length === 0 ? undefined : lessLoadedOfTwo(left, random)
}

/** Batch work yields to a live request, which still waits for the engine's step under way. */
const batchWeight = 0.5

/**
 * Estimates the load that a live request meets. Batch items in the late report are left out: they yield, and they would
 * hide the differences in live load.
 * @param server - the backend server
 * @returns live requests that run there, and a little more where batch items run
 */
export function loadOf (server: BackendServer): number {
  const live = Math.max(server.liveInFlight, server.announcement.running - server.batchReported)
  return server.batchInFlight > 0 ? live + batchWeight : live
}

function hasRoom (server: BackendServer): boolean {
  return loadOf(server) < server.announcement.capacity
}

function isInZone (server: BackendServer, location: Location): boolean {
  return server.announcement.availabilityZone === location.availabilityZone
}

function isInRegion (server: BackendServer, location: Location): boolean {
  return server.announcement.region === location.region
}

function isAnywhere (): boolean {
  return true
}

function lessLoadedOfTwo (servers: readonly BackendServer[], random: Random): BackendServer | undefined {
  const first = servers[random.below(servers.length)]
  const second = servers[random.below(servers.length)]
  if (first === undefined || second === undefined) return first
  return loadOf(second) < loadOf(first) ? second : first
}
