/**
 * Elections of a replica: the task that starts them, and the handling of vote requests.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { decideVote, heartbeatMs, majorityOf, maxElectionTimeoutMs, minElectionTimeoutMs, votersOf } from './election.ts'
import { type Failure, Step } from '../program/failure.ts'
import { adoptNewerTerm, becomeLeader, checkLeadership, enterTerm, LeadershipEnd, save, stepDown, yieldLeadership } from './replicaLeadership.ts'
import { lastIndexOf, lastTermOf } from './replicaLog.ts'
import type { VoteRequest, VoteResponse } from './replicaMessages.ts'
import { createDiskFullFailure, createStorageFailure, createWrongIdentityFailure, type ReplicaCore, ReplicaRole } from './replicaState.ts'

/**
 * Starts elections, and steps down as leader after losing contact with the majority, until the signal aborts.
 * @param core - the replica
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runElections (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    // Its entries wait for free space, so another replica leads meanwhile.
    if (!core.inputs.storage.hasSpace) await yieldLeadership(core, LeadershipEnd.DiskFull)
    if (checkLeadership(core)) await core.inputs.clock.sleep(heartbeatMs, signal)
    else await waitForElection(core, signal)
  }
}

async function waitForElection (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  const { inputs: { clock, random }, state } = core
  const timeoutMs = minElectionTimeoutMs + random.below(maxElectionTimeoutMs - minElectionTimeoutMs)
  let lastContactAt = state.lastContactAt
  while (!signal.aborted && clock.now() - lastContactAt < timeoutMs) {
    await clock.sleep(timeoutMs - (clock.now() - lastContactAt), signal)
    lastContactAt = Math.max(lastContactAt, state.lastContactAt)
  }
  if (signal.aborted || !canCampaign(core)) return await clock.sleep(heartbeatMs, signal)
  await campaign(core)
  // A random delay after a lost election reduces the probability that two candidates split the votes again.
  if (state.role !== ReplicaRole.Leader) await clock.sleep(random.below(minElectionTimeoutMs), signal)
}

function canCampaign ({ state, inputs }: ReplicaCore): boolean {
  return inputs.storage.hasSpace && !state.isInstalling && !state.hasResigned && votersOf(state.members).some(member => member.identity === state.identity)
}

/**
 * Runs an election: a pre-vote, and if a majority would grant its vote, the vote itself. Becomes leader on success.
 * @param core - the replica
 * @returns a promise that resolves when the election is decided
 */
export async function campaign (core: ReplicaCore): Promise<void> {
  const { state } = core
  const term = state.term + 1
  const { lastContactAt } = state
  if (!core.inputs.storage.hasSpace) return
  if (!await collectVotes(core, term, true)) return
  // Contact with a leader during the pre-vote ends the election, so that this leader is not deposed.
  if (state.term + 1 !== term || state.lastContactAt !== lastContactAt || !canCampaign(core)) return
  state.role = ReplicaRole.Candidate
  state.leaderAddress = undefined
  if (!await save(core, [enterTerm(core, term, state.identity)])) return
  const isElected = await collectVotes(core, term, false)
  if (state.term !== term || state.role !== ReplicaRole.Candidate) return
  if (isElected) becomeLeader(core)
  else state.role = ReplicaRole.Follower
}

async function collectVotes (core: ReplicaCore, term: number, preVote: boolean): Promise<boolean> {
  const { inputs: { transport }, state } = core
  const others = votersOf(state.members).filter(member => member.identity !== state.identity)
  const lastIndex = lastIndexOf(state)
  const lastTerm = lastTermOf(state)
  const requiredCount = majorityOf(others.length + 1)
  if (requiredCount === 1) return true
  return new Promise(resolve => {
    let grantedCount = 1
    let responseCount = 0
    const tally = (response: Result<VoteResponse, Failure>): void => {
      responseCount++
      // The term of a pre-vote response is adopted too; otherwise a replica two terms behind could never be elected.
      if (response.isOk() && !response.value.granted) adoptNewerTerm(core, response.value.term)
      if (response.isOk() && response.value.granted) grantedCount++
      if (grantedCount >= requiredCount) return resolve(true)
      if (responseCount === others.length) resolve(false)
    }
    for (const voter of others) {
      const request: VoteRequest = { to: voter.identity, term, candidate: state.identity, lastIndex, lastTerm, preVote }
      transport.vote(voter.address, request).then(tally, () => {})
    }
  })
}

/**
 * Handles a vote request. A vote is synced before the response grants it.
 * @param core - the replica
 * @param request - the request
 * @returns the response, or a failure
 */
export async function handleVote (core: ReplicaCore, request: VoteRequest): Promise<Result<VoteResponse, Failure>> {
  const { inputs: { clock, storage }, state } = core
  if (request.to !== state.identity) return err(createWrongIdentityFailure(state, Step.Vote, request.to))
  if (!storage.hasSpace) return err(createDiskFullFailure(state, Step.Vote))
  const sinceLeaderContactMs = state.role === ReplicaRole.Leader ? 0 : clock.now() - state.lastContactAt
  const granted = decideVote({
    term: state.term, votedFor: state.votedFor, lastIndex: lastIndexOf(state), lastTerm: lastTermOf(state), sinceLeaderContactMs
  }, request)
  if (!granted || request.preVote) return ok({ term: state.term, granted })
  if (request.term > state.term && state.role !== ReplicaRole.Follower) stepDown(core, LeadershipEnd.NewerTerm)
  const record = enterTerm(core, request.term, request.candidate)
  state.lastContactAt = clock.now()
  if (!await save(core, [record])) return err(createStorageFailure(state, Step.Vote))
  return ok({ term: request.term, granted: true })
}
