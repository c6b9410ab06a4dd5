/**
 * Jobs, their items, grants and results, as applied from the replicated log.
 * @module
 */
import {
  type Command, type CommandKind, type Completion, done, Ending, type Grant, type GrantReference, type Holder, type Item,
  notFound, type Outcome, OutcomeKind, type Return
} from './commands.ts'
import { type ItemResult, JobPhase, type JobStatus } from './queries.ts'
import type { Configuration } from '../version/tables.ts'
import { findRoute } from '../version/tables.ts'

/** Attempts that ran before an item ends as failed. */
export const attemptLimit = 3

/** Every so many grants the job that waited longest goes first, so that no job starves. */
export const starvationInterval = 16

/** Where an item stands. */
export const ItemPhase = { Waiting: 'waiting', Granted: 'granted', Started: 'started', Ended: 'ended' } as const
export type ItemPhase = typeof ItemPhase[keyof typeof ItemPhase]

/** An item of a sealed job. */
export interface JobItem {
  readonly item: Item
  phase: ItemPhase
  grant: number
  holder: Holder | undefined
  attempts: number
  partial: string
  offset: number
  ending: Ending | undefined
  result: string
}

/** A sealed job. */
export interface Job {
  readonly id: string
  readonly account: string
  readonly key: string
  readonly route: string
  readonly digest: string
  readonly due: number
  readonly items: JobItem[]
  cancelled: boolean
  /** Positions of waiting items, for each priority. */
  readonly waiting: number[][]
  inFlight: number
  done: number
  failed: number
  unknown: number
  /** Number of the last grant made from this job. */
  lastGrant: number
}

/** A job that is still being uploaded. */
export interface Upload {
  readonly id: string
  readonly account: string
  readonly key: string
  readonly route: string
  readonly due: number
  readonly items: Item[]
  nextSequence: number
  /** Time of day of the last chunk, in milliseconds since the epoch. */
  touchedAt: number
}

/** The last claim made under a lease, kept so that a claim sent again gets the same grants. */
export interface LastClaim {
  readonly lease: number
  readonly sequence: number
  readonly grants: readonly Grant[]
}

/** All jobs and uploads. */
export interface Jobs {
  readonly jobs: Map<string, Job>
  readonly byKey: Map<string, string>
  readonly uploads: Map<string, Upload>
  readonly lastClaims: Map<string, LastClaim>
  /** Jobs with waiting items, by route. */
  readonly open: Map<string, Set<string>>
  /** Items granted to each holder. */
  readonly held: Map<Holder, Map<string, GrantReference>>
  grants: number
}

type CommandOf<Kind extends CommandKind> = Extract<Command, { readonly kind: Kind }>

/**
 * Creates the state without jobs.
 * @returns the state
 */
export function createJobs (): Jobs {
  return { jobs: new Map(), byKey: new Map(), uploads: new Map(), lastClaims: new Map(), open: new Map(), held: new Map(), grants: 0 }
}

/**
 * Opens an upload. The same upload opened again changes nothing.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function openUpload (state: Jobs, command: CommandOf<'open upload'>): Outcome {
  if (state.uploads.has(command.upload)) return done
  const { upload: id, account, key, route, due, time } = command
  state.uploads.set(id, { id, account, key, route, due, items: [], nextSequence: 0, touchedAt: time })
  return done
}

/**
 * Appends a chunk to an upload. A chunk sent again is recognised by its sequence number.
 * @param state - all jobs
 * @param command - the command
 * @returns done, a conflict when a chunk is missing, or not found
 */
export function appendItems (state: Jobs, command: CommandOf<'append items'>): Outcome {
  const upload = state.uploads.get(command.upload)
  if (upload === undefined) return notFound
  if (command.sequence < upload.nextSequence) return done
  if (command.sequence > upload.nextSequence) return { kind: OutcomeKind.Conflict, text: 'a chunk is missing' }
  for (const item of command.items) upload.items.push(item)
  upload.nextSequence++
  upload.touchedAt = command.time
  return done
}

/**
 * Makes a job of an upload. The same account and key with the same digest yield the job that exists.
 * @param state - all jobs
 * @param command - the command
 * @returns the job, a conflict when the key is used with other content, or not found
 */
export function seal (state: Jobs, command: CommandOf<'seal'>): Outcome {
  const sealed = state.jobs.get(command.upload)
  if (sealed !== undefined) return { kind: OutcomeKind.Job, job: sealed.id }
  const upload = state.uploads.get(command.upload)
  if (upload === undefined) return notFound
  if (upload.items.length !== command.count) return { kind: OutcomeKind.Conflict, text: 'items of the upload are missing' }
  state.uploads.delete(upload.id)
  const identity = keyOf(upload.account, upload.key)
  const earlier = state.jobs.get(state.byKey.get(identity) ?? '')
  if (earlier !== undefined) {
    if (earlier.digest === command.digest) return { kind: OutcomeKind.Job, job: earlier.id }
    return { kind: OutcomeKind.Conflict, text: 'the key is already used with other content' }
  }
  const job = createJob(upload, command.digest)
  state.jobs.set(job.id, job)
  state.byKey.set(identity, job.id)
  if (job.items.length > 0) openFor(state, job)
  return { kind: OutcomeKind.Job, job: job.id }
}

/**
 * Discards an upload that broke off.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function discardUpload (state: Jobs, command: CommandOf<'discard upload'>): Outcome {
  state.uploads.delete(command.upload)
  return done
}

/**
 * Cancels a job. Items that wait or are granted never run again; finished results stay.
 * @param state - all jobs
 * @param command - the command
 * @returns done or not found
 */
export function cancelJob (state: Jobs, command: CommandOf<'cancel job'>): Outcome {
  const job = state.jobs.get(command.job)
  if (job === undefined) return notFound
  job.cancelled = true
  for (const positions of job.waiting) positions.length = 0
  close(state, job)
  return done
}

/**
 * Grants waiting items to the holder of a lease. A claim sent again gets the same grants.
 * @param state - all jobs
 * @param configuration - the version in force in the log
 * @param command - the command; the lease was checked before
 * @returns the grants
 */
export function claim (state: Jobs, configuration: Configuration, command: CommandOf<'claim'>): Outcome {
  const last = state.lastClaims.get(command.backendServer)
  if (last?.lease === command.lease && last.sequence === command.sequence) {
    return { kind: OutcomeKind.Grants, grants: last.grants }
  }
  const grants: Grant[] = []
  while (grants.length < command.count) {
    const job = chooseJob(state, configuration, command.pool)
    if (job === undefined) break
    grants.push(grantNext(state, job, command.holder))
  }
  state.lastClaims.set(command.backendServer, { lease: command.lease, sequence: command.sequence, grants })
  return { kind: OutcomeKind.Grants, grants }
}

/**
 * Records that items are about to be sent. An item is accepted once for each grant.
 * @param state - all jobs
 * @param command - the command
 * @returns for each item whether it may be sent
 */
export function start (state: Jobs, command: CommandOf<'start'>): Outcome {
  const accepted: boolean[] = []
  for (const reference of command.items) {
    const found = findGranted(state, reference)
    if (found === undefined || found.job.cancelled || found.item.phase !== ItemPhase.Granted) {
      accepted.push(false)
      continue
    }
    found.item.phase = ItemPhase.Started
    accepted.push(true)
  }
  return { kind: OutcomeKind.Started, accepted }
}

/**
 * Ends items. The first completion under the current grant stands; any other changes nothing.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function complete (state: Jobs, command: CommandOf<'complete'>): Outcome {
  for (const completion of command.completions) endItem(state, completion)
  return done
}

/**
 * Returns granted items to the queue with their progress.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function giveBack (state: Jobs, command: CommandOf<'give back'>): Outcome {
  for (const returned of command.items) returnItem(state, returned)
  return done
}

/**
 * Takes every item back from a holder that is gone. Started items of it end as unknown, since they may have run.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function expireHolder (state: Jobs, command: CommandOf<'expire holder'>): Outcome {
  const held = state.held.get(command.holder)
  if (held === undefined) return done
  for (const reference of [...held.values()]) {
    const found = findGranted(state, reference)
    if (found === undefined) continue
    if (found.item.phase === ItemPhase.Started) {
      endItem(state, { ...reference, ending: Ending.Unknown, result: 'the entry host was lost after the item had been started' })
      continue
    }
    returnItem(state, { ...reference, partial: found.item.partial, offset: found.item.offset, attempted: false })
  }
  state.held.delete(command.holder)
  return done
}

/**
 * Describes a job.
 * @param job - the job
 * @returns its status
 */
export function describeJob (job: Job): JobStatus {
  const ended = job.done + job.failed + job.unknown
  const phase = job.cancelled ? JobPhase.Cancelled : ended === job.items.length ? JobPhase.Finished : JobPhase.Running
  return {
    job: job.id,
    account: job.account,
    key: job.key,
    route: job.route,
    phase,
    items: job.items.length,
    done: job.done,
    failed: job.failed,
    unknown: job.unknown,
    inFlight: job.inFlight,
    due: job.due
  }
}

/**
 * Lists finished items in order of their position.
 * @param job - the job
 * @param after - positions up to this one are left out; -1 for all
 * @param limit - the most results
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

function keyOf (account: string, key: string): string {
  return JSON.stringify([account, key])
}

function createJob (upload: Upload, digest: string): Job {
  const items: JobItem[] = []
  const waiting: number[][] = [[], []]
  for (const [position, item] of upload.items.entries()) {
    items.push({
      item, phase: ItemPhase.Waiting, grant: 0, holder: undefined, attempts: 0, partial: '', offset: 0, ending: undefined, result: ''
    })
    waiting[item.priority]?.push(position)
  }
  // Positions are taken from the end of each list.
  for (const positions of waiting) positions.reverse()
  const { id, account, key, route, due } = upload
  return { id, account, key, route, digest, due, items, cancelled: false, waiting, inFlight: 0, done: 0, failed: 0, unknown: 0, lastGrant: 0 }
}

function openFor (state: Jobs, job: Job): void {
  const jobs = state.open.get(job.route) ?? new Set<string>()
  state.open.set(job.route, jobs)
  jobs.add(job.id)
}

function close (state: Jobs, job: Job): void {
  state.open.get(job.route)?.delete(job.id)
}

function chooseJob (state: Jobs, configuration: Configuration, pool: string): Job | undefined {
  const byStarvation = (state.grants + 1) % starvationInterval === 0
  const inFlight = new Map<string, number>()
  let best: Job | undefined
  for (const [route, ids] of state.open) {
    if (findRoute(configuration, route)?.pool !== pool) continue
    for (const id of ids) {
      const job = state.jobs.get(id)
      if (job === undefined) continue
      inFlight.set(job.account, (inFlight.get(job.account) ?? 0) + job.inFlight)
    }
  }
  for (const [route, ids] of state.open) {
    if (findRoute(configuration, route)?.pool !== pool) continue
    for (const id of ids) {
      const job = state.jobs.get(id)
      if (job === undefined) continue
      if (best === undefined || goesBefore(job, best, inFlight, byStarvation)) best = job
    }
  }
  return best
}

function goesBefore (job: Job, other: Job, inFlight: ReadonlyMap<string, number>, byStarvation: boolean): boolean {
  if (byStarvation && job.lastGrant !== other.lastGrant) return job.lastGrant < other.lastGrant
  const priority = firstPriority(job) - firstPriority(other)
  if (priority !== 0) return priority < 0
  if (job.due !== other.due) return job.due < other.due
  return (inFlight.get(job.account) ?? 0) < (inFlight.get(other.account) ?? 0)
}

function firstPriority (job: Job): number {
  for (const [priority, positions] of job.waiting.entries()) {
    if (positions.length > 0) return priority
  }
  return job.waiting.length
}

function grantNext (state: Jobs, job: Job, holder: Holder): Grant {
  const position = job.waiting[firstPriority(job)]?.pop()
  const entry = position === undefined ? undefined : job.items[position]
  if (position === undefined || entry === undefined) throw new Error(`job ${job.id} is open without waiting items`)
  if (firstPriority(job) === job.waiting.length) close(state, job)
  state.grants++
  entry.phase = ItemPhase.Granted
  entry.grant = state.grants
  entry.holder = holder
  job.inFlight++
  job.lastGrant = state.grants
  hold(state, holder, { job: job.id, position, grant: entry.grant })
  return {
    job: job.id,
    position,
    grant: entry.grant,
    route: job.route,
    account: job.account,
    item: entry.item,
    partial: entry.partial,
    offset: entry.offset,
    attempts: entry.attempts
  }
}

function hold (state: Jobs, holder: Holder, reference: GrantReference): void {
  const held = state.held.get(holder) ?? new Map<string, GrantReference>()
  state.held.set(holder, held)
  held.set(`${reference.job}/${reference.position}`, reference)
}

function findGranted (state: Jobs, reference: GrantReference): { readonly job: Job, readonly item: JobItem } | undefined {
  const job = state.jobs.get(reference.job)
  const item = job?.items[reference.position]
  if (job === undefined || item === undefined) return undefined
  if (item.grant !== reference.grant) return undefined
  if (item.phase !== ItemPhase.Granted && item.phase !== ItemPhase.Started) return undefined
  return { job, item }
}

function release (state: Jobs, job: Job, item: JobItem, position: number): void {
  job.inFlight--
  if (item.holder !== undefined) {
    const held = state.held.get(item.holder)
    held?.delete(`${job.id}/${position}`)
    if (held?.size === 0) state.held.delete(item.holder)
  }
  item.holder = undefined
}

function endItem (state: Jobs, completion: Completion): void {
  const found = findGranted(state, completion)
  if (found === undefined) return
  const { job, item } = found
  release(state, job, item, completion.position)
  item.phase = ItemPhase.Ended
  item.ending = completion.ending
  item.result = completion.result
  item.partial = ''
  if (completion.ending === Ending.Done) job.done++
  if (completion.ending === Ending.Failed) job.failed++
  if (completion.ending === Ending.Unknown) job.unknown++
}

function returnItem (state: Jobs, returned: Return): void {
  const found = findGranted(state, returned)
  if (found === undefined) return
  const { job, item } = found
  const attempts = item.attempts + (returned.attempted ? 1 : 0)
  if (attempts >= attemptLimit) {
    endItem(state, { ...returned, ending: Ending.Failed, result: `gave up after ${attempts} attempts` })
    return
  }
  release(state, job, item, returned.position)
  item.attempts = attempts
  item.phase = ItemPhase.Waiting
  item.partial = returned.partial
  item.offset = returned.offset
  if (job.cancelled) return
  job.waiting[item.item.priority]?.push(returned.position)
  openFor(state, job)
}
