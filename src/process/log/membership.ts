/**
 * Decision functions of membership changes. Each change adds, removes or promotes one member.
 * @module
 */
import { maxElectionTimeoutMs, votersOf } from './election.ts'
import { type Member, Standing } from './storage.ts'

/** Maximum number of members, including learners. */
export const maxMembers = 7

/**
 * Longest time by which the log of a learner that is promoted may be behind, in milliseconds: two requests of which each takes as long as the
 * longest election timeout. A voter that is further behind would delay commits when others are lost; a learner that is never promoted
 * leaves the group without a majority.
 */
export const maxLearnerLagMs = 2 * maxElectionTimeoutMs

/** Kinds of change. */
export const ChangeKind = {
  /** Removes an identity whose host has returned with another one. */
  RemoveReplaced: 'remove',
  /** Removes a member that does not respond. */
  RemoveUnresponsive: 'drop',
  Add: 'add',
  Promote: 'promote'
} as const
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind]

/** A change of the membership by one member. */
export interface MembershipChange {
  readonly kind: ChangeKind
  /** The member as it is before the change; for an addition the new member. */
  readonly member: Member
}

/** A host that requests to join. */
export type JoiningHost = Pick<Member, 'identity' | 'address' | 'availabilityZone'>

/** State that a decision depends on. */
export interface MembershipView {
  /** Identity of the leader. */
  readonly self: string
  readonly members: readonly Member[]
  readonly joiningHosts: readonly JoiningHost[]
  /** Identities of the learners that are caught up and respond. */
  readonly ready: ReadonlySet<string>
  /** Identities of the members that have not responded within the contact timeout. */
  readonly silent: ReadonlySet<string>
  /** Target number of voters. */
  readonly voters: number
}

/**
 * Decides on the next change. The old identity of a host is removed before its new one is added, and a learner is promoted
 * only once it is caught up.
 * @param view - state that the decision depends on
 * @returns the change, or undefined when none is necessary
 */
export function decideChange (view: MembershipView): MembershipChange | undefined {
  const { members, self } = view
  const learner = members.find(member => member.standing === Standing.Learner && view.ready.has(member.identity))
  const isVoterMissing = votersOf(members).length < view.voters
  // Before further identities are removed, so that the loss of several disks leaves as many voters as possible.
  if (isVoterMissing && learner !== undefined) return { kind: ChangeKind.Promote, member: learner }
  for (const host of view.joiningHosts) {
    const known = members.find(member => member.address === host.address)
    if (known?.identity === host.identity) continue
    if (known !== undefined) {
      if (known.identity === self || isLastVoter(members, known)) continue
      return { kind: ChangeKind.RemoveReplaced, member: known }
    }
    if (members.length >= maxMembers) continue
    const { identity, address, availabilityZone } = host
    return { kind: ChangeKind.Add, member: { identity, address, availabilityZone, standing: Standing.Learner } }
  }
  if (isVoterMissing) return undefined
  const unresponsive = members.find(member => view.silent.has(member.identity) && member.identity !== self)
  if (unresponsive === undefined) return undefined
  // An unresponsive voter is removed only if a learner is ready to replace it; an unresponsive learner only if the
  // membership is full.
  const isReplaceable = unresponsive.standing === Standing.Voter ? learner !== undefined : members.length >= maxMembers
  return isReplaceable ? { kind: ChangeKind.RemoveUnresponsive, member: unresponsive } : undefined
}

function isLastVoter (members: readonly Member[], member: Member): boolean {
  return member.standing === Standing.Voter && votersOf(members).length === 1
}

/**
 * Applies a change.
 * @param members - the members before it
 * @param change - the change
 * @returns the members after it
 */
export function changeMembers (members: readonly Member[], change: MembershipChange): Member[] {
  const others = members.filter(member => member.identity !== change.member.identity)
  switch (change.kind) {
    case ChangeKind.RemoveReplaced: return others
    case ChangeKind.RemoveUnresponsive: return others
    case ChangeKind.Add: return [...others, change.member]
    case ChangeKind.Promote: return [...others, { ...change.member, standing: Standing.Voter }]
  }
}
