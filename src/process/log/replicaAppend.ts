/**
 * Handling of append requests by a follower: entries, heartbeats and the start of a leadership transfer.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { assert } from '../program/assert.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { commit } from './replicaCommit.ts'
import { campaign } from './replicaElection.ts'
import { adoptMembers, enterTerm, LeadershipEnd, save, stepDown } from './replicaLeadership.ts'
import { lastIndexOf, membersAt, pushEntry, termAt, truncateFrom } from './replicaLog.ts'
import type { AppendRequest, AppendResponse } from './replicaMessages.ts'
import { createDiskFullFailure, createStorageFailure, createWrongIdentityFailure, type ReplicaCore, ReplicaRole, type ReplicaState } from './replicaState.ts'
import { type Entry, PayloadKind, RecordKind, type StoredRecord } from './storage.ts'

/** Fields of every request of a leader that identify its leadership. */
export interface LeaderMessage {
  readonly term: number
  readonly leaderAddress: string
}

/**
 * Becomes or remains a follower of the sender of a message.
 * @param core - the replica
 * @param message - a message of the current or a newer term
 * @returns the record of the newer term, if any, which must be passed to `save` in the same turn of the event loop
 */
export function followLeader (core: ReplicaCore, message: LeaderMessage): StoredRecord[] {
  const { state } = core
  assert(state.role !== ReplicaRole.Leader || message.term > state.term, `there are two leaders in term ${message.term}`)
  const records = message.term > state.term ? [enterTerm(core, message.term, undefined)] : []
  if (state.role !== ReplicaRole.Follower) stepDown(core, LeadershipEnd.NewerTerm)
  state.lastContactAt = core.inputs.clock.now()
  state.leaderAddress = message.leaderAddress
  return records
}

/**
 * Handles an append request. The response follows the sync of the changes that the request made.
 * @param core - the replica
 * @param request - the request
 * @returns the response, or a failure
 */
export async function handleAppend (core: ReplicaCore, request: AppendRequest): Promise<Result<AppendResponse, Failure>> {
  const { state } = core
  if (request.to !== state.identity) return err(createWrongIdentityFailure(state, Step.Append, request.to))
  if (request.term < state.term) return ok(createRejection(state, lastIndexOf(state)))
  if (!core.inputs.storage.hasSpace) return err(createDiskFullFailure(state, Step.Append))
  const records = followLeader(core, request)
  if (state.isInstalling) {
    if (!await save(core, records)) return err(createStorageFailure(state, Step.Append))
    return err(createFailure(FailureReason.Rejected, { step: Step.Append, peer: state.address }, 'a snapshot is being installed'))
  }
  // Entries before the base are committed, and therefore the same in the log of every leader.
  const isMatching = request.previousIndex < state.base.index || termAt(state, request.previousIndex) === request.previousTerm
  if (isMatching) records.push(...mergeEntries(core, request.entries))
  const nextPreviousIndex = isMatching ? 0 : lastPossibleMatch(state, request.previousIndex)
  if (!await save(core, records)) return err(createStorageFailure(state, Step.Append))
  // A leader of a newer term may have replaced these entries during the sync, so the response must not acknowledge them.
  if (state.term !== request.term) return ok(createRejection(state, lastIndexOf(state)))
  if (request.successor !== undefined) return ok(acceptLeadershipTransfer(core, request.successor))
  if (!isMatching) return ok(createRejection(state, nextPreviousIndex))
  const index = request.previousIndex + request.entries.length
  const newCommitIndex = Math.min(request.commitIndex, index)
  if (newCommitIndex > state.commitIndex) commit(core, newCommitIndex)
  return ok({ term: request.term, accepted: true, index })
}

// The leader has stepped down by itself, so neither the campaign of the successor nor the vote of this replica has to wait
// for an election timeout.
function acceptLeadershipTransfer (core: ReplicaCore, successor: string): AppendResponse {
  const { state } = core
  state.lastContactAt = -Infinity
  state.leaderAddress = undefined
  if (successor === state.identity) campaign(core).catch(() => {})
  return { term: state.term, accepted: true, index: state.commitIndex }
}

function createRejection (state: ReplicaState, index: number): AppendResponse {
  return { term: state.term, accepted: false, index }
}

// Skips all entries of the conflicting term, since decrementing the index by one would require one request for each entry.
function lastPossibleMatch (state: ReplicaState, previousIndex: number): number {
  if (previousIndex > lastIndexOf(state)) return lastIndexOf(state)
  const conflicting = termAt(state, previousIndex)
  let index = previousIndex - 1
  while (index > state.commitIndex && termAt(state, index) === conflicting) index--
  return index
}

function mergeEntries (core: ReplicaCore, entries: readonly Entry[]): StoredRecord[] {
  const { state } = core
  const records: StoredRecord[] = []
  for (const entry of entries) {
    if (entry.index <= state.base.index) continue
    const existingTerm = termAt(state, entry.index)
    if (existingTerm === entry.term) continue
    if (existingTerm !== undefined) records.push(truncateConflicting(core, entry.index))
    pushEntry(state, entry)
    records.push({ kind: RecordKind.Entry, entry })
    if (entry.payload.kind === PayloadKind.Members) adoptMembers(core, entry.payload.members)
  }
  return records
}

function truncateConflicting (core: ReplicaCore, index: number): StoredRecord {
  const { state } = core
  assert(index > state.commitIndex, `committed entry ${index} would be replaced`)
  truncateFrom(state, index)
  const members = membersAt(state, lastIndexOf(state))
  if (members !== state.members) adoptMembers(core, members)
  return { kind: RecordKind.Truncation, from: index }
}
