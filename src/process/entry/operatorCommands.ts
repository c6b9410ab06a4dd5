/**
 * The commands of the operators' command line: tables, jobs and status.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { readFile, stat } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { TableName, type Tables } from '../../version/tables.ts'
import { OutcomeKind } from '../state/commands.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../program/failure.ts'
import type { OperatorClient } from './operatorClient.ts'
import { formatStatus, formatTable } from '../state/operatorTables.ts'

/** Flags of the operators' commands. */
export interface OperatorFlags {
  readonly json: boolean
  readonly file?: string | undefined
  readonly expectedVersion?: number | undefined
  readonly operation?: string | undefined
  readonly account?: string | undefined
  readonly key?: string | undefined
  readonly route?: string | undefined
  readonly due?: string | undefined
  readonly host?: string | undefined
  readonly path?: string | undefined
}

/** Output of a command. */
export interface Output {
  /**
   * Writes one line of the result.
   * @param text - the line without its newline
   */
  writeLine (text: string): void
  /**
   * Reports progress, which is not part of the result.
   * @param text - description of the progress
   */
  reportProgress (text: string): void
}

/** A command with its client, arguments and output. */
export interface OperatorCommand {
  readonly client: OperatorClient
  readonly positionals: readonly string[]
  readonly flags: OperatorFlags
  readonly output: Output
}

/**
 * Runs a command.
 * @param command - the command with its client, arguments and output
 * @returns nothing, or a failure; the reason `invalid` stands for a usage error
 */
export async function runOperatorCommand (command: OperatorCommand): Promise<Result<void, Failure>> {
  const [subject, action, argument] = command.positionals
  switch (subject) {
    case TableName.Routes:
    case TableName.Pools: return await runTableAction(command, subject, action)
    case 'jobs': return await runJobAction(command, action, argument)
    case 'status': return await showStatus(command)
    default: return err(createUsageFailure(`unknown command "${subject ?? ''}"`))
  }
}

/**
 * Creates the failure of a command that is used wrongly.
 * @param text - what is wrong
 * @returns the failure
 */
export function createUsageFailure (text: string): Failure {
  return createFailure(FailureReason.Invalid, { step: Step.Settings }, text)
}

async function runTableAction (command: OperatorCommand, table: TableName, action: string | undefined): Promise<Result<void, Failure>> {
  const { client, flags, output } = command
  const current = await client.readConfiguration()
  if (current.isErr()) return err(current.error)
  if (action === 'get') {
    printResult(command, { version: current.value.version, [table]: current.value[table] }, current.value[table])
    return ok(undefined)
  }
  const rows = await readRows(flags.file)
  if (rows.isErr()) return err(rows.error)
  const tables = { routes: current.value.routes, pools: current.value.pools, [table]: rows.value } as Tables
  switch (action) {
    case 'check':
    case 'diff': {
      const checked = await client.check(tables)
      if (checked.isErr()) return err(checked.error)
      if (flags.json) output.writeLine(JSON.stringify(checked.value))
      else for (const change of checked.value.changes) output.writeLine(`${change.kind} ${change.table} ${change.name}`)
      return failOnProblems(checked.value.problems)
    }
    case 'apply': {
      const expected = flags.expectedVersion ?? current.value.version
      const operationId = flags.operation ?? randomUUID()
      const outcome = await client.apply({ tables, expected, operation: operationId })
      if (outcome.isErr()) return err(appendHint(outcome.error, `to learn the outcome, run the same command with --expected-version ${expected} --operation ${operationId}`))
      if (flags.json) output.writeLine(JSON.stringify(outcome.value))
      switch (outcome.value.kind) {
        case OutcomeKind.Applied:
          if (!flags.json) output.writeLine(`version ${outcome.value.version} accepted`)
          return ok(undefined)
        case OutcomeKind.Conflict:
          if (!flags.json) for (const change of outcome.value.changes ?? []) output.writeLine(`${change.kind} ${change.table} ${change.name}`)
          return err(createFailure(FailureReason.Conflict, { step: Step.Administration }, outcome.value.text))
        case OutcomeKind.Invalid: return failOnProblems(outcome.value.problems)
        default: return err(createFailure(FailureReason.Unknown, { step: Step.Administration }, `unexpected outcome ${outcome.value.kind}`))
      }
    }
    default: return err(createUsageFailure(`unknown action "${action ?? ''}" on ${table}; use get, check, diff or apply`))
  }
}

function failOnProblems (problems: ReadonlyArray<{ readonly place: string, readonly text: string }>): Result<void, Failure> {
  if (problems.length === 0) return ok(undefined)
  const text = problems.map(problem => `${problem.place}: ${problem.text}`).join('\n')
  return err(createFailure(FailureReason.Rejected, { step: Step.Administration }, text))
}

async function readRows (file: string | undefined): Promise<Result<unknown, Failure>> {
  if (file === undefined) return err(createUsageFailure('--file is missing'))
  try {
    return ok(JSON.parse(await readFile(file, 'utf8')))
  } catch (error) {
    return err(toFailure(error, { step: Step.Settings, peer: file }))
  }
}

async function runJobAction (command: OperatorCommand, action: string | undefined, job: string | undefined): Promise<Result<void, Failure>> {
  const { client, flags, output } = command
  switch (action) {
    case 'submit': return await submitJob(command)
    case 'list': {
      const jobs = await client.listJobs()
      if (jobs.isErr()) return err(jobs.error)
      printResult(command, { jobs: jobs.value }, jobs.value)
      return ok(undefined)
    }
    case 'status': {
      if (job === undefined) return err(createUsageFailure('the id of the job is missing'))
      const status = await client.readJob(job)
      if (status.isErr()) return err(status.error)
      printResult(command, status.value, [status.value])
      return ok(undefined)
    }
    case 'results': {
      if (job === undefined) return err(createUsageFailure('the id of the job is missing'))
      return await client.readResults(job, result => {
        output.writeLine(flags.json ? JSON.stringify(result) : `${result.position}\t${result.name}\t${result.ending}\t${result.result}`)
      })
    }
    case 'cancel': {
      if (job === undefined) return err(createUsageFailure('the id of the job is missing'))
      const cancelled = await client.cancel(job)
      if (cancelled.isErr()) return err(cancelled.error)
      output.writeLine(flags.json ? JSON.stringify({ job, cancelled: true }) : `job ${job} cancelled`)
      return ok(undefined)
    }
    default: return err(createUsageFailure(`unknown action "${action ?? ''}" on jobs; use submit, list, status, results or cancel`))
  }
}

async function submitJob (command: OperatorCommand): Promise<Result<void, Failure>> {
  const { client, flags, output } = command
  const { file, account, key, route, due } = flags
  if (file === undefined || account === undefined || key === undefined || route === undefined) {
    return err(createUsageFailure('jobs submit needs --file, --account, --key and --route'))
  }
  const totalBytes = await readFileSize(file)
  if (totalBytes.isErr()) return err(totalBytes.error)
  const job = await client.submit({ file, account, key, route, due, onProgress: bytes => output.reportProgress(`${bytes} of ${totalBytes.value} bytes sent`) })
  if (job.isErr()) return err(appendHint(job.error, 'the same command with the same file and --key may be run again; no second job is created'))
  output.writeLine(flags.json ? JSON.stringify({ job: job.value }) : job.value)
  return ok(undefined)
}

async function showStatus (command: OperatorCommand): Promise<Result<void, Failure>> {
  const status = await command.client.readStatus()
  if (status.isErr()) return err(status.error)
  if (command.flags.json) command.output.writeLine(JSON.stringify(status.value))
  else for (const line of formatStatus(status.value)) command.output.writeLine(line)
  return ok(undefined)
}

// Adds the hint unless the host rejected the call: without a response the outcome is unknown.
function appendHint (failure: Failure, hint: string): Failure {
  if (failure.reason === FailureReason.Rejected) return failure
  return createFailure(failure.reason, failure, `${failure.message}; ${hint}`)
}

async function readFileSize (file: string): Promise<Result<number, Failure>> {
  try {
    return ok((await stat(file)).size)
  } catch (error) {
    return err(createUsageFailure(`--file: ${toFailure(error, { step: Step.Settings, peer: file }).message}`))
  }
}

function printResult (command: OperatorCommand, value: object, rows: readonly object[]): void {
  if (command.flags.json) return command.output.writeLine(JSON.stringify(value))
  if ('version' in value) command.output.writeLine(`version ${String(value.version)}`)
  for (const line of formatTable(rows)) command.output.writeLine(line)
}
