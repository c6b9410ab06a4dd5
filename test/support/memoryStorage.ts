/**
 * Storage in memory, for tests that restart a control host.
 * @module
 */
import { okAsync, type ResultAsync } from 'neverthrow'
import type { Failure } from '../../src/process/failure.ts'
import { type Entry, RecordKind, type SavedLog, Storage, type StoredRecord } from '../../src/process/storage.ts'

/** The storage; a second control host may load what the first one appended. */
export class MemoryStorage extends Storage {
  private readonly entries: Entry[] = []
  private term = 0
  private votedFor: string | undefined

  override load (): ResultAsync<SavedLog, Failure> {
    return okAsync({ identity: 'memory', term: this.term, votedFor: this.votedFor, entries: [...this.entries] })
  }

  override append (records: readonly StoredRecord[]): ResultAsync<void, Failure> {
    for (const record of records) {
      if (record.kind === RecordKind.Entry) this.entries.push(record.entry)
      if (record.kind === RecordKind.Truncation) this.entries.length = record.from - 1
      if (record.kind !== RecordKind.Vote) continue
      this.term = record.term
      this.votedFor = record.votedFor
    }
    return okAsync(undefined)
  }

  override async close (): Promise<void> {}
}
