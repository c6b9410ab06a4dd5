/**
 * The task by which a leader replicates to one peer: sends entries and snapshots, one request at a time. While there are
 * none it sends requests without entries as heartbeats.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { heartbeatMs } from '../process/log/election.ts'
import { maxLearnerLagMs } from '../process/log/membership.ts'
import { entriesFrom, lastIndexOf, termAt } from '../process/log/replicaLog.ts'
import type { AppendRequest, Transport } from '../process/log/replicaMessages.ts'
import { type Progress, ReplicaRole, type ReplicaState, type SentRequest } from '../process/log/replicaState.ts'
import type { Member, Storage } from '../process/log/storage.ts'
import type { Logger } from '../process/program/logger.ts'
import type { Metrics } from '../process/program/metrics.ts'
import { createReplicationMonitor, type ReplicationMonitor } from './replicationMonitor.ts'

/** Maximum number of entries in one request. */
const maxEntriesPerRequest = 512

/**
 * Approximate maximum size of the entries in one request, in bytes. A connection between regions may carry no more than
 * 400 KB a second, and a request that does not arrive within its timeout is sent again from the start.
 */
const maxBytesPerRequest = 256 * 1024

/** Dependencies and settings of the task for one peer. */
export interface ReplicaPeer {
  readonly state: ReplicaState
  readonly member: Member
  readonly progress: Progress
  readonly transport: Transport
  readonly storage: Storage
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Called with the term of a response when it is higher than the term of the leader. */
  readonly reportTerm: (term: number) => void
  /** Called when the match index of the peer may have advanced. */
  readonly reportMatch: () => void
  readonly signal: AbortSignal
}

/**
 * Replicates to the peer until the signal aborts or the term of the leader ends.
 * @param peer - dependencies and settings of the task
 * @returns a promise that resolves when the task has ended
 */
export async function runReplicaPeer (peer: ReplicaPeer): Promise<void> {
  const { state, member, progress, clock, signal } = peer
  const { term } = state
  const monitor = createReplicationMonitor(member, peer)
  while (isLeadingPeer(peer, term)) {
    const isNextEntryCompacted = progress.nextIndex <= state.base.index
    progress.transfer = { sentAt: clock.now(), readRound: state.readRound }
    const succeeded = isNextEntryCompacted ? await sendSnapshot(peer, term, monitor) : await sendEntries(peer, term, monitor)
    progress.transfer = undefined
    progress.sentSnapshotIndex = undefined
    if (!isLeadingPeer(peer, term)) return
    if (!succeeded) {
      await clock.sleep(heartbeatMs, signal)
      continue
    }
    const hasMore = lastIndexOf(state) >= progress.nextIndex || state.readRound > progress.confirmedReadRound
    if (!hasMore) await state.replicationPending.wait(heartbeatMs, signal)
  }
}

/**
 * Checks whether the tasks for a peer are to continue.
 * @param peer - the peer
 * @param term - term in which the tasks started
 * @returns whether this replica leads in that term and the signal has not aborted
 */
export function isLeadingPeer ({ state, signal }: ReplicaPeer, term: number): boolean {
  return !signal.aborted && state.role === ReplicaRole.Leader && state.term === term
}

async function sendEntries (peer: ReplicaPeer, term: number, monitor: ReplicationMonitor): Promise<boolean> {
  const { state, member, progress, transport, clock } = peer
  const sentRequest: SentRequest = { sentAt: clock.now(), readRound: state.readRound }
  const request = createAppend(peer, progress.nextIndex - 1)
  const response = await transport.append(member.address, request)
  monitor.record({ sentAt: sentRequest.sentAt, entries: request.entries, snapshotBytes: 0 }, response.isErr() ? response.error : undefined)
  if (response.isErr() || !isLeadingPeer(peer, term)) return false
  if (response.value.term > term) {
    peer.reportTerm(response.value.term)
    return false
  }
  recordAcknowledgement(peer, sentRequest)
  if (response.value.accepted) advanceMatch(peer, response.value.index)
  // The next request starts at least one entry earlier than this one, even if the peer suggests a later index.
  else progress.nextIndex = Math.max(progress.matchIndex, Math.min(response.value.index, progress.nextIndex - 2)) + 1
  state.acknowledged.notify()
  return true
}

function createAppend ({ state, member, transport }: ReplicaPeer, previousIndex: number): AppendRequest {
  return {
    to: member.identity,
    term: state.term,
    leader: state.identity,
    leaderAddress: state.address,
    previousIndex,
    previousTerm: termAt(state, previousIndex) ?? 0,
    entries: entriesFrom(state, previousIndex + 1, maxEntriesPerRequest, maxBytesPerRequest, entry => transport.estimateBytes(entry)),
    commitIndex: state.commitIndex
  }
}

/**
 * Records that the peer has responded to a request in the leader's term.
 * @param peer - the peer
 * @param sentRequest - state of the leader when it sent the request
 */
export function recordAcknowledgement ({ progress }: ReplicaPeer, sentRequest: SentRequest): void {
  progress.acknowledgedAt = Math.max(progress.acknowledgedAt, sentRequest.sentAt)
  progress.confirmedReadRound = Math.max(progress.confirmedReadRound, sentRequest.readRound)
}

function advanceMatch (peer: ReplicaPeer, index: number): void {
  const { state, progress, clock } = peer
  progress.matchIndex = Math.max(progress.matchIndex, index)
  progress.nextIndex = progress.matchIndex + 1
  if (progress.matchIndex >= progress.catchUpTargetIndex) {
    const now = clock.now()
    progress.caughtUpAt = progress.catchUpStartedAt
    if (now - progress.caughtUpAt < maxLearnerLagMs) progress.isRestoring = false
    progress.catchUpTargetIndex = lastIndexOf(state)
    progress.catchUpStartedAt = now
  }
  peer.reportMatch()
}

// When a newer snapshot replaces the one being sent, the transfer starts over.
async function sendSnapshot (peer: ReplicaPeer, term: number, monitor: ReplicationMonitor): Promise<boolean> {
  const { state, member, transport, storage, clock } = peer
  let offset = 0
  let index: number | undefined
  while (isLeadingPeer(peer, term)) {
    const chunk = await storage.readChunk(offset)
    if (chunk.isErr()) return false
    const { point, bytes, last } = chunk.value
    if (index !== undefined && point.index !== index) return true
    index = point.index
    peer.progress.sentSnapshotIndex = index
    peer.progress.isRestoring = true
    const sentRequest: SentRequest = { sentAt: clock.now(), readRound: state.readRound }
    const response = await transport.snapshot(member.address, {
      to: member.identity, term, leaderAddress: state.address, index, offset, bytes, last
    })
    monitor.record({ sentAt: sentRequest.sentAt, entries: [], snapshotBytes: bytes.length }, response.isErr() ? response.error : undefined)
    if (response.isErr() || !isLeadingPeer(peer, term)) return false
    if (response.value.term > term) {
      peer.reportTerm(response.value.term)
      return false
    }
    recordAcknowledgement(peer, sentRequest)
    state.acknowledged.notify()
    if (response.value.installed) {
      advanceMatch(peer, point.index)
      return true
    }
    // A peer that stored no further bytes is busy writing a snapshot of its own or installing this one, so the leader waits.
    if (response.value.received === offset) await clock.sleep(heartbeatMs, peer.signal)
    offset = response.value.received
  }
  return false
}
