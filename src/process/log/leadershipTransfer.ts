/**
 * Handing over the leadership of the replicated log, so that a leader that shuts down costs no election timeout.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { votersOf } from './election.ts'
import { lastIndexOf } from './replicaLog.ts'
import type { AppendRequest, Transport } from './replicaMessages.ts'
import { ReplicaRole, type ReplicaState } from './replicaState.ts'
import type { Member } from './storage.ts'

/** Longest wait for the voters other than the successor, in milliseconds; one of them may be gone. */
const notificationTimeoutMs = 200

/** What a handover needs. */
export interface LeadershipTransfer {
  readonly state: ReplicaState
  readonly transport: Transport
  readonly clock: Clock
  /** Ends the own leadership. */
  readonly stepDown: () => void
}

/**
 * Chooses who is asked to lead next.
 * @param state - the leader
 * @returns the other voter whose log reaches furthest, or undefined without another voter
 */
export function chooseSuccessor (state: ReplicaState): Member | undefined {
  let furthest: Member | undefined
  let furthestIndex = -1
  for (const member of votersOf(state.members)) {
    const index = state.progress.get(member.identity)?.matchIndex ?? 0
    if (member.identity === state.identity || index <= furthestIndex) continue
    furthest = member
    furthestIndex = index
  }
  return furthest
}

/**
 * Ends the leadership and asks the successor to campaign at once. The votes decide as in any election, so a lost or
 * late message costs time but never safety. Does nothing on a follower.
 * @param transfer - the replica
 * @returns a promise that resolves when the successor has been asked
 */
export async function transferLeadership (transfer: LeadershipTransfer): Promise<void> {
  const { state, transport, clock } = transfer
  const successor = chooseSuccessor(state)
  if (state.role !== ReplicaRole.Leader || successor === undefined) return
  const { term, commitIndex } = state
  const previousIndex = lastIndexOf(state)
  transfer.stepDown()

  function createRequest (member: Member): AppendRequest {
    return {
      to: member.identity, term, leader: state.identity, leaderAddress: state.address, previousIndex, previousTerm: -1, entries: [], commitIndex, successor: successor?.identity
    }
  }

  // The others come first: until they know that this leader has ended, they give no vote.
  const others = votersOf(state.members).filter(member => member.identity !== state.identity && member !== successor)
  const notified = Promise.all(others.map(member => transport.append(member.address, createRequest(member))))
  await Promise.race([notified, clock.sleep(notificationTimeoutMs)])
  await transport.append(successor.address, createRequest(successor))
}
