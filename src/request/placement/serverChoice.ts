/**
 * Load balancing of the gateway: chooses a backend server for a request by load, distance and health.
 * @module
 */
import type { BackendServerRecord } from '../../process/fleet/backendServerRegistry.ts'
import { hashText } from '../../process/program/hash.ts'
import { chooseByPrefix, type PrefixCandidate } from './prefixChoice.ts'

/** Score added to a server in another availability zone of the same region, in requests of load. */
const zonePenalty = 0.5

/** Score added to a server in another region, in requests of load; a new connection there costs two more round trips of 40 ms. */
const regionPenalty = 2

/**
 * Score added to a server with a request limit, in requests of load. While other servers have free slots, its budget is left to
 * bursts and to items, which do the most work for a request.
 */
const limitPenalty = 6

/** Difference of scores up to which a server with an idle connection is preferred, in requests of load; a new connection costs both ends time. */
const connectionTolerance = 0.25

/** Score added to a server with recent connection failures, in requests of load; such a server is a last resort. */
const suspectPenalty = 100

/** Score added to a server whose latest runs all failed, in requests of load; equal to the load of a full server. */
const maxFailurePenalty = 16

/** Failure rate up to which no penalty applies, from 0 to 1. */
const failureTolerance = 0.1

/** Shared prompt tokens from which a request is sent to a server by its prefix; engines read them in some 30 ms. */
const minPrefixTokens = 2_000

/** Shared prefix of a prompt. */
export interface PromptPrefix {
  /** Ids of the shared parts, in the order of the prompt. */
  readonly parts: readonly string[]
  /** Tokens of these parts. */
  readonly tokens: number
}

/** Backend server that can take the request. */
export interface ServerCandidate {
  readonly server: BackendServerRecord
  /** Requests and items in flight on the server, from all hosts. */
  readonly load: number
  /** Live requests among them. */
  readonly live: number
  /** Duration of work on the server, as a multiple of the mean of its service; undefined if no difference is known. */
  readonly pace?: number | undefined
  /** Mean work of the requests on the server, in usual requests; undefined if no difference is known. */
  readonly meanWork?: number | undefined
  /** Whether the host has an idle connection to the server. */
  readonly hasConnection?: boolean | undefined
  /** Whether this host or another one suspects the server after a recent connection failure or time-out. */
  readonly isSuspect: boolean
  /** Whether the server names a request limit. */
  readonly isLimited: boolean
  /** Moving average of failed runs on the server, from 0 to 1. */
  readonly failureRate: number
  readonly isSameZone: boolean
  readonly isSameRegion: boolean
  /** Tokens that the requests on the server hold in its memory; undefined if they are not known. */
  readonly heldTokens?: number | undefined
}

/** Parts of the score of a server, in requests of load. The lowest sum is the best. */
export interface ScoreParts {
  /** Requests and items in flight. */
  readonly load: number
  /** What the requests in the queue take longer, or less long, than usual ones at a server of mean pace. */
  readonly queue: number
  /** What the request itself takes longer, or less long, at the pace of the server. */
  readonly pace: number
  readonly distance: number
  readonly failures: number
  readonly limited: number
  readonly suspect: number
}

/** Server with its score. */
interface ScoredServer {
  readonly server: BackendServerRecord
  readonly hasConnection: boolean
  /** Sum of the parts and of a random part that separates equal servers. */
  readonly score: number
  /** Requests that raise the score by 1. */
  readonly share: number
}

/**
 * Chooses a candidate by its score, which is the load plus penalties for distance and failures. Where servers differ in pace, the
 * part of the load that the request has to wait for counts with the pace. Without unseen requests the
 * lowest score wins. Otherwise the scores are filled up to one level with the unseen requests, as the other hosts would place
 * them, and the choice is random with the shares in which they were needed.
 * @param candidates - the servers that can take the request
 * @param avoided - ids of servers to skip, since they have refused the request or failed it
 * @param random - returns a random number from 0 to below 1
 * @param unseenRequests - requests that other hosts have placed since the loads were summed up
 * @param work - likely work of the request, in usual requests; it takes longer at a slow server too
 * @returns the server, or undefined when every candidate is skipped
 */
export function chooseServer (candidates: readonly ServerCandidate[], avoided: ReadonlySet<string>, random: () => number, unseenRequests = 0, work = 1): BackendServerRecord | undefined {
  const scored: ScoredServer[] = []
  for (const candidate of candidates) {
    if (avoided.has(candidate.server.id)) continue
    const score = sumScore(computeScoreParts(candidate, work)) + random() * zonePenalty / 2
    scored.push({ server: candidate.server, hasConnection: candidate.hasConnection === true, score, share: 1 / (candidate.pace ?? 1) })
  }
  scored.sort((left, right) => left.score - right.score)
  const level = findLevel(scored, unseenRequests)
  let remaining = random() * unseenRequests
  for (const drawn of scored) {
    remaining -= (level - drawn.score) * drawn.share
    if (remaining < 0) return preferConnection(drawn, scored)
  }
  return scored[0] === undefined ? undefined : preferConnection(scored[0], scored)
}

/**
 * Chooses the server of the host's region that is likely to keep the prefix of a request.
 * @param candidates - the servers that can take the request
 * @param avoided - ids of servers to skip, since they have refused the request or failed it
 * @param prefix - the shared prefix
 * @returns the server, or undefined when the prefix is short or its servers have too much load
 */
export function chooseServerByPrefix (candidates: readonly ServerCandidate[], avoided: ReadonlySet<string>, { parts, tokens }: PromptPrefix): BackendServerRecord | undefined {
  if (tokens < minPrefixTokens) return undefined
  const sound: Array<PrefixCandidate & { readonly server: BackendServerRecord }> = []
  for (const { server, live, isSuspect, isLimited, failureRate, isSameRegion } of candidates) {
    if (!isSameRegion || isSuspect || isLimited || failureRate > failureTolerance || avoided.has(server.id)) continue
    sound.push({ server, nameHash: hashText(server.id), load: live, capacity: server.slots, isHinted: false })
  }
  return chooseByPrefix(sound, parts.join(','))?.server
}

// Each host has connections to other servers, so this preference does not lead several hosts to the same one.
function preferConnection (drawn: ScoredServer, scored: readonly ScoredServer[]): BackendServerRecord {
  if (drawn.hasConnection) return drawn.server
  for (const { server, score, hasConnection } of scored) {
    if (score > drawn.score + connectionTolerance) break
    if (hasConnection) return server
  }
  return drawn.server
}

// Returns the score that the servers below it have once the amount is shared out among them.
function findLevel (scored: readonly ScoredServer[], amount: number): number {
  let sum = 0
  let count = 0
  for (const { score, share } of scored) {
    if (count > 0 && score * count - sum >= amount) break
    sum += score * share
    count += share
  }
  return count === 0 ? 0 : (sum + amount) / count
}

/**
 * Computes the parts of the score of a server.
 * @param candidate - the server
 * @param work - likely work of the request, in usual requests
 * @returns the parts
 */
export function computeScoreParts ({ server, load, pace = 1, meanWork = 1, isSuspect, isLimited, failureRate, isSameZone, isSameRegion }: ServerCandidate, work: number): ScoreParts {
  // The request waits until those beyond the free slots have ended, and then for its own first event; both take longer at a slow server. The work
  // of the requests that have a slot counts for nothing more than their slots: weighted by it, idle slots are left free beside long requests.
  const queued = Math.max(0, load + 1 - server.slots)
  return {
    load,
    queue: queued * (pace * meanWork - 1),
    pace: work * (pace - 1),
    distance: isSameZone ? 0 : isSameRegion ? zonePenalty : regionPenalty,
    failures: failureRate > failureTolerance ? failureRate * maxFailurePenalty : 0,
    limited: isLimited ? limitPenalty : 0,
    suspect: isSuspect ? suspectPenalty : 0
  }
}

/**
 * Adds up the parts of a score.
 * @param parts - the parts
 * @returns the score, in requests of load
 */
export function sumScore ({ load, queue, pace, distance, failures, limited, suspect }: ScoreParts): number {
  return load + queue + pace + distance + failures + limited + suspect
}
