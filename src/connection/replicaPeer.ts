/**
 * The task of a leader for one other replica: sends entries and heartbeats, one request at a time.
 * @module
 */
import type { Clock } from '../process/clock.ts'
import { heartbeatMs } from '../process/election.ts'
import { lastIndexOf, type Progress, ReplicaRole, type ReplicaState, termAt } from '../process/replica.ts'
import type { AppendRequest, Transport } from '../process/replicaMessages.ts'
import type { Member } from '../process/storage.ts'

/** Most entries in one request. */
const entriesLimit = 512

/** What the task needs. */
export interface ReplicaPeer {
  readonly state: ReplicaState
  readonly member: Member
  readonly progress: Progress
  readonly transport: Transport
  readonly clock: Clock
  /** Reports the term of an answer. */
  readonly reportTerm: (term: number) => void
  /** Reports that the peer has more entries than before. */
  readonly reportMatch: () => void
  readonly signal: AbortSignal
}

/**
 * Runs until the signal aborts or the term of the leader ends.
 * @param peer - what the task needs
 * @returns a promise that resolves at the end
 */
export async function runReplicaPeer (peer: ReplicaPeer): Promise<void> {
  const { state, member, progress, transport, clock, signal } = peer
  const term = state.term
  while (!signal.aborted && state.role === ReplicaRole.Leader && state.term === term) {
    const sentAt = clock.now()
    const answer = await transport.append(member.address, createAppend(state, member, progress))
    if (state.term !== term || state.role !== ReplicaRole.Leader) return
    if (answer.isErr()) {
      await clock.sleep(heartbeatMs, signal)
      continue
    }
    if (answer.value.term > term) return peer.reportTerm(answer.value.term)
    progress.acknowledgedAt = Math.max(progress.acknowledgedAt, sentAt)
    if (!answer.value.accepted) {
      progress.nextIndex = Math.max(1, answer.value.index + 1)
      state.acknowledged.notify()
      continue
    }
    progress.matchIndex = Math.max(progress.matchIndex, answer.value.index)
    progress.nextIndex = progress.matchIndex + 1
    peer.reportMatch()
    state.acknowledged.notify()
    if (lastIndexOf(state) >= progress.nextIndex || state.readAskedAt > progress.acknowledgedAt) continue
    await state.work.wait(heartbeatMs, signal)
  }
}

function createAppend (state: ReplicaState, member: Member, progress: Progress): AppendRequest {
  const previousIndex = progress.nextIndex - 1
  return {
    to: member.identity,
    term: state.term,
    leader: state.identity,
    leaderAddress: state.address,
    previousIndex,
    previousTerm: termAt(state, previousIndex) ?? 0,
    entries: state.entries.slice(previousIndex, previousIndex + entriesLimit),
    commitIndex: state.commitIndex
  }
}
