/**
 * The task by which a leader keeps contact with one peer while a request with entries or a snapshot is in transit. Such a
 * request may take longer than an election timeout, so the leadership must not depend on its response.
 * @module
 */
import { heartbeatMs } from '../process/log/election.ts'
import type { SentRequest } from '../process/log/replicaState.ts'
import { isLeadingPeer, recordAcknowledgement, type ReplicaPeer } from './replicaPeer.ts'

/** Interval between two heartbeats for which a read waits, in milliseconds; most transfers end sooner. */
const readHeartbeatMs = 20

/**
 * Sends heartbeats to the peer until the signal aborts or the term of the leader ends. Without a transfer the requests of the
 * replication task are frequent enough, and this task sends nothing.
 * @param peer - dependencies and settings of the task
 * @returns a promise that resolves when the task has ended
 */
export async function runReplicaHeartbeats (peer: ReplicaPeer): Promise<void> {
  const { state, progress, clock, signal } = peer
  const { term } = state
  let last: SentRequest = { sentAt: clock.now(), readRound: state.readRound }
  while (isLeadingPeer(peer, term)) {
    const { transfer } = progress
    const isReadPending = transfer !== undefined && state.readRound > Math.max(transfer.readRound, last.readRound)
    const intervalMs = isReadPending ? readHeartbeatMs : heartbeatMs
    const waitMs = Math.max(last.sentAt, transfer?.sentAt ?? clock.now()) + intervalMs - clock.now()
    if (transfer === undefined || waitMs > 0) {
      await state.replicationPending.wait(waitMs, signal)
      continue
    }
    last = { sentAt: clock.now(), readRound: state.readRound }
    if (!await sendHeartbeat(peer, term, last)) await clock.sleep(heartbeatMs, signal)
  }
}

async function sendHeartbeat (peer: ReplicaPeer, term: number, sentRequest: SentRequest): Promise<boolean> {
  const { state, member, progress, transport } = peer
  const response = await transport.heartbeat(member.address, {
    to: member.identity, term, leaderAddress: state.address, matchIndex: progress.matchIndex, commitIndex: state.commitIndex
  })
  if (response.isErr() || !isLeadingPeer(peer, term)) return false
  if (response.value.term > term) {
    peer.reportTerm(response.value.term)
    return false
  }
  recordAcknowledgement(peer, sentRequest)
  state.acknowledged.notify()
  return true
}
