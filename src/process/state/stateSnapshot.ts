/**
 * Exports the durable state as a sequence of chunks and imports it again. Derived data (waiting items, held grants, the
 * schedule, counters) is not exported but rebuilt on import, so it cannot be inconsistent with the records.
 * @module
 */
import type { Configuration } from '../../version/tables.ts'
import { assert, assertNever } from '../program/assert.ts'
import { chunk, type ChunkLimits, countCharacters } from '../program/chunk.ts'
import type { Ending, Item } from './commands.ts'
import { type ControlState, createControlState } from './controlState.ts'
import { addHeldItem, countEnding, countOpenItems, createJobIdentity, createJobItem, type Jobs, type LastClaim, type Upload } from '../jobs/jobRecords.ts'
import { ItemPhase, type Job, type JobHeader, type JobItem } from '../jobs/job.ts'
import { adjustInFlight, rescheduleJob } from '../jobs/jobSchedule.ts'
import type { Lease } from './leases.ts'
import { type Operation, retainOperation } from './operations.ts'
import type { QuarantinedTrait, RecordedServerCrash } from './quarantinedTraits.ts'
import type { Publication } from '../../version/gatewayTables.ts'
import { restoreSubmission, type StoredResult, type SubmissionRecord } from '../jobs/submissions.ts'
import { readOutput } from '../jobs/storedOutput.ts'
import type { SavedProgress, SubmissionHeader, SubmittedItem } from '../jobs/submission.ts'
import { createWaitingItems } from '../jobs/waitingItems.ts'

/** A chunk of the exported state; can be encoded as msgpack. */
export type StateChunk = object

/** Maximum size of a chunk, which has to fit into one log record and one message between hosts. */
const chunkLimits: ChunkLimits = { records: 200, characters: 128 * 1024 }

/** Kinds of chunk. */
const ChunkKind = {
  Configuration: 'configuration',
  Operations: 'operations',
  Leases: 'leases',
  Job: 'job',
  JobItems: 'job items',
  Upload: 'upload',
  UploadItems: 'upload items',
  LastClaims: 'last claims',
  Publication: 'publication',
  Submission: 'submission',
  SubmittedItems: 'submitted items',
  ItemResults: 'item results',
  ItemProgress: 'item progress',
  ItemFailures: 'item failures',
  QuarantinedTraits: 'quarantined traits',
  End: 'end'
} as const

/** An item of a job; fields that still have their initial value are omitted. */
interface ItemRecord {
  readonly item: Item
  readonly phase: ItemPhase
  readonly grant: number
  readonly holder?: string
  readonly attempts?: number
  readonly partial?: string
  readonly offset?: number
  readonly ending?: Ending
  readonly result?: string
}

type UploadHeader = Omit<Upload, 'items'>

type Chunk =
  | { readonly kind: typeof ChunkKind.Configuration, readonly configuration: Configuration, readonly grants: number }
  | { readonly kind: typeof ChunkKind.Operations, readonly records: ReadonlyArray<readonly [string, Operation]> }
  | { readonly kind: typeof ChunkKind.Leases, readonly records: ReadonlyArray<readonly [string, LeaseRecord]> }
  | { readonly kind: typeof ChunkKind.Job, readonly job: JobHeader }
  | { readonly kind: typeof ChunkKind.JobItems, readonly records: readonly ItemRecord[] }
  | { readonly kind: typeof ChunkKind.Upload, readonly upload: UploadHeader }
  | { readonly kind: typeof ChunkKind.UploadItems, readonly records: readonly Item[] }
  | { readonly kind: typeof ChunkKind.LastClaims, readonly records: ReadonlyArray<readonly [string, LastClaim]> }
  | { readonly kind: typeof ChunkKind.Publication, readonly publication: Publication }
  | { readonly kind: typeof ChunkKind.Submission, readonly submission: SubmissionHeader, readonly ended: boolean, readonly total?: number }
  | { readonly kind: typeof ChunkKind.SubmittedItems, readonly records: readonly SubmittedItem[] }
  | { readonly kind: typeof ChunkKind.ItemResults, readonly records: readonly StoredResult[] }
  | { readonly kind: typeof ChunkKind.ItemProgress, readonly records: ReadonlyArray<readonly [string, SavedProgress]> }
  | { readonly kind: typeof ChunkKind.ItemFailures, readonly records: readonly FailureRecord[] }
  | { readonly kind: typeof ChunkKind.QuarantinedTraits, readonly records: readonly QuarantinedTrait[], readonly crashes?: readonly RecordedServerCrash[] }
  | { readonly kind: typeof ChunkKind.End }

/** Item, number of its failed runs, and the runs; without the runs in a snapshot of a version that did not record them. */
type FailureRecord = readonly [item: string, count: number, runs?: readonly string[]]

interface LeaseRecord {
  readonly holder?: string
  readonly number: number
}

/**
 * Exports the state. Chunks are created lazily during iteration, so no command may be applied until the iteration has
 * finished. Later changes of the state do not affect chunks that were already read.
 * @param state - the state
 * @returns the chunks, each small enough for one log record
 */
export function * exportState (state: ControlState): Iterable<StateChunk> {
  yield * exportChunks(state)
}

/**
 * Imports an exported state.
 * @param chunks - the chunks in the order of the export
 * @param compressesResults - whether the results of jobs are kept compressed
 * @returns the state
 * @throws Error when the final chunk is missing
 */
export function importState (chunks: Iterable<StateChunk>, compressesResults = false): ControlState {
  const state = createControlState(compressesResults)
  const pending: PartialImport = { items: [], uploadItems: [] }
  let hasEndChunk = false
  for (const stateChunk of chunks as Iterable<Chunk>) {
    if (stateChunk.kind === ChunkKind.End) hasEndChunk = true
    importChunk(state, stateChunk, pending)
  }
  assert(hasEndChunk, 'the last part of the exported state is missing')
  return state
}

function * exportChunks (state: ControlState): Iterable<Chunk> {
  const { configuration, operations, leases, jobs } = state
  yield { kind: ChunkKind.Configuration, configuration, grants: jobs.grants }
  for (const records of chunk(operations, chunkLimits)) yield { kind: ChunkKind.Operations, records }
  for (const records of chunk(mapValues(leases, toLeaseRecord), chunkLimits)) yield { kind: ChunkKind.Leases, records }
  for (const job of jobs.jobs.values()) {
    yield { kind: ChunkKind.Job, job: toHeader(job) }
    for (const records of chunk(job.items, chunkLimits, countJobItemCharacters)) yield { kind: ChunkKind.JobItems, records: records.map(toItemRecord) }
  }
  for (const upload of jobs.uploads.values()) {
    const { items, ...header } = upload
    yield { kind: ChunkKind.Upload, upload: header }
    for (const records of chunk(items, chunkLimits, countItemCharacters)) yield { kind: ChunkKind.UploadItems, records }
  }
  // Each grant of a claim is estimated at 100 characters.
  for (const records of chunk(jobs.lastClaims, chunkLimits, ([, claim]) => claim.grants.length * 100)) yield { kind: ChunkKind.LastClaims, records }
  if (state.publication !== undefined) yield { kind: ChunkKind.Publication, publication: state.publication }
  for (const record of state.submissions.jobs.values()) yield * exportSubmission(record)
  for (const records of chunk(state.quarantinedTraits.values(), chunkLimits)) yield { kind: ChunkKind.QuarantinedTraits, records }
  for (const crashes of chunk(state.serverCrashes.values(), chunkLimits, countCrashCharacters)) yield { kind: ChunkKind.QuarantinedTraits, records: [], crashes }
  yield { kind: ChunkKind.End }
}

function countCrashCharacters ({ traits }: RecordedServerCrash): number {
  return countCharacters(traits.map(([trait]) => trait))
}

function * exportSubmission ({ submission, total, open, ended, results, progress, failures, failedRuns }: SubmissionRecord): Iterable<Chunk> {
  yield { kind: ChunkKind.Submission, submission, ended, total }
  for (const records of chunk(open.values(), chunkLimits, item => item.body.length)) yield { kind: ChunkKind.SubmittedItems, records }
  for (const records of chunk([...results], chunkLimits, result => result.output.length)) yield { kind: ChunkKind.ItemResults, records }
  for (const records of chunk(progress, chunkLimits, ([, saved]) => countCharacters(saved.data))) yield { kind: ChunkKind.ItemProgress, records }
  for (const records of chunk(failures, chunkLimits)) {
    yield { kind: ChunkKind.ItemFailures, records: records.map(([item, count]): FailureRecord => [item, count, failedRuns.get(item) ?? []]) }
  }
}

/** The job and the upload whose items are being imported. A job is complete when a chunk of another kind follows. */
interface PartialImport {
  job?: JobHeader | undefined
  items: JobItem[]
  uploadItems: Item[]
  submission?: PartialSubmission | undefined
}

/** A job of a gateway that is being imported. It is complete when the next job or the final chunk follows. */
interface PartialSubmission {
  readonly submission: SubmissionHeader
  readonly ended: boolean
  /** Number of items of the job; undefined in a snapshot of a version that exported all of them. */
  readonly total: number | undefined
  readonly items: SubmittedItem[]
  readonly results: StoredResult[]
  readonly progress: Map<string, SavedProgress>
  readonly failures: Map<string, number>
  readonly failedRuns: Map<string, readonly string[]>
}

function importChunk (state: ControlState, stateChunk: Chunk, pending: PartialImport): void {
  if (stateChunk.kind !== ChunkKind.JobItems) finishJob(state.jobs, pending)
  if (stateChunk.kind === ChunkKind.Submission || stateChunk.kind === ChunkKind.End) finishSubmission(state, pending)
  switch (stateChunk.kind) {
    case ChunkKind.Configuration:
      state.configuration = stateChunk.configuration
      state.jobs.grants = stateChunk.grants
      return
    case ChunkKind.Operations:
      for (const [id, operation] of stateChunk.records) retainOperation(state, id, operation)
      return
    case ChunkKind.Leases:
      for (const [backendServer, { holder, number }] of stateChunk.records) state.leases.set(backendServer, { holder, number })
      return
    case ChunkKind.Job:
      pending.job = stateChunk.job
      return
    case ChunkKind.JobItems:
      for (const record of stateChunk.records) pending.items.push(toJobItem(record))
      return
    case ChunkKind.Upload:
      pending.uploadItems = []
      state.jobs.uploads.set(stateChunk.upload.id, { ...stateChunk.upload, items: pending.uploadItems })
      return
    case ChunkKind.UploadItems:
      for (const item of stateChunk.records) pending.uploadItems.push(item)
      return
    case ChunkKind.LastClaims:
      for (const [backendServer, claim] of stateChunk.records) state.jobs.lastClaims.set(backendServer, claim)
      return
    case ChunkKind.Publication:
      state.publication = stateChunk.publication
      return
    case ChunkKind.Submission:
      pending.submission = { submission: stateChunk.submission, ended: stateChunk.ended, total: stateChunk.total, items: [], results: [], progress: new Map(), failures: new Map(), failedRuns: new Map() }
      return
    case ChunkKind.SubmittedItems:
      for (const item of stateChunk.records) pending.submission?.items.push(item)
      return
    case ChunkKind.ItemResults:
      for (const result of stateChunk.records) pending.submission?.results.push(result)
      return
    case ChunkKind.ItemProgress:
      for (const [item, saved] of stateChunk.records) pending.submission?.progress.set(item, saved)
      return
    case ChunkKind.ItemFailures:
      for (const [item, count, runs = []] of stateChunk.records) {
        pending.submission?.failures.set(item, count)
        if (runs.length > 0) pending.submission?.failedRuns.set(item, runs)
      }
      return
    case ChunkKind.QuarantinedTraits:
      for (const record of stateChunk.records) state.quarantinedTraits.set(record.trait, record)
      for (const crash of stateChunk.crashes ?? []) state.serverCrashes.set(crash.key, crash)
      return
    case ChunkKind.End: return
    default: assertNever(stateChunk)
  }
}

function finishJob (jobs: Jobs, pending: PartialImport): void {
  const { job: header, items } = pending
  if (header === undefined) return
  pending.job = undefined
  pending.items = []
  const job: Job = { ...header, items, waiting: createWaitingItems(items), inFlight: 0, done: 0, failed: 0, unknown: 0 }
  jobs.jobs.set(job.id, job)
  jobs.byKey.set(createJobIdentity(job.account, job.key), job.id)
  for (const [position, item] of items.entries()) {
    if (item.ending !== undefined) countEnding(job, item.ending)
    if (item.holder === undefined) continue
    job.inFlight++
    addHeldItem(jobs, item.holder, { job: job.id, position, grant: item.grant })
  }
  countOpenItems(jobs, job)
  rescheduleJob(jobs.schedule, job)
  if (job.inFlight > 0) adjustInFlight(jobs.schedule, job.account, job.inFlight)
}

function finishSubmission (state: ControlState, pending: PartialImport): void {
  if (pending.submission === undefined) return
  const { submission, ended, total, items, results, progress, failures, failedRuns } = pending.submission
  pending.submission = undefined
  const keptResults = state.submissions.compressesResults ? results : results.map(result => ({ ...result, output: readOutput(result.output) }))
  restoreSubmission(state.submissions, items, { submission, total: total ?? items.length, ended, results: keptResults, progress, failures, failedRuns })
}

function toHeader (job: Job): JobHeader {
  const { id, number, account, key, route, digest, due, cancelled, lastGrant } = job
  return { id, number, account, key, route, digest, due, cancelled, lastGrant }
}

function toItemRecord (entry: JobItem): ItemRecord {
  const { item, phase, grant, holder, attempts, partial, offset, ending, result } = entry
  return {
    item,
    phase,
    grant,
    ...(holder === undefined ? {} : { holder }),
    ...(attempts === 0 ? {} : { attempts }),
    ...(partial === '' ? {} : { partial }),
    ...(offset === 0 ? {} : { offset }),
    ...(ending === undefined ? {} : { ending }),
    ...(result === '' ? {} : { result })
  }
}

function toJobItem (record: ItemRecord): JobItem {
  return { ...createJobItem(record.item), ...record }
}

function toLeaseRecord ({ holder, number }: Lease): LeaseRecord {
  return holder === undefined ? { number } : { holder, number }
}

function countItemCharacters (item: Item): number {
  return item.name.length + item.input.length
}

function countJobItemCharacters (entry: JobItem): number {
  return countItemCharacters(entry.item) + entry.partial.length + entry.result.length
}

function * mapValues<Key, Value, Mapped> (entries: Iterable<readonly [Key, Value]>, map: (value: Value) => Mapped): Iterable<readonly [Key, Mapped]> {
  for (const [key, value] of entries) yield [key, map(value)]
}
