/**
 * Records of jobs, items, uploads and claims, and the indexes derived from them.
 * @module
 */
import { ItemPhase, type Job, type JobItem } from './job.ts'
import { Ending, type GrantReference, type Holder, type Item } from '../state/commands.ts'
import { createSchedule, type Schedule } from './jobSchedule.ts'
import { type ItemResult, JobPhase, type JobStatus } from '../state/queries.ts'

/** A job that is still being uploaded. */
export interface Upload {
  readonly id: string
  readonly account: string
  readonly key: string
  readonly route: string
  /** Wall-clock time by which the job is due, in milliseconds since the epoch. */
  readonly due: number
  readonly items: Item[]
  /** Sequence number of the next chunk. */
  nextSequence: number
}

/** The last claim made under a lease, retained so that a retried claim gets the same grants. */
export interface LastClaim {
  readonly lease: number
  readonly sequence: number
  readonly grants: readonly GrantReference[]
}

/** All jobs and uploads, with their indexes. */
export interface Jobs {
  readonly jobs: Map<string, Job>
  /** Ids of jobs by account and key. */
  readonly byKey: Map<string, string>
  readonly uploads: Map<string, Upload>
  /** By address of the backend server. */
  readonly lastClaims: Map<string, LastClaim>
  /** Items granted to each holder. */
  readonly held: Map<Holder, Map<string, GrantReference>>
  readonly schedule: Schedule
  /** Number of the last grant. */
  grants: number
  /** Size of the items of sealed jobs that have not ended, except for those that wait in cancelled jobs, in bytes. */
  openItemBytes: number
}

/**
 * Creates the state without jobs.
 * @returns the state
 */
export function createJobs (): Jobs {
  return {
    jobs: new Map(), byKey: new Map(), uploads: new Map(), lastClaims: new Map(), held: new Map(), schedule: createSchedule(), grants: 0, openItemBytes: 0
  }
}

/**
 * Creates the key that identifies a job by account and caller's key.
 * @param account - the account
 * @param key - the caller's key
 * @returns the key for `Jobs.byKey`
 */
export function createJobIdentity (account: string, key: string): string {
  return JSON.stringify([account, key])
}

/**
 * Creates the record of an item that has not been granted.
 * @param item - the item as submitted
 * @returns the record
 */
export function createJobItem (item: Item): JobItem {
  return { item, phase: ItemPhase.Waiting, grant: 0, holder: undefined, attempts: 0, partial: '', offset: 0, ending: undefined, result: '' }
}

/** Size of an item beside its texts, in bytes. */
const bytesPerItem = 256

/**
 * Returns the size of items.
 * @param items - the items
 * @returns the approximate size, in bytes
 */
export function countItemBytes (items: Iterable<Item>): number {
  let bytes = 0
  for (const { name, input } of items) bytes += bytesPerItem + name.length + input.length
  return bytes
}

/**
 * Adds the items of a sealed job that may still run to the size of open items.
 * @param state - all jobs
 * @param job - the job, which is new
 */
export function countOpenItems (state: Jobs, job: Job): void {
  for (const { item, ending, phase } of job.items) {
    if (ending === undefined && !(job.cancelled && phase === ItemPhase.Waiting)) state.openItemBytes += countItemBytes([item])
  }
}

/**
 * Drops the input of an item that will not run any more.
 * @param state - all jobs
 * @param entry - the item
 */
export function releaseInput (state: Jobs, entry: JobItem): void {
  state.openItemBytes -= countItemBytes([entry.item])
  entry.item = { ...entry.item, input: '' }
}

/**
 * Records that a holder holds an item.
 * @param state - all jobs
 * @param holder - the holder
 * @param reference - the item and its grant
 */
export function addHeldItem (state: Jobs, holder: Holder, reference: GrantReference): void {
  const held = state.held.get(holder) ?? new Map<string, GrantReference>()
  state.held.set(holder, held)
  held.set(createHeldKey(reference.job, reference.position), reference)
}

/**
 * Records that a holder no longer holds an item.
 * @param state - all jobs
 * @param holder - the holder
 * @param job - id of the job
 * @param position - position of the item
 */
export function removeHeldItem (state: Jobs, holder: Holder, job: string, position: number): void {
  const held = state.held.get(holder)
  held?.delete(createHeldKey(job, position))
  if (held?.size === 0) state.held.delete(holder)
}

/**
 * Adds an ended item to the counters of its job.
 * @param job - the job
 * @param ending - how it ended
 */
export function countEnding (job: Job, ending: Ending): void {
  if (ending === Ending.Done) job.done++
  if (ending === Ending.Failed) job.failed++
  if (ending === Ending.Unknown) job.unknown++
}

/**
 * Creates the status of a job.
 * @param job - the job
 * @returns the status
 */
export function describeJob (job: Job): JobStatus {
  const { id, account, key, route, done, failed, unknown, inFlight, due } = job
  const isFinished = done + failed + unknown === job.items.length
  const phase = job.cancelled ? JobPhase.Cancelled : isFinished ? JobPhase.Finished : JobPhase.Running
  return { job: id, account, key, route, phase, items: job.items.length, done, failed, unknown, inFlight, due }
}

/**
 * Lists finished items in order of their position.
 * @param job - the job
 * @param after - position after which the results begin; -1 for all
 * @param limit - maximum number of results
 * @returns the results
 */
export function listResults (job: Job, after: number, limit: number): ItemResult[] {
  const results: ItemResult[] = []
  for (let position = after + 1; position < job.items.length && results.length < limit; position++) {
    const item = job.items[position]
    if (item?.ending === undefined) continue
    results.push({ position, name: item.item.name, ending: item.ending, result: item.result })
  }
  return results
}

function createHeldKey (job: string, position: number): string {
  return `${job}/${position}`
}
