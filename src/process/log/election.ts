/**
 * Decision functions of elections: votes and majorities.
 * @module
 */
import type { VoteRequest } from './replicaMessages.ts'
import { type Member, Standing } from './storage.ts'

/** Interval between heartbeats of a leader, in milliseconds. */
export const heartbeatMs = 100

/** Shortest election timeout, in milliseconds. */
export const minElectionTimeoutMs = 700

/** Longest election timeout, in milliseconds. */
export const maxElectionTimeoutMs = 1_400

/** State of a replica that a vote decision depends on. */
export interface VoterState {
  readonly term: number
  readonly votedFor: string | undefined
  readonly lastIndex: number
  readonly lastTerm: number
  /** Milliseconds since the last contact with a leader or the last vote granted; 0 on a leader itself. */
  readonly sinceLeaderContactMs: number
}

/**
 * Decides whether to grant a vote. No vote is granted within the shortest election timeout after the last contact with a
 * leader, so that a host returning from a partition does not depose a healthy leader.
 * @param voter - state of the replica that received the request
 * @param request - the request
 * @returns whether the vote is granted
 */
export function decideVote (voter: VoterState, request: VoteRequest): boolean {
  if (request.term < voter.term) return false
  if (voter.sinceLeaderContactMs < minElectionTimeoutMs) return false
  if (!isLogUpToDate(request, voter)) return false
  if (request.preVote) return true
  if (request.term > voter.term) return true
  return voter.votedFor === undefined || voter.votedFor === request.candidate
}

function isLogUpToDate (request: VoteRequest, voter: VoterState): boolean {
  if (request.lastTerm !== voter.lastTerm) return request.lastTerm > voter.lastTerm
  return request.lastIndex >= voter.lastIndex
}

/**
 * Lists the voters of a membership.
 * @param members - all members
 * @returns the members that are voters
 */
export function votersOf (members: readonly Member[]): Member[] {
  return members.filter(member => member.standing === Standing.Voter)
}

/**
 * Computes the size of a majority.
 * @param voters - the number of voters
 * @returns the smallest number of voters that is a majority
 */
export function majorityOf (voters: number): number {
  return Math.floor(voters / 2) + 1
}

/**
 * Finds the highest value that a majority of the voters has reached.
 * @param values - one value for each voter
 * @returns the value; `-Infinity` without voters
 */
export function highestReachedByMajority (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => right - left)
  return sorted[majorityOf(values.length) - 1] ?? -Infinity
}
