/**
 * Proposals of commands and confirmed reads, both on the leader.
 * @module
 */
import { setImmediate } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import { type Command, CommandKind, type Outcome } from '../state/commands.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { Latency } from '../program/metrics.ts'
import { isReadRoundConfirmed } from './replicaCommit.ts'
import { appendEntry, checkLeadership } from './replicaLeadership.ts'
import { countEntryBytes } from './replicaLog.ts'
import { createDiskFullFailure, createNotLeaderFailure, type ReplicaCore, ReplicaRole } from './replicaState.ts'
import { PayloadKind } from './storage.ts'

/** Time within which a proposal must be committed and applied, in milliseconds. */
const proposalTimeoutMs = 5_000

/** Maximum number of pending proposals, including those whose callers have given up; further ones are rejected before they are appended. */
export const maxPendingProposals = 8_192

/**
 * Maximum size of the pending proposals with which a command that brings new jobs is accepted, in bytes. A slow connection between
 * regions carries no more within the time in which a proposal must be committed.
 */
export const maxPendingJobBytes = 4 * 1024 * 1024

/**
 * Maximum size of the pending proposals with which new tables are accepted, in bytes. Their entries stay in memory until they are committed, and
 * an operator sends a version again when its acknowledgement is late.
 */
export const maxPendingTablesBytes = 16 * 1024 * 1024

/** Maximum size of the pending proposals with which a command is accepted, in bytes, by the kinds of commands that can be large. */
const maxPendingBytes: Partial<Record<CommandKind, number>> = {
  [CommandKind.Submit]: maxPendingJobBytes, [CommandKind.AppendItems]: maxPendingJobBytes, [CommandKind.Publish]: maxPendingTablesBytes
}

/** Time within which the leadership must be confirmed for a read, in milliseconds. */
const confirmReadTimeoutMs = 1_000

/**
 * Appends a command and waits until it is applied.
 * @param core - the replica
 * @param command - the command
 * @returns its outcome; with the failure `unknown outcome` the command may still be applied, with any other it was not appended
 */
export async function propose (core: ReplicaCore, command: Command): Promise<Result<Outcome, Failure>> {
  const { inputs, state, proposals } = core
  const { clock, metrics } = inputs
  if (!inputs.storage.hasSpace) return err(createDiskFullFailure(state, Step.Propose))
  if (!checkLeadership(core)) return err(createNotLeaderFailure(state, Step.Propose))
  if (proposals.size >= maxPendingProposals || proposals.bytes >= (maxPendingBytes[command.kind] ?? Infinity)) {
    return err(createFailure(FailureReason.Rejected, { step: Step.Propose, peer: state.address }, `${proposals.size} commands of ${proposals.bytes} bytes are waiting already`))
  }
  const startedAt = clock.now()
  const entry = appendEntry(core, { kind: PayloadKind.Command, command })
  return await new Promise(resolve => {
    const timer = new AbortController()
    const settle = (result: Result<Outcome, Failure>): void => {
      timer.abort()
      resolve(result)
    }
    proposals.add(entry.index, {
      term: entry.term,
      bytes: countEntryBytes(entry),
      settle (result) {
        if (timer.signal.aborted) return
        metrics.record(Latency.Commit, clock.now() - startedAt)
        settle(result)
      }
    })
    // The proposal stays pending, since its entry stays in memory until it is committed.
    clock.sleep(proposalTimeoutMs, timer.signal).then(() => {
      if (timer.signal.aborted) return
      settle(err(createFailure(FailureReason.Unknown, { step: Step.Propose, peer: state.address }, `the command was not committed within ${proposalTimeoutMs} ms`)))
    }, () => {})
  })
}

/**
 * Shares read rounds: all reads that begin in one turn of the event loop are confirmed by the same round. Each pending round is checked
 * again whenever a follower responds, so a round for each read would take the leader the time in which it confirms them.
 * @param core - the replica
 * @returns a function that confirms a read like `confirmRead`
 */
export function createSharedReads (core: ReplicaCore): () => Promise<Result<number, Failure>> {
  let upcoming: Promise<Result<number, Failure>> | undefined

  async function startRound (): Promise<Result<number, Failure>> {
    await setImmediate()
    // A read that begins from now on needs a later round.
    upcoming = undefined
    return await confirmRead(core)
  }

  return async () => {
    upcoming ??= startRound()
    return await upcoming
  }
}

/**
 * Confirms that this replica is the leader and has applied every entry that was committed before the call. A read round is
 * confirmed by responses to requests that were sent after the round began, and thus does not depend on clocks.
 * @param core - the replica
 * @returns the applied index, or a failure
 */
export async function confirmRead (core: ReplicaCore): Promise<Result<number, Failure>> {
  const { inputs: { clock, lifecycle }, state } = core
  if (!checkLeadership(core)) return err(createNotLeaderFailure(state, Step.ConfirmRead))
  const { term } = state
  const deadline = clock.now() + confirmReadTimeoutMs
  // Until the first entry of its own term is committed, the commit index of a leader may be out of date.
  const requiredIndex = Math.max(state.commitIndex, state.termStartIndex)
  const round = ++state.readRound
  state.replicationPending.notify()
  while (state.role === ReplicaRole.Leader && state.term === term && !lifecycle.signal.aborted) {
    if (state.appliedIndex >= requiredIndex && isReadRoundConfirmed(state, round)) return ok(state.appliedIndex)
    const remainingMs = deadline - clock.now()
    if (remainingMs <= 0) return err(createFailure(FailureReason.NoQuorum, { step: Step.ConfirmRead, peer: state.address }, 'no majority confirmed the leadership'))
    await state.acknowledged.wait(remainingMs, lifecycle.signal)
  }
  return err(createNotLeaderFailure(state, Step.ConfirmRead))
}
