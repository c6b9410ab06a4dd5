/**
 * Receipt and installation of a leader's snapshot by a follower.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Failure, FailureReason, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { followLeader } from './replicaAppend.ts'
import { adoptMembers, handleStorageFailure, save } from './replicaLeadership.ts'
import { lastIndexOf, membersAt, recordsAfter, termAt } from './replicaLog.ts'
import type { SnapshotRequest, SnapshotResponse } from './replicaMessages.ts'
import { createDiskFullFailure, createStorageFailure, createWrongIdentityFailure, type ReplicaCore } from './replicaState.ts'
import { RecordKind, type Snapshot, type StoredRecord } from './storage.ts'

/**
 * Handles a chunk of a snapshot. The last chunk starts the installation; the leader continues to send requests until the
 * snapshot is installed.
 * @param core - the replica
 * @param request - the chunk
 * @returns the progress of the transfer, or a failure
 */
export async function handleSnapshot (core: ReplicaCore, request: SnapshotRequest): Promise<Result<SnapshotResponse, Failure>> {
  const { state, inputs: { storage, lifecycle } } = core
  if (request.to !== state.identity) return err(createWrongIdentityFailure(state, Step.Snapshot, request.to))
  if (request.term < state.term) return ok({ term: state.term, received: 0, installed: false })
  if (!storage.hasSpace) return err(createDiskFullFailure(state, Step.Snapshot))
  const records = followLeader(core, request)
  if (!await save(core, records)) return err(createStorageFailure(state, Step.Snapshot))
  const { term } = request
  if (state.commitIndex >= request.index) return ok({ term, received: 0, installed: true })
  const bytes = typeof request.bytes === 'string' ? Buffer.from(request.bytes, 'base64') : Buffer.from(request.bytes)
  const end = request.offset + bytes.length
  if (state.isSnapshotInProgress) return ok({ term, received: state.isInstalling ? end : request.offset, installed: false })
  const received = await storage.receiveChunk(request.offset, bytes)
  if (received.isErr()) return err(received.error)
  if (received.value === end && request.last && !state.isSnapshotInProgress) lifecycle.run(() => install(core, request.index))
  return ok({ term, received: received.value, installed: false })
}

async function install (core: ReplicaCore, index: number): Promise<void> {
  const { state, inputs: { storage, logger } } = core
  state.isSnapshotInProgress = true
  state.isInstalling = true
  try {
    const snapshot = await storage.readReceived()
    if (snapshot.isErr() || snapshot.value.point.index !== index) {
      // Receiving an empty first chunk resets the received bytes, so that the leader restarts the transfer.
      await storage.receiveChunk(0, Buffer.alloc(0))
      return
    }
    if (index <= state.commitIndex) return
    const installed = await storage.installReceived(snapshot.value.point, retainedRecords(core, snapshot.value))
    if (installed.isErr()) {
      // The storage has discarded the received bytes, and the leader starts the transfer over.
      if (installed.error.reason === FailureReason.DiskFull) return
      return handleStorageFailure(core, installed.error)
    }
    replaceState(core, snapshot.value)
    logger.write(LogEvents.snapshotInstalled, { value: index })
  } finally {
    state.isSnapshotInProgress = false
    state.isInstalling = false
    state.changed.notify()
  }
}

// Entries after the snapshot are retained only if the log matches the snapshot; otherwise they were never committed.
function retainedRecords (core: ReplicaCore, { point }: Snapshot): StoredRecord[] {
  const { state } = core
  if (termAt(state, point.index) === point.term) return recordsAfter(state, point.index)
  return [{ kind: RecordKind.Vote, term: state.term, votedFor: state.votedFor }]
}

function replaceState (core: ReplicaCore, { point, parts }: Snapshot): void {
  const { state, inputs } = core
  const isMatching = termAt(state, point.index) === point.term
  state.entries = isMatching ? state.entries.filter(entry => entry.index > point.index) : []
  state.base = point
  state.snapshot = point
  state.appliedBytes = 0
  state.commitIndex = point.index
  state.appliedIndex = point.index
  inputs.importChunks(parts)
  adoptMembers(core, membersAt(state, lastIndexOf(state)))
}
