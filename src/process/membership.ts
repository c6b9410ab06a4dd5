/**
 * Decisions about the membership. Each change adds, removes or promotes one member.
 * @module
 */
import { type Member, Standing } from './storage.ts'

/** Most members, learners included. */
export const membersLimit = 7

/** Kinds of change. */
export const ChangeKind = { Remove: 'remove', Add: 'add', Promote: 'promote' } as const
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
  readonly newcomers: readonly Newcomer[]
  /** Identities of the learners that are caught up and answer. */
  readonly ready: ReadonlySet<string>
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
  for (const newcomer of view.newcomers) {
    const known = members.find(member => member.address === newcomer.address)
    if (known?.identity === newcomer.identity) continue
    if (known !== undefined) {
      if (known.identity === self || isLastVoter(members, known)) continue
      return { kind: ChangeKind.Remove, member: known }
    }
    if (members.length >= membersLimit) continue
    const { identity, address, availabilityZone } = newcomer
    return { kind: ChangeKind.Add, member: { identity, address, availabilityZone, standing: Standing.Learner } }
  }
  if (votersIn(members).length >= view.voters) return undefined
  const learner = members.find(member => member.standing === Standing.Learner && view.ready.has(member.identity))
  return learner === undefined ? undefined : { kind: ChangeKind.Promote, member: learner }
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
    case ChangeKind.Remove: return others
    case ChangeKind.Add: return [...others, change.member]
    case ChangeKind.Promote: return [...others, { ...change.member, standing: Standing.Voter }]
  }
}
