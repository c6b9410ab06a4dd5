/**
 * Decisions about the membership. Each change adds, removes or promotes one member.
 * @module
 */
import { type Member, Standing } from './storage.ts'

/** Most members, learners included. */
export const maxMembers = 7

/** Kinds of change. */
export const ChangeKind = {
  /** Removes a lost identity whose host came back with another one. */
  RemoveReplaced: 'remove',
  /** Removes a member that does not answer. */
  RemoveUnresponsive: 'drop',
  Add: 'add',
  Promote: 'promote'
} as const
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind]

/** A change of the membership by one member. */
export interface MembershipChange {
  readonly kind: ChangeKind
  /** The member as it is, or as it will be when it is added. */
  readonly member: Member
}

/** A host that asks to be a member. */
export type Newcomer = Pick<Member, 'identity' | 'address' | 'availabilityZone'>

/** What a decision depends on. */
export interface MembershipView {
  /** Identity of the leader. */
  readonly self: string
  readonly members: readonly Member[]
  readonly joiningHosts: readonly Newcomer[]
  /** Identities of the learners that are caught up and answer. */
  readonly ready: ReadonlySet<string>
  /** Identities of the members that have not answered for long. */
  readonly silent: ReadonlySet<string>
  /** How many voters there should be. */
  readonly voters: number
}

/**
 * Decides on the next change: a lost identity is removed before the new one of its host is added, and a learner is
 * promoted only when it is caught up.
 * @param view - what the decision depends on
 * @returns the change, or undefined when nothing is to be changed
 */
export function decideChange (view: MembershipView): MembershipChange | undefined {
  const { members, self } = view
  for (const newcomer of view.joiningHosts) {
    const known = members.find(member => member.address === newcomer.address)
    if (known?.identity === newcomer.identity) continue
    if (known !== undefined) {
      if (known.identity === self || isLastVoter(members, known)) continue
      return { kind: ChangeKind.RemoveReplaced, member: known }
    }
    if (members.length >= maxMembers) continue
    const { identity, address, availabilityZone } = newcomer
    return { kind: ChangeKind.Add, member: { identity, address, availabilityZone, standing: Standing.Learner } }
  }
  const learner = members.find(member => member.standing === Standing.Learner && view.ready.has(member.identity))
  if (votersIn(members).length < view.voters) return learner === undefined ? undefined : { kind: ChangeKind.Promote, member: learner }
  const silent = members.find(member => view.silent.has(member.identity) && member.identity !== self)
  if (silent === undefined) return undefined
  // A silent voter makes room only for a learner that is ready; a silent learner only when the list is full.
  const isReplaceable = silent.standing === Standing.Voter ? learner !== undefined : members.length >= maxMembers
  return isReplaceable ? { kind: ChangeKind.RemoveUnresponsive, member: silent } : undefined
}

function votersIn (members: readonly Member[]): Member[] {
  return members.filter(member => member.standing === Standing.Voter)
}

function isLastVoter (members: readonly Member[], member: Member): boolean {
  return member.standing === Standing.Voter && votersIn(members).length === 1
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
