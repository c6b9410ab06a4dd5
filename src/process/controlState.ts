/**
 * The durable state: what applying the replicated log in order leads to. The same commands always lead to the same state.
 * @module
 */
import { createHash } from 'node:crypto'
import { compareTables } from '../version/difference.ts'
import { type Configuration, emptyConfiguration } from '../version/tables.ts'
import { validateTables } from '../version/validation.ts'
import { assertNever } from './assert.ts'
import { type Command, CommandKind, done, type Holder, type Outcome, OutcomeKind } from './commands.ts'
import {
  appendItems, cancelJob, claim, complete, createJobs, describeJob, discardUpload, expireHolder, giveBack, type Job, type Jobs,
  listResults, openUpload, seal, start
} from './jobs.ts'
import { type Answer, type Query, QueryKind } from './queries.ts'

/** How many outcomes are kept by operation id. */
export const operationLimit = 10_000

/** The outcome of an operation, with a digest of its content. */
export interface Operation {
  readonly digest: string
  readonly outcome: Outcome
}

/** The batch dispatch lease of one backend server. */
export interface Lease {
  readonly holder: Holder | undefined
  /** Grows with each holder. */
  readonly number: number
}

/** The whole durable state. */
export interface ControlState {
  configuration: Configuration
  readonly operations: Map<string, Operation>
  readonly leases: Map<string, Lease>
  readonly jobs: Jobs
}

/**
 * Creates the state before the first command.
 * @returns the state
 */
export function createControlState (): ControlState {
  return { configuration: emptyConfiguration, operations: new Map(), leases: new Map(), jobs: createJobs() }
}

/**
 * Applies a command.
 * @param state - the state, which is changed
 * @param command - the command
 * @returns the outcome
 */
export function applyCommand (state: ControlState, command: Command): Outcome {
  switch (command.kind) {
    case CommandKind.Apply: return applyOnce(state, command)
    case CommandKind.OpenUpload: return openUpload(state.jobs, command)
    case CommandKind.AppendItems: return appendItems(state.jobs, command)
    case CommandKind.Seal: return seal(state.jobs, command)
    case CommandKind.DiscardUpload: return discardUpload(state.jobs, command)
    case CommandKind.CancelJob: return cancelJob(state.jobs, command)
    case CommandKind.AcquireLease: return acquireLease(state, command)
    case CommandKind.ReleaseLease: return releaseLease(state, command)
    case CommandKind.Claim: return claimUnderLease(state, command)
    case CommandKind.Start: return start(state.jobs, command)
    case CommandKind.Complete: return complete(state.jobs, command)
    case CommandKind.GiveBack: return giveBack(state.jobs, command)
    case CommandKind.ExpireHolder: return expireHolder(state.jobs, command)
    default: return assertNever(command)
  }
}

/**
 * Answers a query.
 * @param state - the state
 * @param query - the query
 * @returns the answer
 */
export function answerQuery (state: ControlState, query: Query): Answer {
  switch (query.kind) {
    case QueryKind.Configuration: return { kind: query.kind, configuration: state.configuration }
    case QueryKind.Check: return check(state, query.tables)
    case QueryKind.Job: {
      const job = findJob(state, query.job, query.account)
      return { kind: query.kind, job: job === undefined ? undefined : describeJob(job) }
    }
    case QueryKind.Jobs: return { kind: query.kind, jobs: listJobs(state, query.account, query.after, query.limit) }
    case QueryKind.Results: {
      const job = findJob(state, query.job, query.account)
      if (job === undefined) return { kind: query.kind, results: undefined, finished: false }
      const status = describeJob(job)
      return { kind: query.kind, results: listResults(job, query.after, query.limit), finished: status.phase !== 'running' }
    }
    default: return assertNever(query)
  }
}

type CommandOf<Kind extends CommandKind> = Extract<Command, { readonly kind: Kind }>

function applyOnce (state: ControlState, command: CommandOf<'apply'>): Outcome {
  const digest = createHash('sha256').update(JSON.stringify([command.expected, command.tables])).digest('base64')
  const earlier = state.operations.get(command.operation)
  if (earlier !== undefined) {
    if (earlier.digest === digest) return earlier.outcome
    return { kind: OutcomeKind.Conflict, text: 'the operation id is already used with other content' }
  }
  const outcome = applyTables(state, command)
  state.operations.set(command.operation, { digest, outcome: withoutTables(outcome) })
  for (const oldest of state.operations.keys()) {
    if (state.operations.size <= operationLimit) break
    state.operations.delete(oldest)
  }
  return outcome
}

function applyTables (state: ControlState, command: CommandOf<'apply'>): Outcome {
  const current = state.configuration
  if (command.expected !== current.version) {
    return {
      kind: OutcomeKind.Conflict,
      text: `the current version is ${current.version}, not ${command.expected}`,
      current,
      changes: compareTables(current, command.tables)
    }
  }
  const valid = validateTables(command.tables)
  if (valid.isErr()) return { kind: OutcomeKind.Invalid, problems: valid.error }
  state.configuration = { version: current.version + 1, ...valid.value }
  return { kind: OutcomeKind.Applied, version: state.configuration.version }
}

// Recorded outcomes keep no tables: 10,000 conflicts with both tables would outgrow the state itself.
function withoutTables (outcome: Outcome): Outcome {
  if (outcome.kind !== OutcomeKind.Conflict) return outcome
  return { kind: outcome.kind, text: outcome.text }
}

function acquireLease (state: ControlState, command: CommandOf<'acquire lease'>): Outcome {
  const lease = state.leases.get(command.backendServer) ?? { holder: undefined, number: 0 }
  if (lease.number !== command.expected) {
    const granted = lease.holder === command.holder
    return { kind: OutcomeKind.Lease, holder: lease.holder ?? '', number: lease.number, granted }
  }
  const next: Lease = { holder: command.holder, number: lease.number + 1 }
  state.leases.set(command.backendServer, next)
  return { kind: OutcomeKind.Lease, holder: command.holder, number: next.number, granted: true }
}

function releaseLease (state: ControlState, command: CommandOf<'release lease'>): Outcome {
  const lease = state.leases.get(command.backendServer)
  if (lease === undefined || lease.number !== command.number || lease.holder !== command.holder) return done
  state.leases.set(command.backendServer, { holder: undefined, number: lease.number })
  return done
}

function claimUnderLease (state: ControlState, command: CommandOf<'claim'>): Outcome {
  const lease = state.leases.get(command.backendServer)
  if (lease?.holder !== command.holder || lease.number !== command.lease) {
    return { kind: OutcomeKind.Conflict, text: 'the lease is not held' }
  }
  return claim(state.jobs, state.configuration, command)
}

function check (state: ControlState, tables: unknown): Answer {
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
  let passed = after === ''
  for (const job of state.jobs.jobs.values()) {
    if (!passed) {
      passed = job.id === after
      continue
    }
    if (account !== undefined && job.account !== account) continue
    statuses.push(describeJob(job))
    if (statuses.length >= limit) break
  }
  return statuses
}
