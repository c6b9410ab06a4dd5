/**
 * Jobs of the gateway: items that are opaque requests, their results in stable positions, and the tokens that wait on
 * each route. Applied from the replicated log.
 * @module
 */
import type { SavedProgress, Submission, SubmittedItem } from './submission.ts'
import { type CommandOf, done, Ending, notFound, type Outcome, OutcomeKind } from '../state/commands.ts'

/** The end of an item. */
export interface ItemResult {
  readonly item: string
  readonly ending: Ending
  readonly output: string
}

/** A job with its results. */
export interface SubmissionRecord {
  readonly submission: Submission
  /** Results in the order in which they were recorded; a position never changes. */
  readonly results: ItemResult[]
  /** Items without a result, by id. */
  readonly open: Map<string, SubmittedItem>
  /** What open items have produced, by id. */
  readonly progress: Map<string, SavedProgress>
  ended: boolean
}

/** All jobs of the gateway. */
export interface Submissions {
  readonly jobs: Map<string, SubmissionRecord>
  /** Waiting tokens by host and route. */
  readonly waitingTokens: Map<string, number>
}

/**
 * Creates the state before the first job.
 * @returns the state
 */
export function createSubmissions (): Submissions {
  return { jobs: new Map(), waitingTokens: new Map() }
}

/**
 * Accepts a job once. A repeat is accepted again and changes nothing.
 * @param state - the jobs
 * @param command - the command
 * @returns the job, or a limit when its tokens do not fit
 */
export function submit (state: Submissions, command: CommandOf<'submit'>): Outcome {
  const { submission, tokenLimit, time, giveUpMs } = command
  if (state.jobs.has(submission.id)) return { kind: OutcomeKind.Job, job: submission.id }
  let tokens = 0
  for (const item of submission.items) tokens += item.tokens
  const key = routeKey(submission)
  const waiting = state.waitingTokens.get(key) ?? 0
  if (tokenLimit > 0 && waiting + tokens > tokenLimit) {
    return { kind: OutcomeKind.Limit, text: `${waiting} tokens wait on route ${submission.route}, ${tokens} more exceed ${tokenLimit}` }
  }
  const accepted: Submission = { ...submission, acceptedAt: time, giveUpAt: giveUpMs > 0 ? time + giveUpMs : Infinity }
  restoreSubmission(state, { submission: accepted, results: [], progress: new Map(), ended: false })
  return { kind: OutcomeKind.Job, job: submission.id }
}

/**
 * Puts a job in place with its results and the progress of its items.
 * @param state - the jobs
 * @param saved - the job
 */
export function restoreSubmission (state: Submissions, saved: Omit<SubmissionRecord, 'open'>): void {
  const open = new Map<string, SubmittedItem>()
  for (const item of saved.submission.items) open.set(item.id, item)
  for (const result of saved.results) open.delete(result.item)
  const record: SubmissionRecord = { ...saved, open }
  state.jobs.set(saved.submission.id, record)
  if (saved.ended) return
  for (const item of open.values()) addTokens(state, saved.submission, item.tokens)
}

/**
 * Records ends of items. The first end of an item stands.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function finishItems (state: Submissions, command: CommandOf<'finish items'>): Outcome {
  for (const { job, item: id, ending, output } of command.results) {
    const record = state.jobs.get(job)
    const item = record?.open.get(id)
    if (record === undefined || item === undefined) continue
    record.open.delete(id)
    record.progress.delete(id)
    record.results.push({ item: id, ending, output })
    if (!record.ended) addTokens(state, record.submission, -item.tokens)
  }
  return done
}

/**
 * Saves progress of items. A piece that comes again, or in part again, adds only what is new; one that leaves a gap adds
 * nothing.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function saveProgress (state: Submissions, command: CommandOf<'save progress'>): Outcome {
  for (const { job, item, from, data, lastEvent } of command.pieces) {
    const record = state.jobs.get(job)
    if (record === undefined || record.ended || !record.open.has(item)) continue
    const saved = record.progress.get(item)?.data ?? []
    if (from > saved.length || from + data.length <= saved.length) continue
    record.progress.set(item, { data: [...saved, ...data.slice(saved.length - from)], lastEvent })
  }
  return done
}

/**
 * Ends a job: its open items are not run any more.
 * @param state - the jobs
 * @param command - the command
 * @returns done, or not found
 */
export function endSubmission (state: Submissions, command: CommandOf<'end submission'>): Outcome {
  const record = state.jobs.get(command.job)
  if (record === undefined) return notFound
  if (record.ended) return done
  record.ended = true
  record.progress.clear()
  for (const item of record.open.values()) addTokens(state, record.submission, -item.tokens)
  return done
}

/**
 * Forgets old jobs that have no open item.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function purgeSubmissions (state: Submissions, command: CommandOf<'purge submissions'>): Outcome {
  for (const id of command.jobs) {
    const record = state.jobs.get(id)
    if (record !== undefined && isSubmissionClosed(record)) state.jobs.delete(id)
  }
  return done
}

/**
 * Tells whether nothing of a job remains to be run.
 * @param record - the job
 * @returns whether it has ended or every item has a result
 */
export function isSubmissionClosed (record: SubmissionRecord): boolean {
  return record.ended || record.open.size === 0
}

/** Results of a job from a position on. */
export interface ResultPage {
  /** Number of items. */
  readonly total: number
  readonly next: number
  readonly results: readonly ItemResult[]
}

/** Most characters of outputs on one page, one result at least. */
const pageCharacters = 900_000

/**
 * Reads results.
 * @param record - the job
 * @param after - position of the first result
 * @returns the results from there on, as many as one page takes
 */
export function readResults (record: SubmissionRecord, after: number): ResultPage {
  const results: ItemResult[] = []
  let characters = 0
  for (const result of record.results.slice(after)) {
    characters += result.output.length
    if (results.length > 0 && characters > pageCharacters) break
    results.push(result)
  }
  return { total: record.submission.items.length, next: after + results.length, results }
}

function routeKey (submission: Submission): string {
  return `${submission.host} ${submission.pathPrefix}`
}

function addTokens (state: Submissions, submission: Submission, tokens: number): void {
  const key = routeKey(submission)
  state.waitingTokens.set(key, (state.waitingTokens.get(key) ?? 0) + tokens)
}
