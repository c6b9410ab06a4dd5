/**
 * The task of a leader for one other replica: sends entries, heartbeats and snapshots, one request at a time.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { minElectionTimeoutMs, heartbeatMs } from '../process/log/election.ts'
import { entriesFrom, lastIndexOf, termAt } from '../process/log/replicaLog.ts'
import type { AppendRequest, Transport } from '../process/log/replicaMessages.ts'
import { type Progress, ReplicaRole, type ReplicaState } from '../process/log/replicaState.ts'
import type { Member, Storage } from '../process/log/storage.ts'

/** Most entries in one request. */
const entriesLimit = 512

/** Approximate most bytes of entries in one request. */
const bytesLimit = 1024 * 1024

/** What the task needs. */
export interface ReplicaPeer {
  readonly state: ReplicaState
  readonly member: Member
  readonly progress: Progress
  readonly transport: Transport
  readonly storage: Storage
  readonly clock: Clock
  /** Reports the term of an answer. */
  readonly reportTerm: (term: number) => void
  /** Reports that the peer has more entries than before. */
  readonly reportMatch: () => void
  readonly signal: AbortSignal
}

/** What a leader knew when it sent a request. */
interface Sending {
  readonly sentAt: number
  readonly round: number
}

/**
 * Runs until the signal aborts or the term of the leader ends.
 * @param peer - what the task needs
 * @returns a promise that resolves at the end
 */
export async function runReplicaPeer (peer: ReplicaPeer): Promise<void> {
  const { state, progress, clock, signal } = peer
  const { term } = state
  while (isLeading(peer, term)) {
    const isBehindLog = progress.nextIndex <= state.base.index
    const answered = isBehindLog ? await sendSnapshot(peer, term) : await sendEntries(peer, term)
    if (!isLeading(peer, term)) return
    if (!answered) {
      await clock.sleep(heartbeatMs, signal)
      continue
    }
    const hasMore = lastIndexOf(state) >= progress.nextIndex || state.readRound > progress.confirmedReadRound
    if (!hasMore) await state.replicationPending.wait(heartbeatMs, signal)
  }
}

function isLeading ({ state, signal }: ReplicaPeer, term: number): boolean {
  return !signal.aborted && state.role === ReplicaRole.Leader && state.term === term
}

async function sendEntries (peer: ReplicaPeer, term: number): Promise<boolean> {
  const { state, member, progress, transport, clock } = peer
  const sending: Sending = { sentAt: clock.now(), round: state.readRound }
  const answer = await transport.append(member.address, createAppend(state, member, progress.nextIndex - 1))
  if (answer.isErr() || !isLeading(peer, term)) return false
  if (answer.value.term > term) {
    peer.reportTerm(answer.value.term)
    return false
  }
  acknowledge(peer, sending)
  if (answer.value.accepted) advanceMatch(peer, answer.value.index)
  else progress.nextIndex = Math.max(progress.matchIndex, Math.min(answer.value.index, progress.nextIndex - 2)) + 1
  state.acknowledged.notify()
  return true
}

function createAppend (state: ReplicaState, member: Member, previousIndex: number): AppendRequest {
  return {
    to: member.identity,
    term: state.term,
    leader: state.identity,
    leaderAddress: state.address,
    previousIndex,
    previousTerm: termAt(state, previousIndex) ?? 0,
    entries: entriesFrom(state, previousIndex + 1, entriesLimit, bytesLimit),
    commitIndex: state.commitIndex
  }
}

function acknowledge ({ progress }: ReplicaPeer, sending: Sending): void {
  progress.acknowledgedAt = Math.max(progress.acknowledgedAt, sending.sentAt)
  progress.confirmedReadRound = Math.max(progress.confirmedReadRound, sending.round)
}

function advanceMatch (peer: ReplicaPeer, index: number): void {
  const { state, progress, clock } = peer
  progress.matchIndex = Math.max(progress.matchIndex, index)
  progress.nextIndex = progress.matchIndex + 1
  if (progress.matchIndex >= progress.catchUpTargetIndex) {
    // A replica is caught up when what was new at the start of a round took it less than an election timeout.
    const now = clock.now()
    progress.isCaughtUp = now - progress.catchUpStartedAt < minElectionTimeoutMs
    progress.catchUpTargetIndex = lastIndexOf(state)
    progress.catchUpStartedAt = now
  }
  peer.reportMatch()
}

// A newer snapshot that replaces the one being sent starts the transfer over.
async function sendSnapshot (peer: ReplicaPeer, term: number): Promise<boolean> {
  const { state, member, transport, storage, clock } = peer
  let offset = 0
  let index: number | undefined
  while (isLeading(peer, term)) {
    const chunk = await storage.readChunk(offset)
    if (chunk.isErr()) return false
    const { point, bytes, last } = chunk.value
    if (index !== undefined && point.index !== index) return true
    index = point.index
    const sending: Sending = { sentAt: clock.now(), round: state.readRound }
    const answer = await transport.snapshot(member.address, {
      to: member.identity, term, leaderAddress: state.address, index, offset, bytes: bytes.toString('base64'), last
    })
    if (answer.isErr() || !isLeading(peer, term)) return false
    if (answer.value.term > term) {
      peer.reportTerm(answer.value.term)
      return false
    }
    acknowledge(peer, sending)
    state.acknowledged.notify()
    if (answer.value.installed) {
      advanceMatch(peer, point.index)
      return true
    }
    // Without progress the replica is busy with a snapshot of its own or is installing this one.
    if (answer.value.received === offset) await clock.sleep(heartbeatMs, peer.signal)
    offset = answer.value.received
  }
  return false
}
