/**
 * Taking and losing leadership, and the tasks for the other replicas.
 * @module
 */
import { err } from 'neverthrow'
import { runReplicaPeer } from '../../connection/replicaPeer.ts'
import { minElectionTimeoutMs } from './election.ts'
import type { Failure } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import { advanceCommit, isMajorityHeardSince, leadershipLost } from './replicaCommit.ts'
import { lastIndexOf, membersIndexOf, pushEntry } from './replicaLog.ts'
import { type Progress, type ReplicaCore, ReplicaRole } from './replicaState.ts'
import { type Entry, type Member, type Payload, PayloadKind, RecordKind, type StoredRecord } from './storage.ts'

/**
 * Syncs records; a failure ends the process, because what the file holds is then not known.
 * @param core - the replica
 * @param records - the records; without any, the call waits for the syncs under way, since an answer to a repeated
 * request must not go before the sync of the first one
 * @returns whether they and all earlier ones are synced
 */
export function save (core: ReplicaCore, records: readonly StoredRecord[]): Promise<boolean> {
  if (records.length > 0) core.saving = sync(core, records)
  return core.saving
}

async function sync (core: ReplicaCore, records: readonly StoredRecord[]): Promise<boolean> {
  if (core.isStorageFailed) return false
  const saved = await core.inputs.storage.append(records)
  if (saved.isErr()) failStorage(core, saved.error)
  return saved.isOk()
}

/**
 * Ends the process because of its storage.
 * @param core - the replica
 * @param failure - what failed
 */
export function failStorage (core: ReplicaCore, failure: Failure): void {
  core.isStorageFailed = true
  stepDown(core)
  core.inputs.lifecycle.fail(failure)
}

/**
 * Enters a term. The record must be passed to `save` in the same turn, before anything is answered under the term.
 * @param core - the replica
 * @param term - the term
 * @param votedFor - identity voted for, if any
 * @returns the record
 */
export function enterTerm (core: ReplicaCore, term: number, votedFor: string | undefined): StoredRecord {
  core.state.term = term
  core.state.votedFor = votedFor
  return { kind: RecordKind.Vote, term, votedFor }
}

/**
 * Enters a newer term that another replica reported.
 * @param core - the replica
 * @param term - the term
 */
export function reportTerm (core: ReplicaCore, term: number): void {
  if (term <= core.state.term) return
  save(core, [enterTerm(core, term, undefined)]).catch(() => {})
  stepDown(core)
}

/**
 * Becomes a follower. Waiting commands end with an unknown outcome.
 * @param core - the replica
 */
export function stepDown (core: ReplicaCore): void {
  const { state, peers, proposals, candidates } = core
  if (state.role === ReplicaRole.Leader) core.inputs.logger.write(LogEvents.leaderLost, { value: state.term })
  state.role = ReplicaRole.Follower
  state.leaderAddress = undefined
  for (const controller of peers.values()) controller.abort()
  peers.clear()
  candidates.clear()
  const waiting = [...proposals.values()]
  proposals.clear()
  for (const proposal of waiting) proposal.settle(err(leadershipLost(state)))
  state.acknowledged.notify()
  state.changed.notify()
}

/**
 * Becomes leader of the present term.
 * @param core - the replica
 */
export function becomeLeader (core: ReplicaCore): void {
  const { state } = core
  state.role = ReplicaRole.Leader
  state.leaderAddress = state.address
  state.ledSince = core.inputs.clock.now()
  state.progress.clear()
  // The vote for itself was synced after every entry of the log.
  state.syncedIndex = lastIndexOf(state)
  core.inputs.logger.write(LogEvents.leaderElected, { value: state.term })
  state.termStartIndex = appendEntry(core, { kind: PayloadKind.NoOp }).index
  adjustPeers(core)
  state.changed.notify()
}

/**
 * Steps down when no majority was heard for an election timeout. Called before a decision too, since a process that was
 * frozen may take a request before its timers run.
 * @param core - the replica
 * @returns whether this replica leads
 */
export function checkLeadership (core: ReplicaCore): boolean {
  const { state } = core
  if (state.role !== ReplicaRole.Leader) return false
  const now = core.inputs.clock.now()
  if (now - state.ledSince <= minElectionTimeoutMs || isMajorityHeardSince(state, now - minElectionTimeoutMs)) return true
  stepDown(core)
  return false
}

/**
 * Appends an entry to the own log and sends it to the others.
 * @param core - the leader
 * @param payload - what the entry carries
 * @returns the entry, which is not yet synced
 */
export function appendEntry (core: ReplicaCore, payload: Payload): Entry {
  const { state } = core
  const entry: Entry = { index: lastIndexOf(state) + 1, term: state.term, payload }
  pushEntry(state, entry)
  if (payload.kind === PayloadKind.Members) adoptMembers(core, payload.members)
  core.inputs.metrics.count(Counter.LogEntries, payload.kind)
  save(core, [{ kind: RecordKind.Entry, entry }]).then(saved => {
    if (!saved || state.role !== ReplicaRole.Leader || state.term !== entry.term) return
    state.syncedIndex = Math.max(state.syncedIndex, entry.index)
    advance(core)
  }).catch(() => {})
  state.replicationPending.notify()
  return entry
}

/**
 * Takes a membership, which is in effect from the moment it is in the log.
 * @param core - the replica
 * @param members - the members
 */
export function adoptMembers (core: ReplicaCore, members: readonly Member[]): void {
  core.state.members = members
  core.inputs.logger.write(LogEvents.membersChanged, { detail: members.map(member => `${member.address} ${member.standing}`).join(', ') })
  if (core.state.role === ReplicaRole.Leader) adjustPeers(core)
}

function adjustPeers (core: ReplicaCore): void {
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
    confirmedReadRound: 0,
    catchUpTargetIndex: lastIndex,
    catchUpStartedAt: inputs.clock.now(),
    isCaughtUp: false
  }
  peers.set(member.identity, controller)
  state.progress.set(member.identity, progress)
  inputs.lifecycle.run(signal => runReplicaPeer({
    state,
    member,
    progress,
    transport: inputs.transport,
    storage: inputs.storage,
    clock: inputs.clock,
    reportTerm: term => reportTerm(core, term),
    reportMatch: () => advance(core),
    signal: AbortSignal.any([signal, controller.signal])
  }))
}

function advance (core: ReplicaCore): void {
  const { state } = core
  advanceCommit(core)
  if (state.role !== ReplicaRole.Leader || state.members.some(member => member.identity === state.identity)) return
  // A leader that its own change has removed leads until that change is committed.
  if (state.commitIndex >= membersIndexOf(state)) stepDown(core)
}
