/**
 * The task of a leader that changes the membership, and requests to join.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { minElectionTimeoutMs } from './election.ts'
import { type Failure, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { ChangeKind, changeMembers, decideChange, type MembershipChange, maxMembers } from './membership.ts'
import { appendEntry, checkLeadership } from './replicaLeadership.ts'
import { membersIndexOf } from './replicaLog.ts'
import type { JoinResponse, JoinRequest } from './replicaMessages.ts'
import { notLeader, type ReplicaCore, ReplicaRole, type ReplicaState } from './replicaState.ts'
import { PayloadKind, Standing } from './storage.ts'

/** How long a request to join counts, in milliseconds. Hosts ask again every second. */
const candidateLimitMs = 5_000

/** How long a member may be silent before another one takes its place, in milliseconds; a restart takes about one second. */
const silenceMs = 2_000

/** How often the task looks for a change, in milliseconds. */
const lookMs = 200

/**
 * Takes a request to join.
 * @param core - the replica
 * @param request - the host that asks
 * @returns whether it will be added, or a failure that names the leader
 */
export function handleJoin (core: ReplicaCore, request: JoinRequest): Result<JoinResponse, Failure> {
  const { state, candidates, inputs: { clock, logger } } = core
  if (!checkLeadership(core)) return err(notLeader(state, Step.Bootstrap))
  if (state.members.some(member => member.identity === request.identity)) return ok({ accepted: true })
  const isKnownAddress = state.members.some(member => member.address === request.address)
  const isFull = !isKnownAddress && state.members.length >= maxMembers
  if (isFull || request.address === state.address) {
    logger.write(LogEvents.joinRefused, { peer: request.address })
    return ok({ accepted: false })
  }
  const { identity, address, availabilityZone } = request
  if (!candidates.has(address) && candidates.size >= maxMembers) return ok({ accepted: false })
  candidates.set(address, { identity, address, availabilityZone, askedAt: clock.now() })
  core.joinAsked.notify()
  return ok({ accepted: true })
}

/**
 * Runs until the signal aborts; changes the membership while this replica leads.
 * @param core - the replica
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runMembership (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await core.joinAsked.wait(lookMs, signal)
    if (signal.aborted || core.state.role !== ReplicaRole.Leader) continue
    expireCandidates(core)
    const change = nextChange(core)
    if (change === undefined) continue
    if (change.kind === ChangeKind.RemoveReplaced && !await isReplaced(core, change)) continue
    await makeChange(core, change, signal)
  }
}

function expireCandidates ({ candidates, inputs: { clock } }: ReplicaCore): void {
  for (const candidate of candidates.values()) {
    if (clock.now() - candidate.askedAt > candidateLimitMs) candidates.delete(candidate.address)
  }
}

function nextChange (core: ReplicaCore): MembershipChange | undefined {
  const { state, inputs } = core
  if (!canChangeMembers(state)) return undefined
  return decideChange({
    self: state.identity,
    members: state.members,
    joiningHosts: [...core.candidates.values()],
    ready: readyLearners(core),
    silent: silentMembers(core),
    voters: inputs.voters
  })
}

/**
 * Decides whether a change may begin: one at a time, and none before the leader has committed an entry of its own term.
 * Two memberships that differ by more than one member could have majorities without a common voter.
 * @param state - the replica
 * @returns whether it may
 */
export function canChangeMembers (state: ReplicaState): boolean {
  if (state.role !== ReplicaRole.Leader || state.commitIndex < state.termStartIndex) return false
  return membersIndexOf(state) <= state.commitIndex
}

function readyLearners ({ state, inputs: { clock } }: ReplicaCore): Set<string> {
  const ready = new Set<string>()
  for (const member of state.members) {
    const progress = state.progress.get(member.identity)
    if (member.standing !== Standing.Learner || progress === undefined) continue
    if (progress.isCaughtUp && clock.now() - progress.acknowledgedAt < minElectionTimeoutMs) ready.add(member.identity)
  }
  return ready
}

function silentMembers ({ state, inputs: { clock } }: ReplicaCore): Set<string> {
  const silent = new Set<string>()
  const now = clock.now()
  if (now - state.ledSince < silenceMs) return silent
  for (const member of state.members) {
    const progress = state.progress.get(member.identity)
    if (progress !== undefined && now - progress.acknowledgedAt > silenceMs) silent.add(member.identity)
  }
  return silent
}

// A request to join is not believed alone: the address itself must answer with the new identity.
async function isReplaced (core: ReplicaCore, change: MembershipChange): Promise<boolean> {
  const { address } = change.member
  const { term } = core.state
  const found = await core.inputs.transport.identify(address)
  const candidate = core.candidates.get(address)
  if (core.state.term !== term || !canChangeMembers(core.state)) return false
  return found.isOk() && found.value.identity === candidate?.identity && found.value.identity !== change.member.identity
}

async function makeChange (core: ReplicaCore, change: MembershipChange, signal: AbortSignal): Promise<void> {
  const { state, inputs: { logger } } = core
  const { term } = state
  const { identity, address } = change.member
  const entry = appendEntry(core, { kind: PayloadKind.Members, members: changeMembers(state.members, change) })
  if (change.kind === ChangeKind.Add) core.candidates.delete(address)
  const isLeading = (): boolean => state.role === ReplicaRole.Leader && state.term === term && !signal.aborted
  while (isLeading() && state.commitIndex < entry.index) await state.acknowledged.wait(lookMs, signal)
  if (change.kind !== ChangeKind.Promote) return
  // The repair is reported when the new voter itself holds the entry that made it one.
  while (isLeading() && (state.progress.get(identity)?.matchIndex ?? 0) < entry.index) await state.acknowledged.wait(lookMs, signal)
  if (isLeading()) logger.write(LogEvents.memberPromoted, { peer: address, detail: identity, value: entry.index })
}
