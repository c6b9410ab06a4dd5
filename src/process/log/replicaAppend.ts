/**
 * Answers of a follower to entries and heartbeats.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { assert } from '../program/assert.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { commit } from './replicaCommit.ts'
import { campaign } from './replicaElection.ts'
import { adoptMembers, enterTerm, save, stepDown } from './replicaLeadership.ts'
import { lastIndexOf, membersAt, pushEntry, termAt, truncateFrom } from './replicaLog.ts'
import type { AppendResponse, AppendRequest } from './replicaMessages.ts'
import { type ReplicaCore, ReplicaRole, type ReplicaState, storageEnded, wrongIdentity } from './replicaState.ts'
import { type Entry, PayloadKind, RecordKind, type StoredRecord } from './storage.ts'

/** What every message of a leader says about it. */
export interface LeaderMessage {
  readonly term: number
  readonly leaderAddress: string
}

/**
 * Follows the sender of a message.
 * @param core - the replica
 * @param message - a message of the present or a newer term
 * @returns the record of the newer term, to be saved in the same turn
 */
export function followLeader (core: ReplicaCore, message: LeaderMessage): StoredRecord[] {
  const { state } = core
  assert(state.role !== ReplicaRole.Leader || message.term > state.term, `there are two leaders in term ${message.term}`)
  const records = message.term > state.term ? [enterTerm(core, message.term, undefined)] : []
  if (state.role !== ReplicaRole.Follower) stepDown(core)
  state.lastContactAt = core.inputs.clock.now()
  state.leaderAddress = message.leaderAddress
  return records
}

/**
 * Answers entries or a heartbeat, after what they changed is synced.
 * @param core - the replica
 * @param request - the request
 * @returns the answer, or a failure
 */
export async function handleAppend (core: ReplicaCore, request: AppendRequest): Promise<Result<AppendResponse, Failure>> {
  const { state } = core
  if (request.to !== state.identity) return err(wrongIdentity(state, Step.Append, request.to))
  if (request.term < state.term) return ok(refuse(state, lastIndexOf(state)))
  const records = followLeader(core, request)
  if (state.installing) {
    if (!await save(core, records)) return err(storageEnded(state, Step.Append))
    return err(createFailure(FailureReason.Rejected, { step: Step.Append, peer: state.address }, 'a snapshot is being installed'))
  }
  // What precedes the base is committed, and so the same on every leader.
  const matches = request.previousIndex < state.base.index || termAt(state, request.previousIndex) === request.previousTerm
  if (matches) records.push(...mergeEntries(core, request.entries))
  const hint = matches ? 0 : lastPossibleMatch(state, request.previousIndex)
  if (!await save(core, records)) return err(storageEnded(state, Step.Append))
  // Another leader may have replaced these entries during the sync; the answer must not count for them then.
  if (state.term !== request.term) return ok(refuse(state, lastIndexOf(state)))
  if (request.successor !== undefined) return ok(follow(core, request.successor))
  if (!matches) return ok(refuse(state, hint))
  const index = request.previousIndex + request.entries.length
  const committed = Math.min(request.commitIndex, index)
  if (committed > state.commitIndex) commit(core, committed)
  return ok({ term: request.term, accepted: true, index })
}

// The leader has ended its leadership itself, so neither this vote nor the successor waits for an election timeout.
function follow (core: ReplicaCore, successor: string): AppendResponse {
  const { state } = core
  state.lastContactAt = -Infinity
  state.leaderAddress = undefined
  if (successor === state.identity) campaign(core).catch(() => {})
  return { term: state.term, accepted: true, index: state.commitIndex }
}

function refuse (state: ReplicaState, index: number): AppendResponse {
  return { term: state.term, accepted: false, index }
}

// Skips all entries of a conflicting term at once; one step back for each entry would take a message each.
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
    const present = termAt(state, entry.index)
    if (present === entry.term) continue
    if (present !== undefined) records.push(replaceFrom(core, entry.index))
    pushEntry(state, entry)
    records.push({ kind: RecordKind.Entry, entry })
    if (entry.payload.kind === PayloadKind.Members) adoptMembers(core, entry.payload.members)
  }
  return records
}

function replaceFrom (core: ReplicaCore, index: number): StoredRecord {
  const { state } = core
  assert(index > state.commitIndex, `committed entry ${index} would be replaced`)
  truncateFrom(state, index)
  const members = membersAt(state, lastIndexOf(state))
  if (members !== state.members) adoptMembers(core, members)
  return { kind: RecordKind.Truncation, from: index }
}
