/**
 * Leadership transfer: a leader that shuts down requests its successor to start an election at once, so that no replica has
 * to wait for an election timeout.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { votersOf } from './election.ts'
import { lastIndexOf } from './replicaLog.ts'
import type { AppendRequest, Transport } from './replicaMessages.ts'
import { ReplicaRole, type ReplicaState } from './replicaState.ts'
import type { Member } from './storage.ts'

/** Longest wait for responses of the voters other than the successor, in milliseconds; a voter may be unreachable. */
const notificationTimeoutMs = 200

/** Dependencies of a leadership transfer. */
export interface LeadershipTransfer {
  readonly state: ReplicaState
  readonly transport: Transport
  readonly clock: Clock
  /** Makes this replica a follower. */
  readonly stepDown: () => void
}

/**
 * Chooses the successor of a leader.
 * @param state - the leader
 * @returns the other voter with the highest match index, or undefined when there is no other voter
 */
export function chooseSuccessor (state: ReplicaState): Member | undefined {
  let successor: Member | undefined
  let successorMatchIndex = -1
  for (const member of votersOf(state.members)) {
    const index = state.progress.get(member.identity)?.matchIndex ?? 0
    if (member.identity === state.identity || index <= successorMatchIndex) continue
    successor = member
    successorMatchIndex = index
  }
  return successor
}

/**
 * Steps down and requests the successor to start an election at once. The successor must still win the votes, so a lost
 * or late message costs time but never safety. Does nothing on a replica that is not the leader.
 * @param transfer - dependencies of the transfer
 * @returns a promise that resolves when the successor has responded or could not be reached
 */
export async function transferLeadership (transfer: LeadershipTransfer): Promise<void> {
  const { state, transport, clock } = transfer
  const successor = chooseSuccessor(state)
  if (state.role !== ReplicaRole.Leader || successor === undefined) return
  const { term, commitIndex } = state
  const previousIndex = lastIndexOf(state)
  transfer.stepDown()

  // No entry has the term -1, so the request announces the transfer without replicating or committing anything.
  function createRequest (member: Member): AppendRequest {
    return {
      to: member.identity, term, leader: state.identity, leaderAddress: state.address, previousIndex, previousTerm: -1, entries: [], commitIndex, successor: successor?.identity
    }
  }

  // The other voters are notified first: they grant no vote until they are notified that this leader has stepped down.
  const others = votersOf(state.members).filter(member => member.identity !== state.identity && member !== successor)
  const notified = Promise.all(others.map(member => transport.append(member.address, createRequest(member))))
  await Promise.race([notified, clock.sleep(notificationTimeoutMs)])
  await transport.append(successor.address, createRequest(successor))
}
