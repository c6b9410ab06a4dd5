/**
 * Handling of join requests, and the task of a leader that changes the membership.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { maxElectionTimeoutMs, minElectionTimeoutMs } from './election.ts'
import { type Failure, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { ChangeKind, changeMembers, decideChange, maxLearnerLagMs, maxMembers, type MembershipChange } from './membership.ts'
import { appendEntry, checkLeadership } from './replicaLeadership.ts'
import { membersIndexOf } from './replicaLog.ts'
import type { JoinRequest, JoinResponse } from './replicaMessages.ts'
import { createNotLeaderFailure, type ReplicaCore, ReplicaRole, type ReplicaState } from './replicaState.ts'
import { PayloadKind, Standing } from './storage.ts'

/** Time after which a join request expires, in milliseconds. Hosts repeat the request every second. */
const pendingJoinTimeoutMs = 5_000

/** Time without a response after which a member may be replaced, in milliseconds; a restart takes about one second. */
const contactTimeoutMs = 2_000

/** Interval at which the task checks for a change without a notification, in milliseconds. */
const checkIntervalMs = 200

/** A promotion that is not logged yet. */
interface Promotion {
  readonly identity: string
  readonly address: string
  /** Index of the entry that promoted the member. */
  readonly index: number
  /** Term of the leader that promoted it. */
  readonly term: number
}

/**
 * Handles a join request.
 * @param core - the replica
 * @param request - the request
 * @returns whether the host will be added, or a failure that names the leader
 */
export function handleJoin (core: ReplicaCore, request: JoinRequest): Result<JoinResponse, Failure> {
  const { state, pendingJoins, inputs: { clock, logger } } = core
  if (!checkLeadership(core)) return err(createNotLeaderFailure(state, Step.Bootstrap))
  if (state.members.some(member => member.identity === request.identity)) return ok({ accepted: true })
  const isKnownAddress = state.members.some(member => member.address === request.address)
  const isFull = !isKnownAddress && state.members.length >= maxMembers
  if (isFull || request.address === state.address) {
    logger.write(LogEvents.joinRefused, { peer: request.address })
    return ok({ accepted: false })
  }
  const { identity, address, availabilityZone } = request
  if (!pendingJoins.has(address) && pendingJoins.size >= maxMembers) return ok({ accepted: false })
  pendingJoins.set(address, { identity, address, availabilityZone, requestedAt: clock.now() })
  core.membershipPending.notify()
  return ok({ accepted: true })
}

/**
 * Changes the membership while this replica is the leader, until the signal aborts.
 * @param core - the replica
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runMembership (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  let promotions: Promotion[] = []
  while (!signal.aborted) {
    await core.membershipPending.wait(checkIntervalMs, signal)
    promotions = logPromotions(core, promotions)
    if (signal.aborted || core.state.role !== ReplicaRole.Leader) continue
    expirePendingJoins(core)
    const change = nextChange(core)
    if (change === undefined) continue
    if (change.kind === ChangeKind.RemoveReplaced && !await isReplaced(core, change)) {
      // The host repeats its request. One that does not answer, or has yet another identity, must not delay the changes of others.
      core.pendingJoins.delete(change.member.address)
      continue
    }
    startChange(core, change, promotions)
  }
}

function expirePendingJoins ({ pendingJoins, inputs: { clock } }: ReplicaCore): void {
  for (const pendingJoin of pendingJoins.values()) {
    if (clock.now() - pendingJoin.requestedAt > pendingJoinTimeoutMs) pendingJoins.delete(pendingJoin.address)
  }
}

function nextChange (core: ReplicaCore): MembershipChange | undefined {
  const { state, inputs } = core
  if (!canChangeMembers(state)) return undefined
  return decideChange({
    self: state.identity,
    members: state.members,
    joiningHosts: [...core.pendingJoins.values()],
    ready: readyLearners(core),
    silent: unresponsiveMembers(core),
    voters: inputs.voters
  })
}

/**
 * Checks whether a membership change may start: there is one at a time, and none before the leader has committed an entry
 * of its own term. Majorities of two memberships that differ by more than one member might have no voter in common.
 * @param state - the replica
 * @returns whether it may start
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
    const now = clock.now()
    if (now - progress.acknowledgedAt >= minElectionTimeoutMs || now - progress.caughtUpAt >= maxLearnerLagMs) continue
    // It responds to heartbeats, but a request with entries has not arrived.
    if (progress.transfer !== undefined && now - progress.transfer.sentAt >= maxElectionTimeoutMs) continue
    ready.add(member.identity)
  }
  return ready
}

function unresponsiveMembers ({ state, inputs: { clock } }: ReplicaCore): Set<string> {
  const unresponsive = new Set<string>()
  const now = clock.now()
  if (now - state.leaderSince < contactTimeoutMs) return unresponsive
  for (const member of state.members) {
    const progress = state.progress.get(member.identity)
    if (progress !== undefined && now - progress.acknowledgedAt > contactTimeoutMs) unresponsive.add(member.identity)
  }
  return unresponsive
}

// Before an identity is removed because of a join request, the new identity is verified by a query to the address itself.
async function isReplaced (core: ReplicaCore, change: MembershipChange): Promise<boolean> {
  const { address } = change.member
  const { term } = core.state
  const identification = await core.inputs.transport.identify(address)
  const pendingJoin = core.pendingJoins.get(address)
  if (core.state.term !== term || !canChangeMembers(core.state)) return false
  return identification.isOk() && identification.value.identity === pendingJoin?.identity && identification.value.identity !== change.member.identity
}

// The change is committed, or undone by another leader, without this task: the next change waits for it (`canChangeMembers`).
function startChange (core: ReplicaCore, change: MembershipChange, promotions: Promotion[]): void {
  const { state } = core
  const { identity, address } = change.member
  const { index } = appendEntry(core, { kind: PayloadKind.Members, members: changeMembers(state.members, change) })
  if (change.kind === ChangeKind.Add) core.pendingJoins.delete(address)
  if (change.kind === ChangeKind.Promote) promotions.push({ identity, address, index, term: state.term })
}

// A promotion is logged once the new voter itself has synced the entry that promoted it. A member that has lost its disk
// never does, so nothing waits for it.
function logPromotions ({ state, inputs: { logger } }: ReplicaCore, promotions: readonly Promotion[]): Promotion[] {
  const unlogged: Promotion[] = []
  for (const promotion of promotions) {
    const { identity, address, index, term } = promotion
    const progress = state.progress.get(identity)
    if (state.role !== ReplicaRole.Leader || state.term !== term || progress === undefined) continue
    if (progress.matchIndex >= index && state.commitIndex >= index) logger.write(LogEvents.memberPromoted, { peer: address, detail: identity, value: index })
    else unlogged.push(promotion)
  }
  return unlogged
}
