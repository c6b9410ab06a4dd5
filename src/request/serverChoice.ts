/**
 * The choice of a backend server for a request of the gateway.
 * @module
 */
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'

/** Load that a server of another availability zone may be below before it is preferred, in requests. */
const zonePenalty = 0.5

/** Load that a server of another region may be below before it is preferred, in requests; a connection there takes two more round trips of 40 ms. */
const regionPenalty = 2

/** Load that counts for a server whose connections failed lately, in requests; it is used when nothing else is left. */
const suspectPenalty = 100

/** Load that counts for a server all of whose latest runs failed, in requests: as much as a server that is full. */
const failurePenalty = 16

/** Share of failed runs that is no sign of a fault of the server. */
const failureTolerance = 0.1

/** A server that may be chosen. */
export interface ServerCandidate {
  readonly server: BackendServerRecord
  /** Requests in flight there, from all hosts. */
  readonly load: number
  readonly isSuspect: boolean
  /** Share of its latest runs that failed, from 0 to 1. */
  readonly failureRate: number
  readonly isSameZone: boolean
  readonly isSameRegion: boolean
}

/**
 * Chooses the candidate with the lowest load, near ones first among equals.
 * @param candidates - the servers that take requests
 * @param avoided - servers that refused this request lately
 * @param random - a random number from 0 to below 1 for each call, to break ties
 * @returns the server, if there is one
 */
export function chooseServer (candidates: readonly ServerCandidate[], avoided: ReadonlySet<string>, random: () => number): BackendServerRecord | undefined {
  let best: BackendServerRecord | undefined
  let bestScore = Infinity
  for (const candidate of candidates) {
    if (avoided.has(candidate.server.id)) continue
    const score = computeScore(candidate) + random() * zonePenalty / 2
    if (score >= bestScore) continue
    best = candidate.server
    bestScore = score
  }
  return best
}

function computeScore ({ load, isSuspect, failureRate, isSameZone, isSameRegion }: ServerCandidate): number {
  const distance = isSameZone ? 0 : isSameRegion ? zonePenalty : regionPenalty
  const failing = failureRate > failureTolerance ? failureRate * failurePenalty : 0
  return load + distance + failing + (isSuspect ? suspectPenalty : 0)
}
