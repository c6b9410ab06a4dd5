/**
 * Jobs submitted to gateways: items that are opaque requests, their results in stable positions, and the number of
 * waiting tokens per route and client account. Applied from the replicated log.
 * @module
 */
import { countCharacters } from '../program/chunk.ts'
import { readOutput, type StoredOutput, storeOutput } from './storedOutput.ts'
import { canAccessJob, type SavedProgress, type SubmissionHeader, type SubmittedItem } from './submission.ts'
import { CommandKind, type CommandOf, done, Ending, type FinishedItem, notFound, type Outcome, OutcomeKind } from '../state/commands.ts'

/** Result of an item. */
export interface ItemResult {
  readonly item: string
  readonly ending: Ending
  readonly output: string
}

/** Result of an item as it is kept. */
export interface StoredResult extends Omit<ItemResult, 'output'> {
  readonly output: StoredOutput
}

/** A submitted job with its results. */
export interface SubmissionRecord {
  readonly submission: SubmissionHeader
  /** Number of items of the job. */
  readonly total: number
  /** Results in the order in which they were recorded; the index of a result never changes. */
  readonly results: StoredResult[]
  /** Items without a result, by id; empty when the job has ended. The bodies of all other items are dropped. */
  readonly open: Map<string, SubmittedItem>
  /** Saved progress of open items, by id. */
  readonly progress: Map<string, SavedProgress>
  /** Failed runs of open items, by id; an item without one is absent. */
  readonly failures: Map<string, number>
  /** The runs that `failures` counts, by item; a run may be reported again to another leader. */
  readonly failedRuns: Map<string, readonly string[]>
  ended: boolean
}

/** All submitted jobs. */
export interface Submissions {
  readonly jobs: Map<string, SubmissionRecord>
  /** Number of waiting tokens by host and path prefix of the route, and by client account of the jobs that have one. */
  readonly waitingTokens: Map<string, number>
  /** Whether results are kept compressed; each host decides for itself, nothing else in the state depends on it. */
  readonly compressesResults: boolean
  /** Size of all results as they are kept: bytes of compressed ones, characters of the others. */
  resultBytes: number
  /** Size of all saved progress, in characters. */
  progressCharacters: number
}

/**
 * Creates the state without jobs.
 * @param compressesResults - whether results are kept compressed
 * @returns the state
 */
export function createSubmissions (compressesResults: boolean): Submissions {
  return { compressesResults, jobs: new Map(), waitingTokens: new Map(), resultBytes: 0, progressCharacters: 0 }
}

const foreignJob: Outcome = { kind: OutcomeKind.Conflict, text: 'the job belongs to another client account' }

/**
 * Finds the outcome of a command that repeats an applied one.
 * @param state - the jobs
 * @param command - the submission or the end of a job
 * @returns the outcome, or undefined if the command may change the state; a conflict if the job belongs to another client account
 */
export function findOutcomeOfRepetition (state: Submissions, command: CommandOf<'submit'> | CommandOf<'end submission'>): Outcome | undefined {
  if (command.kind === CommandKind.EndSubmission) {
    const record = state.jobs.get(command.job)
    if (record !== undefined && !canAccessJob(record.submission, command.caller)) return foreignJob
    return record?.ended === true ? done : undefined
  }
  const { id, account } = command.submission
  const known = state.jobs.get(id)
  if (known === undefined) return undefined
  return canAccessJob(known.submission, { account }) ? { kind: OutcomeKind.Job, job: id } : foreignJob
}

/**
 * Accepts a job. A retry is accepted without effect.
 * @param state - the jobs
 * @param command - the command
 * @returns the job, a conflict if another client account has a job of that id, or a limit if its tokens exceed the token limit
 */
export function submit (state: Submissions, command: CommandOf<'submit'>): Outcome {
  const repeated = findOutcomeOfRepetition(state, command)
  if (repeated !== undefined) return repeated
  const { submission, tokenLimit, time, giveUpMs } = command
  let tokens = 0
  for (const item of submission.items) tokens += item.tokens
  const waiting = countWaitingTokens(state, submission)
  if (tokenLimit > 0 && waiting + tokens > tokenLimit) {
    return { kind: OutcomeKind.Limit, text: `${waiting} tokens wait on route ${submission.route}, ${tokens} more exceed ${tokenLimit}` }
  }
  const { items, ...header } = submission
  const accepted: SubmissionHeader = { ...header, acceptedAt: time, giveUpAt: giveUpMs > 0 ? time + giveUpMs : Infinity }
  restoreSubmission(state, items, { submission: accepted, total: items.length, results: [], progress: new Map(), failures: new Map(), failedRuns: new Map(), ended: false })
  return { kind: OutcomeKind.Job, job: submission.id }
}

/**
 * Adds a job with its results and the progress of its items.
 * @param state - the jobs
 * @param items - its items; those that have a result are ignored
 * @param saved - the job
 */
export function restoreSubmission (state: Submissions, items: readonly SubmittedItem[], saved: Omit<SubmissionRecord, 'open'>): void {
  const open = new Map<string, SubmittedItem>()
  const record: SubmissionRecord = { ...saved, open }
  state.jobs.set(saved.submission.id, record)
  state.resultBytes += countResultBytes(record)
  for (const id of record.progress.keys()) state.progressCharacters += countProgressCharacters(record, id)
  if (saved.ended) return
  for (const item of items) open.set(item.id, item)
  for (const result of saved.results) open.delete(result.item)
  for (const item of open.values()) adjustWaitingTokens(state, saved.submission, item.tokens)
}

/**
 * Records results of items. Only the first result of an item has an effect.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function finishItems (state: Submissions, command: CommandOf<'finish items'>): Outcome {
  for (const result of command.results) {
    const { job, item: id, ending } = result
    const record = state.jobs.get(job)
    const item = record?.open.get(id)
    if (record === undefined || item === undefined) continue
    const text = determineOutput(record, result)
    if (text === undefined) continue
    const output = state.compressesResults ? storeOutput(text) : text
    state.resultBytes += output.length
    state.progressCharacters -= countProgressCharacters(record, id)
    record.open.delete(id)
    record.progress.delete(id)
    record.failures.delete(id)
    record.failedRuns.delete(id)
    record.results.push({ item: id, ending, output })
    adjustWaitingTokens(state, record.submission, -item.tokens)
  }
  return done
}

// An output that lacks saved events is incomplete, so the item stays open.
function determineOutput (record: SubmissionRecord, { item, output, savedEvents }: FinishedItem): string | undefined {
  if (savedEvents === undefined) return output
  const saved = record.progress.get(item)?.data ?? []
  return saved.length === savedEvents ? saved.join('\n') : undefined
}

/**
 * Saves progress of items. A chunk that overlaps progress of the same run adds only its new events. The first chunk of
 * another run replaces the events after the one from which that run resumed. A chunk that would leave a gap adds nothing. Which
 * chunks are accepted does not depend on the software version, which hosts of earlier versions do not know.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function saveProgress (state: Submissions, command: CommandOf<'save progress'>): Outcome {
  for (const { job, item, from, data, lastEvent, run, softwareVersion } of command.pieces) {
    const record = state.jobs.get(job)
    if (record === undefined || record.ended || !record.open.has(item)) continue
    const saved = record.progress.get(item)
    const savedData = saved?.data ?? []
    if (from > savedData.length) continue
    if (run === saved?.run && from + data.length <= savedData.length) continue
    state.progressCharacters += countCharacters(data) - countCharacters(savedData.slice(from))
    const isOfOneVersion = softwareVersion !== undefined && (from === 0 || saved?.softwareVersion === softwareVersion)
    record.progress.set(item, {
      data: [...savedData.slice(0, from), ...data],
      lastEvent,
      ...(run === undefined ? {} : { run }),
      ...(isOfOneVersion ? { softwareVersion } : {})
    })
  }
  return done
}

/**
 * Records failed runs of items. The count, not an increment, makes a repeated command harmless. The run makes a repeated report
 * harmless: another leader determines the count anew, from a state that may already include the run.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function recordFailures (state: Submissions, command: CommandOf<'record failures'>): Outcome {
  for (const { job, item, count, run } of command.failures) {
    const record = state.jobs.get(job)
    if (record === undefined || record.ended || !record.open.has(item)) continue
    if (run !== undefined) {
      if (isFailedRun(record, item, run)) continue
      record.failedRuns.set(item, [...record.failedRuns.get(item) ?? [], run])
    }
    record.failures.set(item, Math.max(record.failures.get(item) ?? 0, count))
  }
  return done
}

/**
 * Checks whether a run is counted among the failed runs of an item.
 * @param record - the job
 * @param item - id of the item
 * @param run - the run
 * @returns whether it is
 */
export function isFailedRun (record: SubmissionRecord, item: string, run: string): boolean {
  return record.failedRuns.get(item)?.includes(run) === true
}

/**
 * Ends a job. Its open items are not run.
 * @param state - the jobs
 * @param command - the command
 * @returns done, not found, or a conflict if the job belongs to another client account
 */
export function endSubmission (state: Submissions, command: CommandOf<'end submission'>): Outcome {
  const repeated = findOutcomeOfRepetition(state, command)
  if (repeated !== undefined) return repeated
  const record = state.jobs.get(command.job)
  if (record === undefined) return notFound
  record.ended = true
  for (const id of record.progress.keys()) state.progressCharacters -= countProgressCharacters(record, id)
  record.progress.clear()
  record.failures.clear()
  record.failedRuns.clear()
  for (const item of record.open.values()) adjustWaitingTokens(state, record.submission, -item.tokens)
  record.open.clear()
  return done
}

/**
 * Deletes the given jobs, except those that are not closed.
 * @param state - the jobs
 * @param command - the command
 * @returns done
 */
export function purgeSubmissions (state: Submissions, command: CommandOf<'purge submissions'>): Outcome {
  for (const id of command.jobs) {
    const record = state.jobs.get(id)
    if (record === undefined || !isSubmissionClosed(record)) continue
    state.resultBytes -= countResultBytes(record)
    for (const id of record.progress.keys()) state.progressCharacters -= countProgressCharacters(record, id)
    state.jobs.delete(id)
  }
  return done
}

/**
 * Checks whether a job has no items left to run.
 * @param record - the job
 * @returns true if it has ended or every item has a result
 */
export function isSubmissionClosed (record: SubmissionRecord): boolean {
  return record.ended || record.open.size === 0
}

/** A page of results of a job. */
export interface ResultPage {
  /** Number of items of the job. */
  readonly total: number
  /** Index after the last result of this page, which is the `after` of the next page. */
  readonly next: number
  readonly results: readonly ItemResult[]
}

/** Maximum number of output characters per page; a page holds at least one result. A large page delays the other answers on its way. */
const pageLimitCharacters = 256 * 1024

/**
 * Reads a page of results.
 * @param record - the job
 * @param after - index of the first result
 * @returns the results from that index on, up to the page limit
 */
export function readResults (record: SubmissionRecord, after: number): ResultPage {
  const results: ItemResult[] = []
  let characters = 0
  for (const { output: stored, ...result } of record.results.slice(after)) {
    const output = readOutput(stored)
    characters += output.length
    if (results.length > 0 && characters > pageLimitCharacters) break
    results.push({ ...result, output })
  }
  return { total: record.total, next: after + results.length, results }
}

function countResultBytes ({ results }: SubmissionRecord): number {
  let bytes = 0
  for (const { output } of results) bytes += output.length
  return bytes
}

function countProgressCharacters ({ progress }: SubmissionRecord, item: string): number {
  return countCharacters(progress.get(item)?.data ?? [])
}

/** Jobs whose waiting tokens are counted together. */
export type TokenCountKey = Pick<SubmissionHeader, 'host' | 'pathPrefix' | 'account'>

/**
 * Counts the tokens of waiting items.
 * @param state - the jobs
 * @param key - the jobs to count
 * @returns the tokens to which those of a new job are added before they are compared with the limit of the route
 */
export function countWaitingTokens (state: Submissions, key: TokenCountKey): number {
  return state.waitingTokens.get(createRouteKey(key)) ?? 0
}

// The limit counts for each client account.
function createRouteKey (submission: TokenCountKey): string {
  const route = `${submission.host} ${submission.pathPrefix}`
  return submission.account === undefined ? route : `${route}\n${submission.account}`
}

function adjustWaitingTokens (state: Submissions, submission: SubmissionHeader, tokens: number): void {
  const key = createRouteKey(submission)
  state.waitingTokens.set(key, (state.waitingTokens.get(key) ?? 0) + tokens)
}
