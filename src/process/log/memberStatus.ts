/**
 * Status of the members of the replicated log, as reported to operators.
 * @module
 */
import { lastIndexOf } from './replicaLog.ts'
import { ReplicaRole, type ReplicaState } from './replicaState.ts'
import type { Member } from './storage.ts'

/** A member and its replication progress, which is available only on the leader. */
export interface MemberStatus extends Member {
  readonly isLeader: boolean
  /** Highest index known to be synced by the member. */
  readonly matchIndex: number | undefined
  /** Number of entries of the leader's log after that index. */
  readonly behind: number | undefined
  /** Milliseconds since the leader sent the last request that the member responded to. */
  readonly silentMs: number | undefined
}

/**
 * Reports the status of the members.
 * @param state - the replica
 * @param now - monotonic time, in milliseconds
 * @returns one item for each member
 */
export function describeMembers (state: ReplicaState, now: number): MemberStatus[] {
  return state.members.map(member => ({
    ...member,
    isLeader: member.address === state.leaderAddress,
    ...describeProgress(state, member, now)
  }))
}

function describeProgress (state: ReplicaState, member: Member, now: number): Pick<MemberStatus, 'matchIndex' | 'behind' | 'silentMs'> {
  const isSelf = member.identity === state.identity
  const progress = state.progress.get(member.identity)
  if (state.role !== ReplicaRole.Leader || (!isSelf && progress === undefined)) return { matchIndex: undefined, behind: undefined, silentMs: undefined }
  const matchIndex = isSelf ? state.syncedIndex : progress?.matchIndex ?? 0
  const lastContactAt = isSelf ? now : progress?.acknowledgedAt ?? -Infinity
  const silentMs = lastContactAt === -Infinity ? undefined : Math.round(now - lastContactAt)
  return { matchIndex, behind: lastIndexOf(state) - matchIndex, silentMs }
}
