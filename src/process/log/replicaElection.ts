/**
 * Elections of a replica: the task that starts them, and answers to vote requests.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { decideVote, maxElectionTimeoutMs, minElectionTimeoutMs, heartbeatMs, majorityOf, votersOf } from './election.ts'
import { type Failure, Step } from '../program/failure.ts'
import { becomeLeader, checkLeadership, enterTerm, reportTerm, save, stepDown } from './replicaLeadership.ts'
import { lastIndexOf, lastTermOf } from './replicaLog.ts'
import type { VoteResponse, VoteRequest } from './replicaMessages.ts'
import { type ReplicaCore, ReplicaRole, type ReplicaState, storageEnded, wrongIdentity } from './replicaState.ts'

/**
 * Runs elections, and steps down as leader when no majority is heard.
 * @param core - the replica
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runElections (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    if (checkLeadership(core)) await core.inputs.clock.sleep(heartbeatMs, signal)
    else await waitForElection(core, signal)
  }
}

async function waitForElection (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  const { inputs: { clock, random }, state } = core
  const timeoutMs = minElectionTimeoutMs + random.below(maxElectionTimeoutMs - minElectionTimeoutMs)
  let silentSince = state.lastContactAt
  while (!signal.aborted && clock.now() - silentSince < timeoutMs) {
    await clock.sleep(timeoutMs - (clock.now() - silentSince), signal)
    silentSince = Math.max(silentSince, state.lastContactAt)
  }
  if (signal.aborted || !canCampaign(state)) return await clock.sleep(heartbeatMs, signal)
  await campaign(core)
  // A lost election is followed by another wait of a random length, so that two candidates do not meet again.
  if (state.role !== ReplicaRole.Leader) await clock.sleep(random.below(minElectionTimeoutMs), signal)
}

function canCampaign (state: ReplicaState): boolean {
  return !state.installing && !state.resigned && votersOf(state.members).some(member => member.identity === state.identity)
}

/**
 * Asks for the votes of the other voters, and leads with a majority of them.
 * @param core - the replica
 * @returns a promise that resolves when the election is decided
 */
export async function campaign (core: ReplicaCore): Promise<void> {
  const { state } = core
  const term = state.term + 1
  const { lastContactAt: heardAt } = state
  if (!await collectVotes(core, term, true)) return
  // A leader that was heard while the answers were on their way is not deposed.
  if (state.term + 1 !== term || state.lastContactAt !== heardAt || !canCampaign(state)) return
  state.role = ReplicaRole.Candidate
  state.leaderAddress = undefined
  if (!await save(core, [enterTerm(core, term, state.identity)])) return
  const won = await collectVotes(core, term, false)
  if (state.term !== term || state.role !== ReplicaRole.Candidate) return
  if (won) becomeLeader(core)
  else state.role = ReplicaRole.Follower
}

async function collectVotes (core: ReplicaCore, term: number, preVote: boolean): Promise<boolean> {
  const { inputs: { transport }, state } = core
  const others = votersOf(state.members).filter(member => member.identity !== state.identity)
  const lastIndex = lastIndexOf(state)
  const lastTerm = lastTermOf(state)
  const needed = majorityOf(others.length + 1)
  if (needed === 1) return true
  return new Promise(resolve => {
    let granted = 1
    let answered = 0
    const tally = (answer: Result<VoteResponse, Failure>): void => {
      answered++
      // Pre-vote answers count too: otherwise a replica two terms behind could never be elected.
      if (answer.isOk() && !answer.value.granted) reportTerm(core, answer.value.term)
      if (answer.isOk() && answer.value.granted) granted++
      if (granted >= needed) return resolve(true)
      if (answered === others.length) resolve(false)
    }
    for (const voter of others) {
      const request: VoteRequest = { to: voter.identity, term, candidate: state.identity, lastIndex, lastTerm, preVote }
      transport.vote(voter.address, request).then(tally, () => {})
    }
  })
}

/**
 * Answers a vote request. A vote is synced before it is given.
 * @param core - the replica
 * @param request - the request
 * @returns the answer, or a failure
 */
export async function handleVote (core: ReplicaCore, request: VoteRequest): Promise<Result<VoteResponse, Failure>> {
  const { inputs: { clock }, state } = core
  if (request.to !== state.identity) return err(wrongIdentity(state, Step.Vote, request.to))
  const leaderSilenceMs = state.role === ReplicaRole.Leader ? 0 : clock.now() - state.lastContactAt
  const granted = decideVote({
    term: state.term, votedFor: state.votedFor, lastIndex: lastIndexOf(state), lastTerm: lastTermOf(state), leaderSilenceMs
  }, request)
  if (!granted || request.preVote) return ok({ term: state.term, granted })
  if (request.term > state.term && state.role !== ReplicaRole.Follower) stepDown(core)
  const record = enterTerm(core, request.term, request.candidate)
  state.lastContactAt = clock.now()
  if (!await save(core, [record])) return err(storageEnded(state, Step.Vote))
  return ok({ term: request.term, granted: true })
}
