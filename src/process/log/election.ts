/**
 * Decisions about votes, terms and majorities.
 * @module
 */
import type { VoteRequest } from './replicaMessages.ts'
import { type Member, Standing } from './storage.ts'

/** Time between heartbeats of a leader, in milliseconds. */
export const heartbeatMs = 100

/** Shortest time without a leader before an election, in milliseconds. */
export const minElectionTimeoutMs = 700

/** Longest time without a leader before an election, in milliseconds. */
export const maxElectionTimeoutMs = 1_400

/** What a vote decision depends on. */
export interface Voter {
  readonly term: number
  readonly votedFor: string | undefined
  readonly lastIndex: number
  readonly lastTerm: number
  /** Milliseconds since a leader was last heard, or since the replica itself last led. */
  readonly leaderSilenceMs: number
}

/**
 * Decides on a vote request. While a leader is heard no vote is given, so that a host returning from a partition does
 * not depose a healthy leader.
 * @param voter - state of the replica that is asked
 * @param request - the request
 * @returns whether the vote is granted
 */
export function decideVote (voter: Voter, request: VoteRequest): boolean {
  if (request.term < voter.term) return false
  if (voter.leaderSilenceMs < minElectionTimeoutMs) return false
  if (!isUpToDate(request, voter)) return false
  if (request.preVote) return true
  if (request.term > voter.term) return true
  return voter.votedFor === undefined || voter.votedFor === request.candidate
}

function isUpToDate (request: VoteRequest, voter: Voter): boolean {
  if (request.lastTerm !== voter.lastTerm) return request.lastTerm > voter.lastTerm
  return request.lastIndex >= voter.lastIndex
}

/**
 * Lists the voters.
 * @param members - all members
 * @returns those that vote
 */
export function votersOf (members: readonly Member[]): Member[] {
  return members.filter(member => member.standing === Standing.Voter)
}

/**
 * Counts a majority.
 * @param voters - the number of voters
 * @returns how many of them are a majority
 */
export function majorityOf (voters: number): number {
  return Math.floor(voters / 2) + 1
}

/**
 * Finds the highest value that a majority has reached.
 * @param values - one value for each voter
 * @returns the value; `-Infinity` without voters
 */
export function reachedByMajority (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => right - left)
  return sorted[majorityOf(values.length) - 1] ?? -Infinity
}
