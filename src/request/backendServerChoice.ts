/**
 * Which backend server a request goes to.
 * @module
 */
import { type BackendServer, computeLoadReportTime } from '../process/routing/backendServers.ts'
import { combineHashes, hashText } from '../process/program/hash.ts'
import type { Random } from '../process/program/random.ts'

/** Where the choosing entry host is. */
export interface Location {
  readonly availabilityZone: string
  readonly region: string
}

/** How far away a backend server is. */
export const Distance = { SameZone: 0, SameRegion: 1, OtherRegion: 2 } as const
export type Distance = typeof Distance[keyof typeof Distance]

/** Distances, the nearest first. */
const distances = [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion] as const

/** Waiting that a step away must save before it is worth it, in milliseconds. */
export const DistanceCost = {
  /** One round trip between availability zones at 1 ms each way. */
  acrossZonesMs: 2,
  /** One round trip between regions at 20 ms each way. */
  acrossRegionsMs: 40,
  /** The link between regions needs 0.4 ms for a kilobyte at 20 Mbit/s; ten times that, since its bytes are paid for and shared. */
  acrossRegionsMsPerKilobyte: 4
} as const

/** Estimated bytes of one token of an answer, with its event. */
const bytesPerToken = 80

/** How far above the mean load a backend server may be and still attract requests by prefix. */
const prefixLoadBound = 1.25

/** Characters of an input that form its prefix; shorter inputs have none. */
export const prefixLength = 64

/** What the choice depends on. */
export interface ChoiceContext {
  /** Backend servers of the pool that may get new work. */
  readonly candidates: readonly BackendServer[]
  readonly location: Location
  /** Addresses that earlier attempts of the request used. */
  readonly tried: ReadonlySet<string>
  /** Key of the prompt prefix, if there is one. */
  readonly prefixKey: string | undefined
  /** Bytes that the request and its answer will take. */
  readonly bytes: number
  /** Usual duration of a request of the pool, in milliseconds. */
  readonly averageDurationMs: number
  /** Monotonic time, in milliseconds. */
  readonly now: number
}

/**
 * Makes the key of the prefix of an input.
 * @param input - the input
 * @returns the key, or undefined for an input shorter than a prefix
 */
export function createPrefixKey (input: string): string | undefined {
  if (input.length < prefixLength) return undefined
  return hashText(input.slice(0, prefixLength)).toString(16).padStart(8, '0')
}

/**
 * Estimates the bytes that a request and its answer take on the way.
 * @param input - the input
 * @param maxTokens - most tokens of the answer
 * @returns bytes
 */
export function estimateBytes (input: string, maxTokens: number): number {
  return input.length + maxTokens * bytesPerToken
}

/**
 * Chooses a backend server. The own availability zone comes first; a step away is taken when the waiting it saves is
 * longer than the cost of the step. Among equally near ones a prefix goes to the same backend server while its load
 * allows; the rest goes to the less loaded of two drawn at random.
 * @param context - what the choice depends on
 * @param random - random numbers
 * @returns the backend server, or undefined when there is none
 */
export function chooseBackendServer (context: ChoiceContext, random: Random): BackendServer | undefined {
  const { candidates, location, tried, bytes, averageDurationMs: requestMs } = context
  const untried = tried.size === 0 ? candidates : candidates.filter(server => !tried.has(server.announcement.address))
  const eligible = untried.length > 0 ? untried : candidates
  let chosen: BackendServer | undefined
  let chosenCostMs = Infinity
  for (const distance of distances) {
    const distanceCostMs = getDistanceCostMs(distance, bytes)
    if (distanceCostMs >= chosenCostMs) break
    const near = eligible.filter(server => getDistance(server, location) === distance)
    const best = chooseAmong(near, context, random)
    if (best === undefined) continue
    const costMs = distanceCostMs + estimateWaitMs(estimateLoad(best), best.announcement.capacity, requestMs)
    if (costMs >= chosenCostMs) continue
    chosen = best
    chosenCostMs = costMs
  }
  return chosen
}

/**
 * Prices the way to a backend server.
 * @param distance - how far away it is
 * @param bytes - bytes that the request and its answer take
 * @returns the waiting that the way must save, in milliseconds
 */
export function getDistanceCostMs (distance: Distance, bytes: number): number {
  switch (distance) {
    case Distance.SameZone: return 0
    case Distance.SameRegion: return DistanceCost.acrossZonesMs
    case Distance.OtherRegion: return DistanceCost.acrossRegionsMs + DistanceCost.acrossRegionsMsPerKilobyte * bytes / 1000
  }
}

/**
 * Estimates how long one more request waits on a backend server.
 * @param load - requests that run there
 * @param capacity - requests that it runs well at once
 * @param requestMs - usual duration of a request, in milliseconds
 * @returns milliseconds
 */
export function estimateWaitMs (load: number, capacity: number, requestMs: number): number {
  return Math.max(0, load + 1 - capacity) / capacity * requestMs
}

/** Batch work yields to a live request, which still waits for the engine's step under way. */
const batchLoadWeight = 0.5

/**
 * Estimates the load that a live request meets on a backend server: the late report, corrected by own requests that started or ended since, and
 * never less than the own requests that run there. Batch items in the report are left out: they yield, and they would
 * hide the differences in live load.
 * @param server - the backend server
 * @returns requests that run there
 */
export function estimateLoad (server: BackendServer): number {
  const since = computeLoadReportTime(server)
  let correction = 0
  for (let index = server.liveStarts.length - 1; index >= 0 && (server.liveStarts[index] ?? 0) > since; index--) correction++
  for (const ended of server.liveEnds) {
    if (ended.startedAt <= since && ended.endedAt > since) correction--
  }
  const live = Math.max(server.liveInFlight, server.announcement.running - server.batchReported + correction)
  return server.batchInFlight > 0 ? live + batchLoadWeight : live
}

/**
 * Tells how far away a backend server is.
 * @param server - the backend server
 * @param location - where the choosing host is
 * @returns the distance
 */
export function getDistance (server: BackendServer, location: Location): Distance {
  const { availabilityZone, region } = server.announcement
  if (region !== location.region) return Distance.OtherRegion
  return availabilityZone === location.availabilityZone ? Distance.SameZone : Distance.SameRegion
}

function chooseAmong (servers: readonly BackendServer[], context: ChoiceContext, random: Random): BackendServer | undefined {
  const chosenByPrefix = context.prefixKey === undefined ? undefined : chooseByPrefix(servers, context.prefixKey)
  return chosenByPrefix ?? chooseLessLoadedOfTwo(servers, context, random)
}

// Rendezvous hashing with bounded load. A hint only moves its backend server to the front, so a wrong one costs a cache miss.
function chooseByPrefix (servers: readonly BackendServer[], prefix: string): BackendServer | undefined {
  const prefixHash = hashText(prefix)
  const loads = servers.map(estimateLoad)
  let total = 0
  for (const load of loads) total += load
  const bound = Math.ceil((total + 1) / servers.length * prefixLoadBound)
  let best: BackendServer | undefined
  let bestScore = -1
  for (const [index, server] of servers.entries()) {
    const load = loads[index] ?? 0
    if (load >= bound || load >= server.announcement.capacity) continue
    const hinted = server.announcement.cachedPrefixes?.includes(prefix) === true
    const score = combineHashes(prefixHash, server.addressHash) + (hinted ? 2 ** 32 : 0)
    if (score <= bestScore) continue
    best = server
    bestScore = score
  }
  return best
}

function chooseLessLoadedOfTwo (servers: readonly BackendServer[], context: ChoiceContext, random: Random): BackendServer | undefined {
  const drawn = random.below(servers.length)
  const first = servers[drawn]
  if (first === undefined || servers.length === 1) return first
  // The second draw is among the others, so that two different ones are compared.
  const second = servers[(drawn + 1 + random.below(servers.length - 1)) % servers.length]
  if (second === undefined) return first
  if (random.next() < estimateReportConfidence(first, second, context)) return estimateLoad(second) < estimateLoad(first) ? second : first
  return second.liveInFlight < first.liveInFlight ? second : first
}

// All entry hosts see the same late report and would all prefer the same backend server until the next one. So a
// difference counts less, the smaller it is against the requests that ended and started since; own counts are current.
function estimateReportConfidence (first: BackendServer, second: BackendServer, context: ChoiceContext): number {
  const difference = Math.abs(estimateLoad(first) - estimateLoad(second))
  if (difference === 0) return 0
  const ageMs = context.now - Math.min(computeLoadReportTime(first), computeLoadReportTime(second))
  const turnover = (estimateLoad(first) + estimateLoad(second)) / 2 * ageMs / context.averageDurationMs
  return difference / (difference + turnover)
}
