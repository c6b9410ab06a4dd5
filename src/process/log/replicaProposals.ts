/**
 * Commands and confirmed reads of the leader.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { Command, Outcome } from '../state/commands.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { Latency } from '../program/metrics.ts'
import { isRoundConfirmed } from './replicaCommit.ts'
import { appendEntry, checkLeadership } from './replicaLeadership.ts'
import { notLeader, type ReplicaCore, ReplicaRole } from './replicaState.ts'
import { PayloadKind } from './storage.ts'

/** How long a proposal may take to commit, in milliseconds. */
const proposalLimitMs = 5_000

/** Most proposals that wait at a time; more are refused before they are appended. */
export const maxPendingProposals = 8_192

/** How long a read waits for the leadership to be confirmed, in milliseconds. */
const confirmLimitMs = 1_000

/**
 * Appends a command and waits until it is applied.
 * @param core - the replica
 * @param command - the command
 * @returns its outcome; a failure `unknown outcome` means that it may be applied, any other that it was not appended
 */
export async function propose (core: ReplicaCore, command: Command): Promise<Result<Outcome, Failure>> {
  const { inputs: { clock, metrics }, state, proposals } = core
  if (!checkLeadership(core)) return err(notLeader(state, Step.Propose))
  if (proposals.size >= maxPendingProposals) {
    return err(createFailure(FailureReason.Rejected, { step: Step.Propose, peer: state.address }, `${maxPendingProposals} commands are waiting already`))
  }
  const startedAt = clock.now()
  const entry = appendEntry(core, { kind: PayloadKind.Command, command })
  return await new Promise(resolve => {
    const limit = new AbortController()
    const settle = (result: Result<Outcome, Failure>): void => {
      limit.abort()
      resolve(result)
    }
    proposals.set(entry.index, {
      term: entry.term,
      settle (result) {
        metrics.record(Latency.Commit, clock.now() - startedAt)
        settle(result)
      }
    })
    clock.sleep(proposalLimitMs, limit.signal).then(() => {
      if (limit.signal.aborted) return
      proposals.delete(entry.index)
      settle(err(createFailure(FailureReason.Unknown, { step: Step.Propose, peer: state.address }, `the command was not committed within ${proposalLimitMs} ms`)))
    }, () => {})
  })
}

/**
 * Confirms that this replica leads and has applied all that was committed before the call. A round is confirmed by
 * requests that were sent after it began, whatever the clock says.
 * @param core - the replica
 * @returns the applied index, or a failure
 */
export async function confirmRead (core: ReplicaCore): Promise<Result<number, Failure>> {
  const { inputs: { clock, lifecycle }, state } = core
  if (!checkLeadership(core)) return err(notLeader(state, Step.ConfirmRead))
  const { term } = state
  const deadline = clock.now() + confirmLimitMs
  // Before the first entry of its own term is committed, a leader may not know the newest commit index.
  const needed = Math.max(state.commitIndex, state.termStartIndex)
  const round = ++state.readRound
  state.replicationPending.notify()
  while (state.role === ReplicaRole.Leader && state.term === term && !lifecycle.signal.aborted) {
    if (state.appliedIndex >= needed && isRoundConfirmed(state, round)) return ok(state.appliedIndex)
    const leftMs = deadline - clock.now()
    if (leftMs <= 0) return err(createFailure(FailureReason.NoQuorum, { step: Step.ConfirmRead, peer: state.address }, 'no majority confirmed the leadership'))
    await state.acknowledged.wait(leftMs, lifecycle.signal)
  }
  return err(notLeader(state, Step.ConfirmRead))
}
