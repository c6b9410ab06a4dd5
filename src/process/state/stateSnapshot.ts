/**
 * Exports the durable state in parts and imports it again. What can be derived (waiting items, held grants, the
 * schedule, counters) is not exported but built again, so it can't disagree with the records.
 * @module
 */
import type { Configuration } from '../../version/tables.ts'
import { assert, assertNever } from '../program/assert.ts'
import { chunk, type ChunkLimits, countCharacters } from '../program/chunk.ts'
import type { Ending, Item } from './commands.ts'
import { type ControlState, createControlState } from './controlState.ts'
import { countEnding, createItem, hold, identityOf, type Jobs, type LastClaim, type Upload } from '../jobs/jobRecords.ts'
import { ItemPhase, type Job, type JobHeader, type JobItem } from '../jobs/job.ts'
import { countInFlight, placeJob } from '../jobs/jobSchedule.ts'
import type { Lease } from './leases.ts'
import { keepOperation, type Operation } from './operations.ts'
import type { Publication } from '../../version/gatewayTables.ts'
import { type ItemResult, restoreSubmission, type SubmissionRecord } from '../jobs/submissions.ts'
import type { SavedProgress, Submission, SubmittedItem } from '../jobs/submission.ts'
import { createWaitingItems } from '../jobs/waitingItems.ts'

/** A part of the state; msgpack can carry it. */
export type StateChunk = object

/** Size of a part: it has to fit into one record of the log and into one message between hosts. */
const partLimits: ChunkLimits = { records: 200, characters: 128 * 1024 }

/** Kinds of part. */
const PartKind = {
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
  End: 'end'
} as const

/** An item of a job; what has its first value is left out. */
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

type Part =
  | { readonly kind: typeof PartKind.Configuration, readonly configuration: Configuration, readonly grants: number }
  | { readonly kind: typeof PartKind.Operations, readonly records: ReadonlyArray<readonly [string, Operation]> }
  | { readonly kind: typeof PartKind.Leases, readonly records: ReadonlyArray<readonly [string, LeaseRecord]> }
  | { readonly kind: typeof PartKind.Job, readonly job: JobHeader }
  | { readonly kind: typeof PartKind.JobItems, readonly records: readonly ItemRecord[] }
  | { readonly kind: typeof PartKind.Upload, readonly upload: UploadHeader }
  | { readonly kind: typeof PartKind.UploadItems, readonly records: readonly Item[] }
  | { readonly kind: typeof PartKind.LastClaims, readonly records: ReadonlyArray<readonly [string, LastClaim]> }
  | { readonly kind: typeof PartKind.Publication, readonly publication: Publication }
  | { readonly kind: typeof PartKind.Submission, readonly submission: Omit<Submission, 'items'>, readonly ended: boolean }
  | { readonly kind: typeof PartKind.SubmittedItems, readonly records: readonly SubmittedItem[] }
  | { readonly kind: typeof PartKind.ItemResults, readonly records: readonly ItemResult[] }
  | { readonly kind: typeof PartKind.ItemProgress, readonly records: ReadonlyArray<readonly [string, SavedProgress]> }
  | { readonly kind: typeof PartKind.End }

interface LeaseRecord {
  readonly holder?: string
  readonly number: number
}

/**
 * Exports the state. The parts are made one by one while they are read: no command may be applied before the last one.
 * Parts that were read don't change with the state.
 * @param state - the state
 * @returns its parts, each small enough for one record
 */
export function * exportState (state: ControlState): Iterable<StateChunk> {
  yield * exportParts(state)
}

/**
 * Imports a state.
 * @param parts - the parts in the order of the export
 * @returns the state
 * @throws Error when the last part is missing
 */
export function importState (parts: Iterable<StateChunk>): ControlState {
  const state = createControlState()
  const open: OpenPart = { items: [], uploadItems: [] }
  let ended = false
  for (const part of parts as Iterable<Part>) {
    if (part.kind === PartKind.End) ended = true
    importPart(state, part, open)
  }
  assert(ended, 'the last part of the exported state is missing')
  return state
}

function * exportParts (state: ControlState): Iterable<Part> {
  const { configuration, operations, leases, jobs } = state
  yield { kind: PartKind.Configuration, configuration, grants: jobs.grants }
  for (const records of chunk(operations, partLimits)) yield { kind: PartKind.Operations, records }
  for (const records of chunk(mapValues(leases, toLeaseRecord), partLimits)) yield { kind: PartKind.Leases, records }
  for (const job of jobs.jobs.values()) {
    yield { kind: PartKind.Job, job: toHeader(job) }
    for (const records of chunk(job.items, partLimits, sizeOfJobItem)) yield { kind: PartKind.JobItems, records: records.map(toItemRecord) }
  }
  for (const upload of jobs.uploads.values()) {
    const { items, ...header } = upload
    yield { kind: PartKind.Upload, upload: header }
    for (const records of chunk(items, partLimits, sizeOfItem)) yield { kind: PartKind.UploadItems, records }
  }
  for (const records of chunk(jobs.lastClaims, partLimits, ([, claim]) => claim.grants.length * 100)) yield { kind: PartKind.LastClaims, records }
  if (state.publication !== undefined) yield { kind: PartKind.Publication, publication: state.publication }
  for (const record of state.submissions.jobs.values()) yield * exportSubmission(record)
  yield { kind: PartKind.End }
}

function * exportSubmission ({ submission: { items, ...submission }, ended, results, progress }: SubmissionRecord): Iterable<Part> {
  yield { kind: PartKind.Submission, submission, ended }
  for (const records of chunk(items, partLimits, item => item.body.length)) yield { kind: PartKind.SubmittedItems, records }
  for (const records of chunk([...results], partLimits, result => result.output.length)) yield { kind: PartKind.ItemResults, records }
  for (const records of chunk(progress, partLimits, ([, saved]) => countCharacters(saved.data))) yield { kind: PartKind.ItemProgress, records }
}

/** The job or upload whose items are being read; it is complete when the next one begins. */
interface OpenPart {
  job?: JobHeader | undefined
  items: JobItem[]
  uploadItems: Item[]
  submission?: OpenSubmission | undefined
}

/** A job of the gateway that is being read; it is complete when another part begins. */
interface OpenSubmission {
  readonly submission: Omit<Submission, 'items'>
  readonly ended: boolean
  readonly items: SubmittedItem[]
  readonly results: ItemResult[]
  readonly progress: Map<string, SavedProgress>
}

function importPart (state: ControlState, part: Part, open: OpenPart): void {
  if (part.kind !== PartKind.JobItems) finishJob(state.jobs, open)
  if (part.kind === PartKind.Submission || part.kind === PartKind.End) finishSubmission(state, open)
  switch (part.kind) {
    case PartKind.Configuration:
      state.configuration = part.configuration
      state.jobs.grants = part.grants
      return
    case PartKind.Operations:
      for (const [id, operation] of part.records) keepOperation(state, id, operation)
      return
    case PartKind.Leases:
      for (const [backendServer, { holder, number }] of part.records) state.leases.set(backendServer, { holder, number })
      return
    case PartKind.Job:
      open.job = part.job
      return
    case PartKind.JobItems:
      for (const record of part.records) open.items.push(toJobItem(record))
      return
    case PartKind.Upload:
      open.uploadItems = []
      state.jobs.uploads.set(part.upload.id, { ...part.upload, items: open.uploadItems })
      return
    case PartKind.UploadItems:
      for (const item of part.records) open.uploadItems.push(item)
      return
    case PartKind.LastClaims:
      for (const [backendServer, claim] of part.records) state.jobs.lastClaims.set(backendServer, claim)
      return
    case PartKind.Publication:
      state.publication = part.publication
      return
    case PartKind.Submission:
      open.submission = { submission: part.submission, ended: part.ended, items: [], results: [], progress: new Map() }
      return
    case PartKind.SubmittedItems:
      for (const item of part.records) open.submission?.items.push(item)
      return
    case PartKind.ItemResults:
      for (const result of part.records) open.submission?.results.push(result)
      return
    case PartKind.ItemProgress:
      for (const [item, saved] of part.records) open.submission?.progress.set(item, saved)
      return
    case PartKind.End: return
    default: assertNever(part)
  }
}

function finishJob (jobs: Jobs, open: OpenPart): void {
  const { job: header, items } = open
  if (header === undefined) return
  open.job = undefined
  open.items = []
  const job: Job = { ...header, items, waiting: createWaitingItems(items), inFlight: 0, done: 0, failed: 0, unknown: 0 }
  jobs.jobs.set(job.id, job)
  jobs.byKey.set(identityOf(job.account, job.key), job.id)
  for (const [position, item] of items.entries()) {
    if (item.ending !== undefined) countEnding(job, item.ending)
    if (item.holder === undefined) continue
    job.inFlight++
    hold(jobs, item.holder, { job: job.id, position, grant: item.grant })
  }
  placeJob(jobs.schedule, job)
  if (job.inFlight > 0) countInFlight(jobs.schedule, job.account, job.inFlight)
}

function finishSubmission (state: ControlState, open: OpenPart): void {
  if (open.submission === undefined) return
  const { submission, ended, items, results, progress } = open.submission
  open.submission = undefined
  restoreSubmission(state.submissions, { submission: { ...submission, items }, ended, results, progress })
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
  return { ...createItem(record.item), ...record }
}

function toLeaseRecord ({ holder, number }: Lease): LeaseRecord {
  return holder === undefined ? { number } : { holder, number }
}

function sizeOfItem (item: Item): number {
  return item.name.length + item.input.length
}

function sizeOfJobItem (entry: JobItem): number {
  return sizeOfItem(entry.item) + entry.partial.length + entry.result.length
}

function * mapValues<Key, Value, Mapped> (entries: Iterable<readonly [Key, Value]>, map: (value: Value) => Mapped): Iterable<readonly [Key, Mapped]> {
  for (const [key, value] of entries) yield [key, map(value)]
}
