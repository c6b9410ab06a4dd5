/**
 * Load balancing of an entry host: chooses a backend server by load, distance and prompt prefix.
 * @module
 */
import { type BackendServer, computeLoadReportTime } from '../process/routing/backendServers.ts'
import { hashText } from '../process/program/hash.ts'
import { chooseByPrefix } from './placement/prefixChoice.ts'
import type { Random } from '../process/program/random.ts'

/** Location of an entry host. */
export interface Location {
  readonly availabilityZone: string
  readonly region: string
}

/** Distance of a backend server from the entry host. */
export const Distance = { SameZone: 0, SameRegion: 1, OtherRegion: 2 } as const
export type Distance = typeof Distance[keyof typeof Distance]

/** Distances, the nearest first. */
const distances = [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion] as const

/** Queueing time that a more distant backend server must save to be chosen. */
export const DistanceCost = {
  /** One round trip between availability zones at 1 ms each way. */
  acrossZonesMs: 2,
  /** One round trip between regions at 20 ms each way. */
  acrossRegionsMs: 40,
  /** Ten times the 0.4 ms that a kilobyte takes on the link between regions at 20 Mbit/s, since this link is shared and its traffic is billed. */
  acrossRegionsMsPerKilobyte: 4
} as const

/** Estimated size of one token of a response, with its event framing, in bytes. */
const bytesPerToken = 80

/** Length of the prefix of an input, in characters; a shorter input has no prefix. */
export const prefixLength = 64

/** Inputs of the choice of a backend server. */
export interface ChoiceContext {
  /** Backend servers of the pool that accept new requests. */
  readonly candidates: readonly BackendServer[]
  readonly location: Location
  /** Addresses of the backend servers that earlier attempts of the request used. */
  readonly tried: ReadonlySet<string>
  /** Key of the prompt prefix, if there is one. */
  readonly prefixKey: string | undefined
  /** Estimated size of the request and its response, in bytes. */
  readonly bytes: number
  /** Average duration of a request of the pool, in milliseconds. */
  readonly averageDurationMs: number
  /** Monotonic time, in milliseconds. */
  readonly now: number
}

/**
 * Hashes the prefix of an input.
 * @param input - the input
 * @returns the key, or undefined when the input is shorter than `prefixLength`
 */
export function createPrefixKey (input: string): string | undefined {
  if (input.length < prefixLength) return undefined
  return hashText(input.slice(0, prefixLength)).toString(16).padStart(8, '0')
}

/**
 * Estimates the network traffic of a request and its response.
 * @param input - the input
 * @param maxTokens - maximum number of tokens of the response
 * @returns the estimate, in bytes
 */
export function estimateBytes (input: string, maxTokens: number): number {
  return input.length + maxTokens * bytesPerToken
}

/**
 * Chooses a backend server. The own availability zone is preferred; a more distant backend server is chosen when it saves
 * more queueing time than its distance costs. At equal distance, requests with the same prefix go to the same backend
 * server while its load allows, and all others to the less loaded of two drawn at random.
 * @param context - the candidates and the properties of the request
 * @param random - random number generator
 * @returns the backend server, or undefined when there is no candidate
 */
export function chooseBackendServer (context: ChoiceContext, random: Random): BackendServer | undefined {
  const { candidates, location, tried, bytes, averageDurationMs } = context
  const untried = tried.size === 0 ? candidates : candidates.filter(server => !tried.has(server.announcement.address))
  const eligible = untried.length > 0 ? untried : candidates
  let chosen: BackendServer | undefined
  let chosenCostMs = Infinity
  for (const distance of distances) {
    const distanceCostMs = getDistanceCostMs(distance, bytes)
    if (distanceCostMs >= chosenCostMs) break
    const candidatesAtDistance = eligible.filter(server => getDistance(server, location) === distance)
    const best = chooseAtDistance(candidatesAtDistance, context, random)
    if (best === undefined) continue
    const costMs = distanceCostMs + estimateWaitMs(estimateLoad(best), best.announcement.capacity, averageDurationMs)
    if (costMs >= chosenCostMs) continue
    chosen = best
    chosenCostMs = costMs
  }
  return chosen
}

/**
 * Returns the cost of sending a request over a distance.
 * @param distance - the distance of the backend server
 * @param bytes - estimated size of the request and its response, in bytes
 * @returns the queueing time that a backend server at this distance must save, in milliseconds
 */
export function getDistanceCostMs (distance: Distance, bytes: number): number {
  switch (distance) {
    case Distance.SameZone: return 0
    case Distance.SameRegion: return DistanceCost.acrossZonesMs
    case Distance.OtherRegion: return DistanceCost.acrossRegionsMs + DistanceCost.acrossRegionsMsPerKilobyte * bytes / 1000
  }
}

/**
 * Estimates the queueing time of one more request on a backend server.
 * @param load - requests that run on the backend server
 * @param capacity - requests that it can run concurrently without queueing
 * @param averageDurationMs - average duration of a request, in milliseconds
 * @returns the estimate, in milliseconds
 */
export function estimateWaitMs (load: number, capacity: number, averageDurationMs: number): number {
  return Math.max(0, load + 1 - capacity) / capacity * averageDurationMs
}

/** Load that batch items add for a live request, in requests: they yield, but the request still waits for the engine step in progress. */
const batchLoadWeight = 0.5

/**
 * Estimates the load of a backend server for a live request: the last reported load, corrected by the requests of this
 * entry host that started or ended since the report, and at least the requests of this entry host that are in flight.
 * Reported batch items are subtracted: they yield to live requests and would mask differences in live load.
 * @param server - the backend server
 * @returns the estimated number of requests on the backend server
 */
export function estimateLoad (server: BackendServer): number {
  const reportTime = computeLoadReportTime(server)
  let correction = 0
  for (let index = server.liveStarts.length - 1; index >= 0 && (server.liveStarts[index] ?? 0) > reportTime; index--) correction++
  for (const ended of server.liveEnds) {
    if (ended.startedAt <= reportTime && ended.endedAt > reportTime) correction--
  }
  const live = Math.max(server.liveInFlight, server.announcement.running - server.batchReported + correction)
  return server.batchInFlight > 0 ? live + batchLoadWeight : live
}

/**
 * Returns the distance of a backend server.
 * @param server - the backend server
 * @param location - location of the entry host
 * @returns the distance
 */
export function getDistance (server: BackendServer, location: Location): Distance {
  const { availabilityZone, region } = server.announcement
  if (region !== location.region) return Distance.OtherRegion
  return availabilityZone === location.availabilityZone ? Distance.SameZone : Distance.SameRegion
}

function chooseAtDistance (servers: readonly BackendServer[], context: ChoiceContext, random: Random): BackendServer | undefined {
  const chosenByPrefix = context.prefixKey === undefined ? undefined : chooseServerByPrefix(servers, context.prefixKey)
  return chosenByPrefix ?? chooseLessLoadedOfTwo(servers, context, random)
}

function chooseServerByPrefix (servers: readonly BackendServer[], prefixKey: string): BackendServer | undefined {
  const candidates = servers.map(server => ({
    server,
    nameHash: server.addressHash,
    load: estimateLoad(server),
    capacity: server.announcement.capacity,
    isHinted: server.announcement.cachedPrefixes?.includes(prefixKey) === true
  }))
  return chooseByPrefix(candidates, prefixKey)?.server
}

function chooseLessLoadedOfTwo (servers: readonly BackendServer[], context: ChoiceContext, random: Random): BackendServer | undefined {
  const firstIndex = random.below(servers.length)
  const first = servers[firstIndex]
  if (first === undefined || servers.length === 1) return first
  // The second draw excludes the first, so that two different backend servers are compared.
  const second = servers[(firstIndex + 1 + random.below(servers.length - 1)) % servers.length]
  if (second === undefined) return first
  if (random.next() < estimateReportConfidence(first, second, context)) return estimateLoad(second) < estimateLoad(first) ? second : first
  return second.liveInFlight < first.liveInFlight ? second : first
}

// Returns the probability with which the reported loads decide, from 0 to 1. All entry hosts see the same delayed
// reports and would all prefer the same backend server until the next one. Therefore a difference counts less, the smaller
// it is relative to the requests that ended and started since; the counts of this entry host itself are always current.
function estimateReportConfidence (first: BackendServer, second: BackendServer, context: ChoiceContext): number {
  const difference = Math.abs(estimateLoad(first) - estimateLoad(second))
  if (difference === 0) return 0
  const ageMs = context.now - Math.min(computeLoadReportTime(first), computeLoadReportTime(second))
  const turnover = (estimateLoad(first) + estimateLoad(second)) / 2 * ageMs / context.averageDurationMs
  return difference / (difference + turnover)
}
