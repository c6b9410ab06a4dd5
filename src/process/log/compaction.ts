/**
 * The task of a replica that compacts the log: it replaces the applied entries with a snapshot.
 * @module
 */
import { setImmediate } from 'node:timers/promises'
import { type Failure, FailureReason } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import { encodeRecord } from './recordCodec.ts'
import { applyCommitted } from './replicaCommit.ts'
import { handleStorageFailure } from './replicaLeadership.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'
import { approximateBytes, discardThrough, entryAt, pointAt, recordsAfter } from './replicaLog.ts'
import type { CompactionLimits, ReplicaCore, ReplicaState } from './replicaState.ts'
import type { SnapshotPoint } from './storage.ts'

/** Default limits, which keep the log of a control host small. */
export const defaultCompaction: CompactionLimits = { entries: 1_000, bytes: 4 * 1024 * 1024, maxBytes: 8 * 1024 * 1024, retained: 256, retainedBytes: 2 * 1024 * 1024 }

/** Multiple of the maximum size of the log in memory up to which a snapshot waits for the transfer of the previous one. */
const transferFactor = 2

/** Longest time for which the export blocks the event loop, and with it responses to heartbeats, in milliseconds. */
const exportSliceMs = 20

/** Time without a response after which entries are not retained for a member, in milliseconds. */
const contactTimeoutMs = 2_000

/** Interval at which the task checks the limits without a notification, in milliseconds. */
const checkIntervalMs = 1_000

/**
 * Time until a snapshot for which the disk had no free space is tried again, in milliseconds. Each try exports the state and starts
 * another segment of the log.
 */
const retryIntervalMs = 10_000

/**
 * Checks whether the log should be compacted. The cost of a snapshot is proportional to its size, so the log must have
 * grown by at least the size of the previous snapshot, or by the maximum that is kept in memory.
 * @param state - the replica
 * @param limits - the limits
 * @returns whether a snapshot is due
 */
export function isCompactionDue (state: ReplicaState, limits: CompactionLimits): boolean {
  if (state.isSnapshotInProgress) return false
  if (isSnapshotInTransit(state) && state.appliedBytes < transferFactor * limits.maxBytes) return false
  if (state.appliedBytes < Math.min(state.snapshotBytes, limits.maxBytes)) return false
  return state.appliedIndex - state.snapshot.index >= limits.entries || state.appliedBytes >= limits.bytes
}

// A new snapshot ends the transfer of the previous one, which then starts over.
function isSnapshotInTransit ({ progress, snapshot }: ReplicaState): boolean {
  for (const { sentSnapshotIndex } of progress.values()) {
    if (sentSnapshotIndex === snapshot.index) return true
  }
  return false
}

/**
 * Compacts the log whenever a snapshot is due, until the signal aborts.
 * @param core - the replica
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runCompaction (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  const { state, inputs: { clock, compaction: limits = defaultCompaction } } = core
  while (!signal.aborted) {
    if (!isCompactionDue(state, limits)) await state.changed.wait(checkIntervalMs, signal)
    else if (!await compact(core, limits)) await clock.sleep(retryIntervalMs, signal)
  }
}

// Returns whether the log was compacted. A disk without space for the snapshot keeps the log, and a later snapshot replaces it.
async function compact (core: ReplicaCore, limits: CompactionLimits): Promise<boolean> {
  const { state, inputs: { storage, logger } } = core
  state.isSnapshotInProgress = true
  const point = pointAt(state, state.appliedIndex)
  const stateChunks = await exportState(core, point)
  const saved = await storage.saveSnapshot(point, encodeChunks(state, stateChunks), recordsAfter(state, point.index))
  state.isSnapshotInProgress = false
  if (saved.isErr()) {
    if (saved.error.reason !== FailureReason.DiskFull) handleStorageFailure(core, saved.error)
    else reportMissingSpace(core, saved.error)
    return false
  }
  state.snapshot = point
  discardThrough(state, findRetainedStart(core, point.index, limits) - 1)
  logger.write(LogEvents.snapshotWritten, { detail: `${state.snapshotBytes} bytes`, value: point.index })
  return true
}

function reportMissingSpace ({ inputs: { logger, metrics } }: ReplicaCore, failure: Failure): void {
  metrics.count(Counter.DiskFull, 'snapshot')
  logger.write(LogEvents.snapshotDelayed, { failure })
}

// Returns the index of the first entry up to the snapshot that stays in memory.
function findRetainedStart (core: ReplicaCore, snapshotIndex: number, limits: CompactionLimits): number {
  const { state } = core
  const needed = findNeededIndex(core)
  let first = snapshotIndex + 1
  let bytes = 0
  while (first - 1 > state.base.index) {
    const isNeeded = first - 1 >= needed
    if (!isNeeded && first - 1 <= snapshotIndex - limits.retained) break
    bytes += approximateBytes(entryAt(state, first - 1)?.payload)
    if (bytes > (isNeeded ? limits.maxBytes : limits.retainedBytes)) break
    first--
  }
  return first
}

// Returns the index of the first entry that a member needs after the snapshot that it was sent. Without it the member would get another
// snapshot, and might not be a voter again before the next host is lost.
function findNeededIndex ({ state, inputs: { clock } }: ReplicaCore): number {
  let needed = Infinity
  for (const { isRestoring, acknowledgedAt, sentSnapshotIndex, nextIndex } of state.progress.values()) {
    if (!isRestoring || clock.now() - acknowledgedAt > contactTimeoutMs) continue
    needed = Math.min(needed, sentSnapshotIndex === undefined ? nextIndex : sentSnapshotIndex + 1)
  }
  return needed
}

// The chunks are encoded only when they are written, since their encoding is as large as the state.
function * encodeChunks (state: ReplicaState, stateChunks: Iterable<StateChunk>): Iterable<Buffer> {
  let bytes = 0
  for (const stateChunk of stateChunks) {
    const encoded = encodeRecord(stateChunk)
    bytes += encoded.length
    yield encoded
  }
  state.snapshotBytes = bytes
}

// No command is applied during the export, so all chunks reflect the same log index. The export yields between slices, so
// that messages from other replicas are handled meanwhile.
async function exportState (core: ReplicaCore, point: SnapshotPoint): Promise<StateChunk[]> {
  const { state, inputs: { clock, exportChunks } } = core
  const stateChunks: StateChunk[] = []
  let sliceStart = clock.now()
  state.isExporting = true
  try {
    for (const stateChunk of exportChunks()) {
      stateChunks.push(stateChunk)
      if (clock.now() - sliceStart < exportSliceMs) continue
      await setImmediate()
      sliceStart = clock.now()
    }
  } finally {
    state.isExporting = false
  }
  state.appliedBytes = 0
  if (state.commitIndex > point.index) applyCommitted(core)
  return stateChunks
}
