/**
 * Answers of a follower to the pieces of a leader's snapshot.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Failure, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { followLeader } from './replicaAppend.ts'
import { adoptMembers, failStorage, save } from './replicaLeadership.ts'
import { lastIndexOf, membersAt, recordsAfter, termAt } from './replicaLog.ts'
import type { SnapshotResponse, SnapshotRequest } from './replicaMessages.ts'
import { type ReplicaCore, storageEnded, wrongIdentity } from './replicaState.ts'
import { RecordKind, type Snapshot, type StoredRecord } from './storage.ts'

/**
 * Takes a piece of a snapshot. The last piece starts the installation; the leader asks again until it is done.
 * @param core - the replica
 * @param request - the piece
 * @returns how much was received, or a failure
 */
export async function handleSnapshot (core: ReplicaCore, request: SnapshotRequest): Promise<Result<SnapshotResponse, Failure>> {
  const { state, inputs: { storage, lifecycle } } = core
  if (request.to !== state.identity) return err(wrongIdentity(state, Step.Snapshot, request.to))
  if (request.term < state.term) return ok({ term: state.term, received: 0, installed: false })
  const records = followLeader(core, request)
  if (!await save(core, records)) return err(storageEnded(state, Step.Snapshot))
  const { term } = request
  if (state.commitIndex >= request.index) return ok({ term, received: 0, installed: true })
  const bytes = Buffer.from(request.bytes, 'base64')
  const end = request.offset + bytes.length
  if (state.snapshotBusy) return ok({ term, received: state.installing ? end : request.offset, installed: false })
  const received = await storage.receiveChunk(request.offset, bytes)
  if (received.isErr()) return err(received.error)
  if (received.value === end && request.last && !state.snapshotBusy) lifecycle.run(() => install(core, request.index))
  return ok({ term, received: received.value, installed: false })
}

async function install (core: ReplicaCore, index: number): Promise<void> {
  const { state, inputs: { storage, logger } } = core
  state.snapshotBusy = true
  state.installing = true
  try {
    const snapshot = await storage.readReceived()
    if (snapshot.isErr() || snapshot.value.point.index !== index) {
      // An empty first piece makes the leader start over.
      await storage.receiveChunk(0, Buffer.alloc(0))
      return
    }
    if (index <= state.commitIndex) return
    const installed = await storage.installReceived(snapshot.value.point, recordsKept(core, snapshot.value))
    if (installed.isErr()) return failStorage(core, installed.error)
    replaceState(core, snapshot.value)
    logger.write(LogEvents.snapshotInstalled, { value: index })
  } finally {
    state.snapshotBusy = false
    state.installing = false
    state.changed.notify()
  }
}

// Entries after the snapshot are kept only when the log agrees with it; otherwise they were never committed.
function recordsKept (core: ReplicaCore, { point }: Snapshot): StoredRecord[] {
  const { state } = core
  if (termAt(state, point.index) === point.term) return recordsAfter(state, point.index)
  return [{ kind: RecordKind.Vote, term: state.term, votedFor: state.votedFor }]
}

function replaceState (core: ReplicaCore, { point, parts }: Snapshot): void {
  const { state, inputs } = core
  const agrees = termAt(state, point.index) === point.term
  state.entries = agrees ? state.entries.filter(entry => entry.index > point.index) : []
  state.base = point
  state.snapshot = point
  state.appliedBytes = 0
  state.commitIndex = point.index
  state.appliedIndex = point.index
  inputs.importParts(parts)
  adoptMembers(core, membersAt(state, lastIndexOf(state)))
}
