/**
 * Client of the administration API for the operators' command line.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { createReadStream } from 'node:fs'
import type { Readable } from 'node:stream'
import { err, ok, type Result } from 'neverthrow'
import { type Dispatcher, request } from 'undici'
import { ndjsonContentType } from '../../request/jobApi.ts'
import type { ErrorBody } from '../../request/refusal.ts'
import type { Configuration, Tables } from '../../version/tables.ts'
import type { Outcome } from '../state/commands.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../program/failure.ts'
import type { QueryResponse, ItemResult, JobStatus, QueryKind } from '../state/queries.ts'

/** A change of the tables. */
export interface TablesChange {
  readonly tables: Tables
  /** Version on which the change is based. */
  readonly expected: number
  /** Id of the change; sent again with the same id, the change is not applied twice. */
  readonly operation: string
}

/** A job to submit, with its items in a file. */
export interface JobSubmission {
  readonly file: string
  readonly account: string
  readonly key: string
  readonly route: string
  /** Time by which the job is due, in ISO 8601. */
  readonly due: string | undefined
  /** Called with the number of bytes sent so far. */
  readonly onProgress: (bytes: number) => void
}

/** Calls of the administration API. A call that the host rejects fails with the reason `rejected`. */
export interface OperatorClient {
  /**
   * Reads the current configuration.
   * @returns the configuration, or a failure
   */
  readConfiguration (): Promise<Result<Configuration, Failure>>
  /**
   * Validates tables without applying them.
   * @param tables - the tables
   * @returns the problems and the changes against the current tables, or a failure
   */
  check (tables: Tables): Promise<Result<Extract<QueryResponse, { kind: typeof QueryKind.Check }>, Failure>>
  /**
   * Applies a change of the tables.
   * @param change - the change
   * @returns the outcome, also when the change is invalid or its expected version is not the current one, or a failure
   */
  apply (change: TablesChange): Promise<Result<Outcome, Failure>>
  /**
   * Submits a job.
   * @param job - the job
   * @returns id of the job, or a failure
   */
  submit (job: JobSubmission): Promise<Result<string, Failure>>
  /**
   * Lists all jobs, page by page.
   * @returns the status of each job, or a failure
   */
  listJobs (): Promise<Result<readonly JobStatus[], Failure>>
  /**
   * Reads the status of a job.
   * @param job - id of the job
   * @returns the status, or a failure
   */
  readJob (job: string): Promise<Result<JobStatus, Failure>>
  /**
   * Reads the results of a job in order, page by page.
   * @param job - id of the job
   * @param onResult - called with each result
   * @returns nothing once all results are read, or a failure; results may have been passed before it
   */
  readResults (job: string, onResult: (result: ItemResult) => void): Promise<Result<void, Failure>>
  /**
   * Cancels a job.
   * @param job - id of the job
   * @returns nothing, or a failure
   */
  cancel (job: string): Promise<Result<void, Failure>>
  /**
   * Reads the status of the host.
   * @returns the status, or a failure
   */
  readStatus (): Promise<Result<object, Failure>>
}

/**
 * Creates a client.
 * @param address - administration address of any host
 * @returns the client
 */
export function createOperatorClient (address: string): OperatorClient {
  const base = `http://${address}/v1`

  async function call<Value> (method: Dispatcher.HttpMethod, path: string, body?: unknown, accepted: readonly number[] = [200, 201]): Promise<Result<Value, Failure>> {
    try {
      const response = await request(`${base}${path}`, {
        method,
        headers: { 'content-type': 'application/json', 'jaychute-request-id': randomUUID() },
        body: body === undefined ? null : JSON.stringify(body)
      })
      const content = await response.body.json()
      if (accepted.includes(response.statusCode)) return ok(content as Value)
      return err(createRejection(content as ErrorBody, address))
    } catch (error) {
      return err(toFailure(error, { step: Step.Administration, peer: address }))
    }
  }

  return {
    readConfiguration: () => call('GET', '/configuration'),
    check: tables => call('POST', '/configuration/check', tables),
    apply: change => call('PUT', '/configuration', change, [200, 409, 422]),
    async submit (job) {
      try {
        const response = await request(`${base}/jobs/${encodeURIComponent(job.key)}`, {
          method: 'PUT',
          query: { route: job.route, ...(job.due === undefined ? {} : { due: job.due }) },
          headers: { 'content-type': ndjsonContentType, 'jaychute-account': job.account },
          body: countBytes(createReadStream(job.file), job.onProgress)
        })
        const content = await response.body.json()
        if (response.statusCode === 201) return ok((content as { job: string }).job)
        return err(createRejection(content as ErrorBody, address))
      } catch (error) {
        return err(toFailure(error, { step: Step.Upload, peer: address }))
      }
    },
    async listJobs () {
      const jobs: JobStatus[] = []
      while (true) {
        const page = await call<{ jobs: JobStatus[] }>('GET', `/jobs?after=${encodeURIComponent(jobs.at(-1)?.job ?? '')}`)
        if (page.isErr()) return err(page.error)
        if (page.value.jobs.length === 0) return ok(jobs)
        jobs.push(...page.value.jobs)
      }
    },
    readJob: job => call('GET', `/jobs/${encodeURIComponent(job)}`),
    async readResults (job, onResult) {
      let after = -1
      while (true) {
        const page = await call<{ results: ItemResult[] }>('GET', `/jobs/${encodeURIComponent(job)}/results?after=${after}`)
        if (page.isErr()) return err(page.error)
        for (const result of page.value.results) onResult(result)
        const last = page.value.results.at(-1)
        if (last === undefined) return ok(undefined)
        after = last.position
      }
    },
    cancel: job => call('DELETE', `/jobs/${encodeURIComponent(job)}`),
    readStatus: () => call('GET', '/status')
  }
}

function createRejection (body: ErrorBody, peer: string): Failure {
  const text = body.error === undefined ? 'the host rejected the call without a reason' : `${body.error.reason}: ${body.error.message}`
  return createFailure(FailureReason.Rejected, { step: Step.Administration, peer }, text)
}

function countBytes (source: Readable, onProgress: (bytes: number) => void): Readable {
  let bytes = 0
  source.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    onProgress(bytes)
  })
  return source
}
