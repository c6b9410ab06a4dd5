/**
 * Storage in files under one data folder.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { type FileHandle, mkdir, open, readFile, rename } from 'node:fs/promises'
import { join } from 'node:path'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { createFailure, type Failure, FailureReason, Step, toFailure } from './failure.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'
import { Counter, type Metrics } from './metrics.ts'
import { decodeRecords, encodeRecord, ReadEnd } from './recordCodec.ts'
import { type Entry, RecordKind, type SavedLog, Storage, type StoredRecord } from './storage.ts'

const identityFile = 'identity.json'
const logFile = 'log.records'

interface FolderIdentity {
  readonly identity: string
  readonly host: string
}

interface PendingAppend {
  readonly bytes: Buffer
  readonly settle: (failure: Failure | undefined) => void
}

/** What file storage needs. */
export interface FileStorageInputs {
  /** The data folder. */
  readonly folder: string
  /** Name of the host that the folder belongs to. */
  readonly host: string
  readonly logger: Logger
  readonly metrics: Metrics
}

class FileStorage extends Storage {
  private readonly inputs: FileStorageInputs
  private file: FileHandle | undefined
  private pending: PendingAppend[] = []
  private writing: Promise<void> | undefined
  private failure: Failure | undefined

  constructor (inputs: FileStorageInputs) {
    super()
    this.inputs = inputs
  }

  override load (): ResultAsync<SavedLog, Failure> {
    return ResultAsync.fromPromise(this.loadFolder(), error => toStorageFailure(error, Step.LoadLog, this.inputs.folder))
  }

  override append (records: readonly StoredRecord[]): ResultAsync<void, Failure> {
    if (this.failure !== undefined) return errAsync(this.failure)
    if (records.length === 0) return okAsync(undefined)
    const bytes = Buffer.concat(records.map(encodeRecord))
    const settled = new Promise<void>((resolve, reject) => {
      this.pending.push({ bytes, settle: failure => { if (failure === undefined) resolve(); else reject(failure) } })
    })
    this.writing ??= this.writePending()
    return ResultAsync.fromPromise(settled, error => toStorageFailure(error, Step.SyncLog, this.inputs.folder))
  }

  override async close (): Promise<void> {
    await this.writing
    await this.file?.close()
    this.file = undefined
  }

  private async loadFolder (): Promise<SavedLog> {
    const { folder, logger } = this.inputs
    await mkdir(folder, { recursive: true })
    const identity = await this.readIdentity()
    const path = join(folder, logFile)
    const bytes = await readFile(path).catch((error: NodeJS.ErrnoException) => {
      if (error.code === 'ENOENT') return Buffer.alloc(0)
      throw error
    })
    const decoded = decodeRecords(bytes)
    if (decoded.end === ReadEnd.Damaged) {
      logger.write(LogEvents.logDamaged, { detail: path, value: decoded.length })
      throw createFailure(FailureReason.Damaged, { step: Step.LoadLog, peer: folder }, `record at byte ${decoded.length} of ${path} is damaged`)
    }
    this.file = await open(path, 'a')
    if (decoded.end === ReadEnd.Torn) {
      logger.write(LogEvents.tornRecordCut, { detail: path, value: bytes.length - decoded.length })
      await this.file.truncate(decoded.length)
    }
    await this.file.sync()
    await syncFolder(folder)
    const saved = replay(identity, decoded.records as readonly StoredRecord[])
    logger.write(LogEvents.logLoaded, { detail: identity, value: saved.entries.length })
    return saved
  }

  private async readIdentity (): Promise<string> {
    const { folder, host } = this.inputs
    const path = join(folder, identityFile)
    try {
      const saved = JSON.parse(await readFile(path, 'utf8')) as FolderIdentity
      if (saved.host === host) return saved.identity
      throw createFailure(FailureReason.Conflict, { step: Step.LoadLog, peer: folder }, `data folder belongs to host ${saved.host}, not ${host}`)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ENOENT') throw error
    }
    const identity = randomUUID()
    await writeDurably(folder, identityFile, Buffer.from(JSON.stringify({ identity, host } satisfies FolderIdentity)))
    return identity
  }

  private async writePending (): Promise<void> {
    while (this.pending.length > 0) {
      const batch = this.pending
      this.pending = []
      const failure = await this.writeBatch(Buffer.concat(batch.map(append => append.bytes)))
      for (const append of batch) append.settle(failure)
      if (failure === undefined) continue
      for (const append of this.pending) append.settle(failure)
      this.pending = []
    }
    this.writing = undefined
  }

  // After a failed sync the kernel may have dropped the dirty pages, so a second sync of the same file proves nothing.
  private async writeBatch (bytes: Buffer): Promise<Failure | undefined> {
    if (this.failure !== undefined) return this.failure
    try {
      if (this.file === undefined) throw new Error('the log file is not open')
      await this.file.appendFile(bytes)
      await this.file.datasync()
      this.inputs.metrics.count(Counter.Syncs, 'log')
      return undefined
    } catch (error) {
      this.failure = toStorageFailure(error, Step.SyncLog, this.inputs.folder)
      return this.failure
    }
  }
}

/**
 * Creates file storage.
 * @param inputs - folder, host, logger and metrics
 * @returns the storage; nothing is read before `load`
 */
export function createFileStorage (inputs: FileStorageInputs): Storage {
  return new FileStorage(inputs)
}

function replay (identity: string, records: readonly StoredRecord[]): SavedLog {
  let term = 0
  let votedFor: string | undefined
  const entries: Entry[] = []
  for (const record of records) {
    switch (record.kind) {
      case RecordKind.Entry:
        entries.push(record.entry)
        break
      case RecordKind.Vote:
        term = record.term
        votedFor = record.votedFor ?? undefined
        break
      case RecordKind.Truncation:
        while ((entries.at(-1)?.index ?? 0) >= record.from) entries.pop()
        break
    }
  }
  return { identity, term, votedFor, entries }
}

async function writeDurably (folder: string, name: string, bytes: Buffer): Promise<void> {
  const temporary = join(folder, `${name}.new`)
  const file = await open(temporary, 'w')
  await file.writeFile(bytes)
  await file.sync()
  await file.close()
  await rename(temporary, join(folder, name))
  await syncFolder(folder)
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  await handle.sync()
  await handle.close()
}

function toStorageFailure (error: unknown, step: Step, folder: string): Failure {
  const failure = toFailure(error, { step, peer: folder })
  if (failure.reason !== FailureReason.Unknown) return failure
  return createFailure(FailureReason.Storage, { step, peer: folder }, failure.message, error)
}
