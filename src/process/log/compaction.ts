/**
 * The task of a replica that replaces the applied part of the log by a snapshot.
 * @module
 */
import { setImmediate } from 'node:timers/promises'
import { LogEvents } from '../program/logEvents.ts'
import { encodeRecord } from './recordCodec.ts'
import { applyCommitted } from './replicaCommit.ts'
import { failStorage } from './replicaLeadership.ts'
import { discardThrough, pointAt, recordsAfter } from './replicaLog.ts'
import type { CompactionLimits, ReplicaCore, ReplicaState } from './replicaState.ts'
import type { SnapshotPoint } from './storage.ts'

/** Limits that keep the log of a control host small. */
export const defaultCompaction: CompactionLimits = { entries: 1_000, bytes: 4 * 1024 * 1024, retained: 256 }

/** Longest time for which the export keeps the process from answering heartbeats, in milliseconds. */
const exportSliceMs = 20

/** How often the task looks without being notified, in milliseconds. */
const checkIntervalMs = 1_000

/**
 * Decides whether the log is compacted. A snapshot costs as much as it is large, so the log must have grown by its size.
 * @param state - the replica
 * @param limits - the limits
 * @returns whether a snapshot is due
 */
export function isCompactionDue (state: ReplicaState, limits: CompactionLimits): boolean {
  if (state.snapshotInProgress) return false
  if (state.appliedBytes < state.snapshotBytes) return false
  return state.appliedIndex - state.snapshot.index >= limits.entries || state.appliedBytes >= limits.bytes
}

/**
 * Runs until the signal aborts.
 * @param core - the replica
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runCompaction (core: ReplicaCore, signal: AbortSignal): Promise<void> {
  const { state, inputs: { compaction: limits = defaultCompaction } } = core
  while (!signal.aborted) {
    if (isCompactionDue(state, limits)) await compact(core, limits)
    else await state.changed.wait(checkIntervalMs, signal)
  }
}

async function compact (core: ReplicaCore, limits: CompactionLimits): Promise<void> {
  const { state, inputs: { storage, logger } } = core
  state.snapshotInProgress = true
  const point = pointAt(state, state.appliedIndex)
  const parts = await exportState(core, point)
  const saved = await storage.saveSnapshot(point, parts, recordsAfter(state, point.index))
  state.snapshotInProgress = false
  if (saved.isErr()) return failStorage(core, saved.error)
  state.snapshot = point
  discardThrough(state, point.index - limits.retained)
  logger.write(LogEvents.snapshotWritten, { detail: `${state.snapshotBytes} bytes`, value: point.index })
}

// Commands are not applied during the export, so all parts are of one point; messages are answered between the slices.
async function exportState (core: ReplicaCore, point: SnapshotPoint): Promise<Buffer[]> {
  const { state, inputs: { clock, exportParts } } = core
  const parts: Buffer[] = []
  let bytes = 0
  let sliceStart = clock.now()
  state.exporting = true
  try {
    for (const part of exportParts()) {
      const encoded = encodeRecord(part)
      bytes += encoded.length
      parts.push(encoded)
      if (clock.now() - sliceStart < exportSliceMs) continue
      await setImmediate()
      sliceStart = clock.now()
    }
  } finally {
    state.exporting = false
  }
  state.snapshotBytes = bytes
  state.appliedBytes = 0
  if (state.commitIndex > point.index) applyCommitted(core)
  return parts
}
