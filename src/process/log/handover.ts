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
const tellLimitMs = 200

/** What a handover needs. */
export interface Handover {
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
  let best: Member | undefined
  let bestIndex = -1
  for (const member of votersOf(state.members)) {
    const index = state.progress.get(member.identity)?.matchIndex ?? 0
    if (member.identity === state.identity || index <= bestIndex) continue
    best = member
    bestIndex = index
  }
  return best
}

/**
 * Ends the leadership and asks the successor to campaign at once. The votes decide as in any election, so a lost or
 * late message costs time but never safety. Does nothing on a follower.
 * @param handover - the replica
 * @returns a promise that resolves when the successor has been asked
 */
export async function handOver (handover: Handover): Promise<void> {
  const { state, transport, clock } = handover
  const successor = chooseSuccessor(state)
  if (state.role !== ReplicaRole.Leader || successor === undefined) return
  const { term, commitIndex } = state
  const previousIndex = lastIndexOf(state)
  handover.stepDown()

  function requestTo (member: Member): AppendRequest {
    return {
      to: member.identity, term, leader: state.identity, leaderAddress: state.address, previousIndex, previousTerm: -1, entries: [], commitIndex, successor: successor?.identity
    }
  }

  // The others come first: until they know that this leader has ended, they give no vote.
  const others = votersOf(state.members).filter(member => member.identity !== state.identity && member !== successor)
  const told = Promise.all(others.map(member => transport.append(member.address, requestTo(member))))
  await Promise.race([told, clock.sleep(tellLimitMs)])
  await transport.append(successor.address, requestTo(successor))
}
