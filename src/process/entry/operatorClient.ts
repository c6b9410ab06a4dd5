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

/** Calls of the administration API. */
export interface OperatorClient {
  readConfiguration (): Promise<Result<Configuration, Failure>>
  check (tables: Tables): Promise<Result<Extract<QueryResponse, { kind: typeof QueryKind.Check }>, Failure>>
  apply (change: TablesChange): Promise<Result<Outcome, Failure>>
  submit (job: JobSubmission): Promise<Result<string, Failure>>
  listJobs (): Promise<Result<readonly JobStatus[], Failure>>
  readJob (job: string): Promise<Result<JobStatus, Failure>>
  /** Reads the results in order, page by page, and passes each to `onResult`. */
  readResults (job: string, onResult: (result: ItemResult) => void): Promise<Result<void, Failure>>
  cancel (job: string): Promise<Result<void, Failure>>
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
