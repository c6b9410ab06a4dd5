/**
 * The replicated state machine: the durable state that results from applying the log in order. It is deterministic, so
 * the same commands lead to the same state on every replica.
 * @module
 */
import { compareTables } from '../../version/difference.ts'
import { emptyConfiguration } from '../../version/tables.ts'
import { validateTables } from '../../version/validation.ts'
import { assertNever } from '../program/assert.ts'
import { type Command, CommandKind, type CommandOf, done, type Outcome, OutcomeKind } from './commands.ts'
import { claimItems, completeItems, reclaimItems, requeueItems, startItems } from '../jobs/grants.ts'
import { createJobs, describeJob, listResults } from '../jobs/jobRecords.ts'
import type { Job } from '../jobs/job.ts'
import { cancelJob, sealUpload } from '../jobs/jobCommands.ts'
import { acquireLease, isUnderLease, type Leases, releaseHolderLeases, releaseLease } from './leases.ts'
import { applyOnce, type Operations } from './operations.ts'
import { type Publications, publish } from './publications.ts'
import { type QuarantinedTraits, updateQuarantine } from './quarantinedTraits.ts'
import { JobPhase, type Query, QueryKind, type QueryResponse } from './queries.ts'
import { canAccessJob } from '../jobs/submission.ts'
import { countWaitingTokens, createSubmissions, endSubmission, finishItems, purgeSubmissions, readResults, recordFailures, saveProgress, type Submissions, submit } from '../jobs/submissions.ts'
import { appendItems, discardUpload, openUpload } from '../jobs/uploads.ts'

/** The complete durable state. */
export interface ControlState extends Operations, Leases, Publications, QuarantinedTraits {
  readonly submissions: Submissions
}

/**
 * Creates the state before the first command.
 * @param compressesResults - whether the results of jobs are kept compressed
 * @returns the state
 */
export function createControlState (compressesResults = false): ControlState {
  return { configuration: emptyConfiguration, operations: new Map(), changes: 0, leases: new Map(), jobs: createJobs(), publication: undefined, submissions: createSubmissions(compressesResults), quarantinedTraits: new Map(), serverCrashes: new Map() }
}

/**
 * Applies a command.
 * @param state - the state, modified in place
 * @param command - the command
 * @returns the outcome
 */
export function applyCommand (state: ControlState, command: Command): Outcome {
  switch (command.kind) {
    case CommandKind.Apply: return applyOnce(state, command)
    case CommandKind.OpenUpload: return openUpload(state.jobs, command)
    case CommandKind.AppendItems: return appendItems(state.jobs, command)
    case CommandKind.Seal: return sealUpload(state.jobs, command)
    case CommandKind.DiscardUpload: return discardUpload(state.jobs, command)
    case CommandKind.CancelJob: return cancelJob(state.jobs, command)
    case CommandKind.AcquireLease: return acquireLease(state, command)
    case CommandKind.ReleaseLease: return releaseLease(state, command)
    case CommandKind.Claim: return claimUnderLease(state, command)
    case CommandKind.Start: return startItems(state.jobs, command)
    case CommandKind.Complete: return completeItems(state.jobs, command)
    case CommandKind.Requeue: return requeueItems(state.jobs, command)
    case CommandKind.ExpireHolder: return expireHolder(state, command)
    case CommandKind.Publish: return publish(state, command)
    case CommandKind.Submit: return submit(state.submissions, command)
    case CommandKind.SaveProgress: return saveProgress(state.submissions, command)
    case CommandKind.FinishItems: return finishItems(state.submissions, command)
    case CommandKind.RecordFailures: return recordFailures(state.submissions, command)
    case CommandKind.EndSubmission: return endSubmission(state.submissions, command)
    case CommandKind.PurgeSubmissions: return purgeSubmissions(state.submissions, command)
    case CommandKind.UpdateQuarantine: return updateQuarantine(state, command)
    default: return assertNever(command)
  }
}

/**
 * Answers a query.
 * @param state - the state
 * @param query - the query
 * @returns the response
 */
export function answerQuery (state: ControlState, query: Query): QueryResponse {
  switch (query.kind) {
    case QueryKind.Configuration: return { kind: query.kind, configuration: state.configuration }
    case QueryKind.Check: return checkTables(state, query.tables)
    case QueryKind.Job: {
      const job = findJob(state, query.job, query.account)
      return { kind: query.kind, job: job === undefined ? undefined : describeJob(job) }
    }
    case QueryKind.Jobs: return { kind: query.kind, jobs: listJobs(state, query.account, query.after, query.limit) }
    case QueryKind.Results: {
      const job = findJob(state, query.job, query.account)
      if (job === undefined) return { kind: query.kind, results: undefined, finished: false }
      const status = describeJob(job)
      return { kind: query.kind, results: listResults(job, query.after, query.limit), finished: status.phase !== JobPhase.Running }
    }
    case QueryKind.Publication: return { kind: query.kind, document: state.publication?.document }
    case QueryKind.SubmissionResults: {
      const record = state.submissions.jobs.get(query.job)
      if (record !== undefined && !canAccessJob(record.submission, query.caller)) return { kind: query.kind, isForeign: true }
      return { kind: query.kind, page: record === undefined ? undefined : readResults(record, query.after) }
    }
    case QueryKind.SubmittedBody: {
      const record = state.submissions.jobs.get(query.job)
      if (record !== undefined && !canAccessJob(record.submission, query.caller)) return { kind: query.kind, isForeign: true }
      return { kind: query.kind, body: record?.ended === true ? undefined : record?.open.get(query.item)?.body }
    }
    case QueryKind.WaitingTokens: return { kind: query.kind, tokens: countWaitingTokens(state.submissions, query) }
    default: return assertNever(query)
  }
}

function claimUnderLease (state: ControlState, command: CommandOf<'claim'>): Outcome {
  if (!isUnderLease(state, command)) return { kind: OutcomeKind.Conflict, text: 'the lease is not held' }
  return claimItems(state.jobs, state.configuration, command)
}

function expireHolder (state: ControlState, command: CommandOf<'expire holder'>): Outcome {
  reclaimItems(state.jobs, command.holder)
  releaseHolderLeases(state, command.holder)
  return done
}

function checkTables (state: ControlState, tables: unknown): QueryResponse {
  const version = state.configuration.version
  const valid = validateTables(tables)
  if (valid.isErr()) return { kind: QueryKind.Check, version, problems: valid.error, changes: [] }
  return { kind: QueryKind.Check, version, problems: [], changes: compareTables(state.configuration, valid.value) }
}

function findJob (state: ControlState, id: string, account: string | undefined): Job | undefined {
  const job = state.jobs.jobs.get(id)
  if (job === undefined) return undefined
  if (account !== undefined && job.account !== account) return undefined
  return job
}

function listJobs (state: ControlState, account: string | undefined, after: string, limit: number): ReturnType<typeof describeJob>[] {
  const statuses = []
  let isAfterCursor = after === ''
  for (const job of state.jobs.jobs.values()) {
    if (!isAfterCursor) {
      isAfterCursor = job.id === after
      continue
    }
    if (account !== undefined && job.account !== account) continue
    statuses.push(describeJob(job))
    if (statuses.length >= limit) break
  }
  return statuses
}
