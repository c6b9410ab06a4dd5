/**
 * Changes of role and term of a replica, and the peer tasks of a leader.
 * @module
 */
import { err } from 'neverthrow'
import { runReplicaHeartbeats } from '../../connection/replicaHeartbeats.ts'
import { type ReplicaPeer, runReplicaPeer } from '../../connection/replicaPeer.ts'
import { minElectionTimeoutMs, votersOf } from './election.ts'
import type { Failure } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import { transferLeadership } from './leadershipTransfer.ts'
import { advanceCommit, createLeadershipLostFailure, hasMajorityContactSince } from './replicaCommit.ts'
import { lastIndexOf, membersIndexOf, pushEntry } from './replicaLog.ts'
import { type Progress, type ReplicaCore, ReplicaRole } from './replicaState.ts'
import { type Entry, type Member, type Payload, PayloadKind, RecordKind, type StoredRecord } from './storage.ts'

/** Why a leadership ended. */
export const LeadershipEnd = {
  NoMajority: 'no contact with a majority',
  NewerTerm: 'newer term',
  Transferred: 'leadership transferred',
  Removed: 'removed from the membership',
  StorageFailed: 'storage failed',
  DiskFull: 'disk full',
  Closed: 'replica closed'
} as const
export type LeadershipEnd = typeof LeadershipEnd[keyof typeof LeadershipEnd]

/**
 * Appends records to storage and syncs them. A failure ends the process, because the content of the file is then unknown.
 * @param core - the replica
 * @param records - the records; without any, the call waits for the syncs in progress, since the response to a repeated
 * request must not precede the sync of the first one
 * @returns whether these and all earlier records are synced
 */
export function save (core: ReplicaCore, records: readonly StoredRecord[]): Promise<boolean> {
  if (records.length > 0) core.lastSync = sync(core, records)
  return core.lastSync
}

async function sync (core: ReplicaCore, records: readonly StoredRecord[]): Promise<boolean> {
  if (core.hasStorageFailed) return false
  const saved = await core.inputs.storage.append(records)
  if (saved.isErr()) handleStorageFailure(core, saved.error)
  return saved.isOk()
}

/**
 * Steps down and ends the process because of a storage failure.
 * @param core - the replica
 * @param failure - the storage failure
 */
export function handleStorageFailure (core: ReplicaCore, failure: Failure): void {
  core.hasStorageFailed = true
  stepDown(core, LeadershipEnd.StorageFailed)
  core.inputs.lifecycle.fail(failure)
}

/**
 * Transfers the leadership to another replica, if this one leads.
 * @param core - the replica
 * @param reason - why the leadership ends
 * @returns a promise that resolves when the successor has responded or could not be reached
 */
export async function yieldLeadership (core: ReplicaCore, reason: LeadershipEnd): Promise<void> {
  const { state, inputs: { transport, clock } } = core
  await transferLeadership({ state, transport, clock, stepDown: () => stepDown(core, reason) })
}

/**
 * Enters a term. The returned record must be passed to `save` in the same turn of the event loop, and must be synced before
 * any response of this term.
 * @param core - the replica
 * @param term - the term
 * @param votedFor - identity that this replica votes for, if any
 * @returns the record
 */
export function enterTerm (core: ReplicaCore, term: number, votedFor: string | undefined): StoredRecord {
  core.state.term = term
  core.state.votedFor = votedFor
  return { kind: RecordKind.Vote, term, votedFor }
}

/**
 * Enters the term of another replica and becomes a follower, if that term is newer.
 * @param core - the replica
 * @param term - the term of the other replica
 */
export function adoptNewerTerm (core: ReplicaCore, term: number): void {
  if (term <= core.state.term) return
  save(core, [enterTerm(core, term, undefined)]).catch(() => {})
  stepDown(core, LeadershipEnd.NewerTerm)
}

/**
 * Becomes a follower. Pending proposals end with an unknown outcome.
 * @param core - the replica
 * @param reason - why the leadership ends, if this replica is the leader
 */
export function stepDown (core: ReplicaCore, reason: LeadershipEnd): void {
  const { state, peers, proposals, pendingJoins, inputs: { logger, metrics } } = core
  if (state.role === ReplicaRole.Leader) {
    logger.write(LogEvents.leaderLost, { value: state.term, reason, inputs: describeLeadership(core) })
    metrics.count(Counter.LeadershipEnds, reason)
  }
  state.role = ReplicaRole.Follower
  state.leaderAddress = undefined
  for (const controller of peers.values()) controller.abort()
  peers.clear()
  pendingJoins.clear()
  for (const proposal of proposals.takeAll()) proposal.settle(err(createLeadershipLostFailure(state)))
  state.acknowledged.notify()
  state.changed.notify()
}

// What the majority check depends on: for each voter the time since the last request that it answered was sent.
function describeLeadership ({ state, proposals, inputs: { clock } }: ReplicaCore): Record<string, number> {
  const now = clock.now()
  const inputs: Record<string, number> = { leaderMs: Math.round(now - state.leaderSince), lastIndex: lastIndexOf(state), commitIndex: state.commitIndex, proposals: proposals.size }
  for (const { identity, address } of votersOf(state.members)) {
    const progress = state.progress.get(identity)
    if (progress === undefined) continue
    inputs[`silentMs ${address}`] = Math.round(Math.min(now - progress.acknowledgedAt, now - state.leaderSince))
    inputs[`behind ${address}`] = lastIndexOf(state) - progress.matchIndex
  }
  return inputs
}

/**
 * Becomes leader of the current term.
 * @param core - the replica
 */
export function becomeLeader (core: ReplicaCore): void {
  const { state } = core
  state.role = ReplicaRole.Leader
  state.leaderAddress = state.address
  state.leaderSince = core.inputs.clock.now()
  state.progress.clear()
  // The vote for itself was synced after all entries of the log, so these are synced too.
  state.syncedIndex = lastIndexOf(state)
  core.inputs.logger.write(LogEvents.leaderElected, { value: state.term })
  state.termStartIndex = appendEntry(core, { kind: PayloadKind.NoOp }).index
  updatePeers(core)
  state.changed.notify()
}

/**
 * Steps down if there was no contact with a majority for the shortest election timeout. It is also called before decisions
 * that need the leadership, since a process that was suspended may handle a request before its timers run.
 * @param core - the replica
 * @returns whether this replica is the leader
 */
export function checkLeadership (core: ReplicaCore): boolean {
  const { state } = core
  if (state.role !== ReplicaRole.Leader) return false
  const now = core.inputs.clock.now()
  if (now - state.leaderSince <= minElectionTimeoutMs || hasMajorityContactSince(state, now - minElectionTimeoutMs)) return true
  stepDown(core, LeadershipEnd.NoMajority)
  return false
}

/**
 * Appends an entry to the log of the leader and starts its replication.
 * @param core - the leader
 * @param payload - payload of the entry
 * @returns the entry, which is not synced yet
 */
export function appendEntry (core: ReplicaCore, payload: Payload): Entry {
  const { state } = core
  const entry: Entry = { index: lastIndexOf(state) + 1, term: state.term, payload }
  pushEntry(state, entry)
  if (payload.kind === PayloadKind.Members) adoptMembers(core, payload.members)
  core.inputs.metrics.count(Counter.LogEntries, payload.kind)
  save(core, [{ kind: RecordKind.Entry, entry }]).then(isSaved => {
    if (!isSaved || state.role !== ReplicaRole.Leader || state.term !== entry.term) return
    state.syncedIndex = Math.max(state.syncedIndex, entry.index)
    handleMatchProgress(core)
  }).catch(() => {})
  state.replicationPending.notify()
  return entry
}

/**
 * Adopts a membership, which is active as soon as its entry is in the log, committed or not.
 * @param core - the replica
 * @param members - the members
 */
export function adoptMembers (core: ReplicaCore, members: readonly Member[]): void {
  core.state.members = members
  core.inputs.logger.write(LogEvents.membersChanged, { detail: members.map(member => `${member.address} ${member.standing}`).join(', ') })
  if (core.state.role === ReplicaRole.Leader) updatePeers(core)
}

function updatePeers (core: ReplicaCore): void {
  const { state, peers } = core
  for (const [identity, controller] of peers) {
    if (state.members.some(member => member.identity === identity)) continue
    controller.abort()
    peers.delete(identity)
    state.progress.delete(identity)
  }
  for (const member of state.members) {
    if (member.identity !== state.identity && !peers.has(member.identity)) startPeer(core, member)
  }
}

function startPeer (core: ReplicaCore, member: Member): void {
  const { state, peers, inputs } = core
  const controller = new AbortController()
  const lastIndex = lastIndexOf(state)
  const progress: Progress = {
    nextIndex: lastIndex + 1,
    matchIndex: 0,
    acknowledgedAt: -Infinity,
    transfer: undefined,
    isRestoring: false,
    sentSnapshotIndex: undefined,
    confirmedReadRound: 0,
    catchUpTargetIndex: lastIndex,
    catchUpStartedAt: inputs.clock.now(),
    caughtUpAt: -Infinity
  }
  peers.set(member.identity, controller)
  state.progress.set(member.identity, progress)
  const createPeer = (signal: AbortSignal): ReplicaPeer => ({
    state,
    member,
    progress,
    transport: inputs.transport,
    storage: inputs.storage,
    clock: inputs.clock,
    logger: inputs.logger,
    metrics: inputs.metrics,
    reportTerm: term => adoptNewerTerm(core, term),
    reportMatch: () => handleMatchProgress(core),
    signal: AbortSignal.any([signal, controller.signal])
  })
  inputs.lifecycle.run(signal => runReplicaPeer(createPeer(signal)))
  inputs.lifecycle.run(signal => runReplicaHeartbeats(createPeer(signal)))
}

function handleMatchProgress (core: ReplicaCore): void {
  const { state } = core
  advanceCommit(core)
  if (state.role !== ReplicaRole.Leader || state.members.some(member => member.identity === state.identity)) return
  // A leader that is removed from the membership steps down only once its removal is committed.
  if (state.commitIndex >= membersIndexOf(state)) stepDown(core, LeadershipEnd.Removed)
}
