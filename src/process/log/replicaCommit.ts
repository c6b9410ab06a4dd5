/**
 * Commit and application of entries, and majority checks of the leader.
 * @module
 */
import { err, ok } from 'neverthrow'
import { assert, assertNever } from '../program/assert.ts'
import { highestReachedByMajority, majorityOf, votersOf } from './election.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { approximateBytes, entryAt, termAt } from './replicaLog.ts'
import { type ReplicaCore, ReplicaRole, type ReplicaState } from './replicaState.ts'
import { type Entry, type Member, PayloadKind } from './storage.ts'

/**
 * Advances the commit index of a leader to the highest entry that a majority of the voters has synced.
 * @param core - the replica
 */
export function advanceCommit (core: ReplicaCore): void {
  const { state } = core
  if (state.role !== ReplicaRole.Leader) return
  const majorityIndex = highestReachedByMajority(votersOf(state.members).map(member => matchIndexOf(state, member)))
  if (majorityIndex <= state.commitIndex) return
  // An entry of an earlier term is committed only indirectly, by an entry of the leader's own term after it.
  if (termAt(state, majorityIndex) !== state.term) return
  commit(core, majorityIndex)
  state.replicationPending.notify()
}

function matchIndexOf (state: ReplicaState, member: Member): number {
  if (member.identity === state.identity) return state.syncedIndex
  return state.progress.get(member.identity)?.matchIndex ?? 0
}

/**
 * Commits entries and applies them.
 * @param core - the replica
 * @param index - the new commit index
 */
export function commit (core: ReplicaCore, index: number): void {
  core.state.commitIndex = index
  applyCommitted(core)
}

/**
 * Applies the committed entries, unless the state machine is being exported.
 * @param core - the replica
 */
export function applyCommitted (core: ReplicaCore): void {
  const { state } = core
  while (!state.isExporting && state.appliedIndex < state.commitIndex) {
    const entry = entryAt(state, state.appliedIndex + 1)
    assert(entry !== undefined, `entry ${state.appliedIndex + 1} is committed but missing`)
    state.appliedIndex = entry.index
    state.appliedBytes += approximateBytes(entry.payload)
    applyEntry(core, entry)
  }
  state.changed.notify()
  state.acknowledged.notify()
}

function applyEntry (core: ReplicaCore, entry: Entry): void {
  const { payload } = entry
  switch (payload.kind) {
    case PayloadKind.NoOp: return
    case PayloadKind.Members:
      core.membershipPending.notify()
      return
    case PayloadKind.Command: {
      const outcome = core.inputs.apply(payload.command, entry.index)
      const proposal = core.proposals.take(entry.index)
      if (proposal === undefined) return
      proposal.settle(proposal.term === entry.term ? ok(outcome) : err(createLeadershipLostFailure(core.state)))
      return
    }
    default: assertNever(payload)
  }
}

/**
 * Creates the failure of a command whose outcome is unknown because the leadership was lost.
 * @param state - the replica
 * @returns the failure
 */
export function createLeadershipLostFailure (state: ReplicaState): Failure {
  return createFailure(FailureReason.Unknown, { step: Step.Propose, peer: state.address }, 'leadership was lost before the command was applied')
}

/**
 * Checks whether a majority of the voters has responded to a request that was sent at or after a given time.
 * @param state - the leader
 * @param time - monotonic time, in milliseconds
 * @returns whether it has
 */
export function hasMajorityContactSince (state: ReplicaState, time: number): boolean {
  return hasMajority(state, identity => (state.progress.get(identity)?.acknowledgedAt ?? -Infinity) >= time)
}

/**
 * Checks whether a majority of the voters has confirmed the leadership for a read round.
 * @param state - the leader
 * @param round - number of the round
 * @returns whether it has
 */
export function isReadRoundConfirmed (state: ReplicaState, round: number): boolean {
  return hasMajority(state, identity => (state.progress.get(identity)?.confirmedReadRound ?? 0) >= round)
}

function hasMajority (state: ReplicaState, isCounted: (identity: string) => boolean): boolean {
  const voters = votersOf(state.members)
  const count = voters.filter(({ identity }) => identity === state.identity || isCounted(identity)).length
  return count >= majorityOf(voters.length)
}
