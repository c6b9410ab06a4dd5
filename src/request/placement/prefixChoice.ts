/**
 * Chooses a server by the shared prefix of a prompt.
 *
 * Load pattern: many requests share a long prefix, and an engine that has read it keeps it for a while. Spread over all servers,
 * each of them reads it again, which delays the request and all others on the server. Rendezvous hashing sends all hosts to the same
 * server without any message; the bound keeps a popular prefix from overloading it.
 * @module
 */
import { combineHashes, hashText } from '../../process/program/hash.ts'

/** Load up to which a server is chosen by prefix, as a multiple of the mean load. */
export const prefixLoadBound = 1.25

/** Server that can take the request. */
export interface PrefixCandidate {
  /** Hash of a name of the server that is the same at all hosts. */
  readonly nameHash: number
  /** Estimated number of live requests on the server. */
  readonly load: number
  /** Number of requests that the server runs concurrently. */
  readonly capacity: number
  /** Whether the server is known to keep the prefix. */
  readonly isHinted: boolean
}

/**
 * Chooses the candidate with the highest hash that is below its capacity and below the bound. A hint raises a candidate above all
 * without one and does nothing else, so a wrong hint costs no more than a prefix that is read again.
 * @param candidates - the servers that can take the request
 * @param prefixKey - identifies the prefix
 * @returns the candidate, or undefined when all have too much load
 */
export function chooseByPrefix<Candidate extends PrefixCandidate> (candidates: readonly Candidate[], prefixKey: string): Candidate | undefined {
  const prefixHash = hashText(prefixKey)
  let total = 0
  for (const { load } of candidates) total += load
  const maxLoad = Math.ceil((total + 1) / candidates.length * prefixLoadBound)
  let best: Candidate | undefined
  let bestScore = -1
  for (const candidate of candidates) {
    const { nameHash, load, capacity, isHinted } = candidate
    if (load >= maxLoad || load >= capacity) continue
    const score = combineHashes(prefixHash, nameHash) + (isHinted ? 2 ** 32 : 0)
    if (score <= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}
