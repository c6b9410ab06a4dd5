/**
 * Durable storage in the files of one data folder: segments of the log, and one snapshot.
 * @module
 */
import { type FileHandle, open, readFile, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { setImmediate } from 'node:timers/promises'
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow'
import { type DataFolder, encodeSegmentStart, loadFolder } from './dataFolder.ts'
import { createDiskSpace, type DiskSpace, isDiskFullError } from './diskSpace.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../program/failure.ts'
import { replaceFile, syncFolder, writeAll, writeSynced } from './folderFiles.ts'
import type { Clock } from '../program/clock.ts'
import { LogEvents } from '../program/logEvents.ts'
import { listSegments, segmentName } from './logSegments.ts'
import { Counter, type Metrics } from '../program/metrics.ts'
import { encodeFrame, encodeRecord } from './recordCodec.ts'
import { chunkBytes, decodeSnapshot, encodeSnapshot, newSnapshotName, receivedSnapshotName, snapshotName } from './snapshotFile.ts'
import { type SavedLog, type Snapshot, type SnapshotChunk, type SnapshotPoint, Storage, type StoredRecord } from './storage.ts'

/** Maximum size of the records that are batched into one frame of the log, in bytes; a larger write gets a frame of its own. */
const frameLimitBytes = 8 * 1024 * 1024

interface PendingWrite {
  readonly records: readonly Buffer[]
  /** Size of the records, in bytes. */
  readonly bytes: number
  /** Whether the records start a new segment. */
  readonly startsSegment: boolean
  readonly settle: (failure: Failure | undefined) => void
}

/** Dependencies and settings of file storage. */
export interface FileStorageInputs extends DataFolder {
  readonly metrics: Metrics
  readonly clock: Clock
  /** Opens a segment for appending; tests override it to inject sync failures. */
  readonly openSegment?: (path: string) => Promise<FileHandle>
}

class FileStorage extends Storage {
  private readonly inputs: FileStorageInputs
  private file: FileHandle | undefined
  private segment = 0
  private segmentBytes = 0
  private snapshotFile: FileHandle | undefined
  private snapshotPoint: SnapshotPoint | undefined
  private receivedFile: FileHandle | undefined
  private receivedBytes = 0
  private pending: PendingWrite[] = []
  private writing: Promise<void> | undefined
  private failure: Failure | undefined
  private readonly space: DiskSpace

  constructor (inputs: FileStorageInputs) {
    super()
    this.inputs = inputs
    this.space = createDiskSpace(inputs)
  }

  override get hasSpace (): boolean {
    return this.space.hasSpace
  }

  override load (): ResultAsync<SavedLog, Failure> {
    return this.runStep(Step.LoadLog, async () => {
      const loaded = await this.space.retryUntilWritten(() => loadFolder(this.inputs))
      this.segment = loaded.segment
      this.segmentBytes = loaded.length
      this.file = await this.openSegment(loaded.segment)
      await this.file.sync()
      if (loaded.snapshotPoint !== undefined) await this.openSnapshot(loaded.snapshotPoint)
      return loaded.saved
    })
  }

  override append (records: readonly StoredRecord[]): ResultAsync<void, Failure> {
    if (this.failure !== undefined) return errAsync(this.failure)
    if (records.length === 0) return okAsync(undefined)
    return this.enqueue(records.map(encodeRecord), false)
  }

  override saveSnapshot (point: SnapshotPoint, stateChunks: Iterable<Buffer>, retained: readonly StoredRecord[]): ResultAsync<void, Failure> {
    const rotated = this.rotate(point, retained)
    return this.runStep(Step.Snapshot, async () => {
      const path = join(this.inputs.folder, newSnapshotName)
      try {
        await writeSynced(path, encodeSnapshot(point, stateChunks))
      } catch (error) {
        // The log needs the space that the incomplete snapshot takes.
        if (isDiskFullError(error)) await rm(path, { force: true })
        throw error
      }
    }).andThen(() => rotated).andThen(segment => this.replaceSnapshot(point, newSnapshotName, segment))
  }

  override readChunk (offset: number): ResultAsync<SnapshotChunk, Failure> {
    return this.runStep(Step.Snapshot, async () => {
      const { snapshotFile: file, snapshotPoint: point } = this
      if (file === undefined || point === undefined) throw createFailure(FailureReason.NotFound, { step: Step.Snapshot }, 'no snapshot has been saved')
      const buffer = Buffer.alloc(chunkBytes)
      const { bytesRead } = await file.read(buffer, 0, chunkBytes, offset)
      const { size } = await file.stat()
      return { point, offset, bytes: buffer.subarray(0, bytesRead), last: offset + bytesRead >= size }
    })
  }

  override receiveChunk (offset: number, bytes: Buffer): ResultAsync<number, Failure> {
    return this.runStep(Step.Snapshot, async () => {
      if (offset === 0) await this.startReceiving()
      const { receivedFile: file } = this
      if (file === undefined || offset !== this.receivedBytes) return this.receivedBytes
      this.receivedBytes += bytes.length
      try {
        await writeAll(file, bytes, offset)
      } catch (error) {
        await this.discardReceived()
        throw error
      }
      return this.receivedBytes
    })
  }

  override readReceived (): ResultAsync<Snapshot, Failure> {
    return this.runStep(Step.Snapshot, async () => {
      const snapshot = decodeSnapshot(await readFile(join(this.inputs.folder, receivedSnapshotName)))
      if (snapshot !== undefined) return snapshot
      throw createFailure(FailureReason.Incomplete, { step: Step.Snapshot, peer: this.inputs.folder }, 'the received snapshot is incomplete')
    })
  }

  override installReceived (point: SnapshotPoint, retained: readonly StoredRecord[]): ResultAsync<void, Failure> {
    const rotated = this.rotate(point, retained)
    return this.runStep(Step.Snapshot, async () => {
      try {
        await this.receivedFile?.sync()
      } catch (error) {
        if (isDiskFullError(error)) await this.discardReceived()
        throw error
      }
      await this.receivedFile?.close()
      this.receivedFile = undefined
      this.receivedBytes = 0
    }).andThen(() => rotated).andThen(segment => this.replaceSnapshot(point, receivedSnapshotName, segment))
  }

  override async close (): Promise<void> {
    this.space.close()
    await this.writing
    for (const file of [this.file, this.snapshotFile, this.receivedFile]) await file?.close()
    this.file = undefined
    this.snapshotFile = undefined
    this.receivedFile = undefined
  }

  // Converts an error that the work throws into a failure of the step.
  private runStep<Value> (step: Step, work: () => Promise<Value>): ResultAsync<Value, Failure> {
    return ResultAsync.fromPromise(work(), error => toStorageFailure(error, step, this.inputs.folder))
  }

  private enqueue (records: readonly Buffer[], startsSegment: boolean): ResultAsync<void, Failure> {
    const bytes = records.reduce((sum, record) => sum + record.length, 0)
    const settled = new Promise<Failure | undefined>(resolve => {
      this.pending.push({ records, bytes, startsSegment, settle: resolve })
    })
    this.writing ??= this.writePending()
    return new ResultAsync(settled.then(failure => failure === undefined ? ok(undefined) : err(failure)))
  }

  private rotate (point: SnapshotPoint, retained: readonly StoredRecord[]): ResultAsync<number, Failure> {
    if (this.failure !== undefined) return errAsync(this.failure)
    return this.enqueue([encodeSegmentStart(point.index), ...retained.map(encodeRecord)], true).map(() => this.segment)
  }

  private replaceSnapshot (point: SnapshotPoint, from: string, segment: number): ResultAsync<void, Failure> {
    return this.runStep(Step.Snapshot, async () => {
      const { folder } = this.inputs
      await replaceFile(folder, from, snapshotName)
      await this.openSnapshot(point)
      for (const number of await listSegments(folder)) {
        if (number < segment) await rm(join(folder, segmentName(number)), { force: true })
      }
      await syncFolder(folder)
    })
  }

  private async openSnapshot (point: SnapshotPoint): Promise<void> {
    const previous = this.snapshotFile
    this.snapshotFile = await open(join(this.inputs.folder, snapshotName), 'r')
    this.snapshotPoint = point
    await previous?.close()
  }

  private async startReceiving (): Promise<void> {
    await this.receivedFile?.close()
    this.receivedFile = await open(join(this.inputs.folder, receivedSnapshotName), 'w')
    this.receivedBytes = 0
  }

  // The sender of the snapshot starts over, because no bytes have been received.
  private async discardReceived (): Promise<void> {
    const file = this.receivedFile
    this.receivedFile = undefined
    this.receivedBytes = 0
    await file?.close()
    await rm(join(this.inputs.folder, receivedSnapshotName), { force: true })
  }

  private openSegment (number: number): Promise<FileHandle> {
    const path = join(this.inputs.folder, segmentName(number))
    return this.inputs.openSegment === undefined ? open(path, 'a') : this.inputs.openSegment(path)
  }

  private async writePending (): Promise<void> {
    while (this.pending.length > 0) {
      // Appends that are already queued in the event loop are added to this batch instead of waiting for the next sync.
      await setImmediate()
      const batch = this.takeBatch()
      const failure = await this.writeBatch(batch)
      for (const write of batch) write.settle(failure)
    }
    this.writing = undefined
  }

  // A batch is written as one frame with one sync. A write that starts a segment forms a batch of its own.
  private takeBatch (): PendingWrite[] {
    let count = 0
    let bytes = 0
    for (const write of this.pending) {
      if (count > 0 && (write.startsSegment || bytes + write.bytes > frameLimitBytes)) break
      count++
      bytes += write.bytes
      if (write.startsSegment) break
    }
    return this.pending.splice(0, count)
  }

  // After a failed sync the kernel may have dropped the dirty pages, so that a second sync could succeed without the data.
  // Hence the first failure is permanent, except that of a full disk, after which the whole frame is written again.
  private async writeBatch (batch: readonly PendingWrite[]): Promise<Failure | undefined> {
    if (this.failure !== undefined) return this.failure
    try {
      const startsSegment = batch[0]?.startsSegment === true
      if (startsSegment) await this.space.retryUntilWritten(() => this.startSegment())
      const frame = encodeFrame(this.segmentBytes, batch.flatMap(write => write.records))
      await this.space.retryUntilWritten(() => this.writeFrame(frame))
      this.segmentBytes += frame.length
      if (startsSegment) await this.space.retryUntilWritten(() => syncFolder(this.inputs.folder))
      this.inputs.metrics.count(Counter.Syncs, 'log')
      return undefined
    } catch (error) {
      this.failure = toStorageFailure(error, Step.SyncLog, this.inputs.folder)
      this.inputs.logger.write(LogEvents.syncFailed, { failure: this.failure })
      return this.failure
    }
  }

  // Removes what a full disk took of the frame, so that the next attempt does not append to an incomplete one.
  private async writeFrame (frame: Buffer): Promise<void> {
    const { file } = this
    if (file === undefined) throw new Error('log segment is not open')
    try {
      await file.appendFile(frame)
      await file.datasync()
    } catch (error) {
      if (isDiskFullError(error)) await file.truncate(this.segmentBytes)
      throw error
    }
  }

  private async startSegment (): Promise<void> {
    const next = await this.openSegment(this.segment + 1)
    await this.file?.close()
    this.file = next
    this.segment++
    this.segmentBytes = 0
  }
}

/**
 * Creates file storage.
 * @param inputs - dependencies and settings of the storage
 * @returns the storage; no file is accessed before `load`
 */
export function createFileStorage (inputs: FileStorageInputs): Storage {
  return new FileStorage(inputs)
}

function toStorageFailure (error: unknown, step: Step, folder: string): Failure {
  if (isDiskFullError(error)) return createFailure(FailureReason.DiskFull, { step, peer: folder }, '', error)
  const failure = toFailure(error, { step, peer: folder })
  if (failure.reason !== FailureReason.Unknown) return failure
  return createFailure(FailureReason.Storage, { step, peer: folder }, failure.message, error)
}
