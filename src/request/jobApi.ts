/**
 * HTTP API of jobs for callers and operators: submit, list, status, results, cancel.
 * @module
 */
import { type Context, Hono } from 'hono'
import { stream } from 'hono/streaming'
import limitConcurrency from 'p-limit'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import type { Failure } from '../process/program/failure.ts'
import { uploadIdleTimeoutMs } from '../process/jobs/idleUploads.ts'
import { type QueryResponse, type ItemResult, type JobStatus, type Query, QueryKind } from '../process/state/queries.ts'
import type { ErrorResponses } from './errorResponses.ts'
import { Execution, createRefusal, type Refusal, RefusalReason } from './refusal.ts'
import { uploadJob } from './jobUpload.ts'
import { createStreamedBody } from './streamedBody.ts'

/** Maximum number of results or jobs on one page. */
const maxPageSize = 1_000

/** Pages that are read at once. Each takes memory in several forms on its way from control to the client. */
const maxPageReads = 4

/** Longest time for which the read of a page waits for others, in milliseconds; then the client tries another host. */
const pageReadWaitMs = 2_000

/** Retry delay suggested when too many pages are read, in milliseconds. */
const pageRetryAfterMs = 1_000

/** Default time until a job is due, in milliseconds. */
const defaultDueMs = 12 * 3_600_000

/** Content type of newline-delimited JSON. */
export const ndjsonContentType = 'application/x-ndjson'

const pageSchema = z.object({
  after: z.coerce.number().int().min(-1).default(-1),
  limit: z.coerce.number().int().min(1).max(maxPageSize).default(maxPageSize)
})

/** Dependencies and settings of the job API. */
export interface JobApiInputs {
  readonly control: ControlClient
  readonly errors: ErrorResponses
  /** Returns the account of a request; undefined when it names none. */
  readonly getAccount: (context: Context) => string | undefined
  /** Whether an account can access only its own jobs. */
  readonly restricted: boolean
  readonly ensureRequestId: (context: Context) => string
  /** Returns the refusal for new jobs on a route, for example while the host drains; undefined when jobs are accepted. */
  readonly gate: (route: string) => Refusal | undefined
}

/**
 * Creates the routes below `/v1/jobs`.
 * @param inputs - dependencies and settings of the API
 * @returns the routes
 */
export function createJobApi (inputs: JobApiInputs): Hono {
  const { control, errors, getAccount, ensureRequestId } = inputs
  const api = new Hono()
  const limitPageReads = limitConcurrency(maxPageReads)

  function sendRefusal (context: Context, refusal: Refusal): Response {
    return errors.send(context, ensureRequestId(context), refusal)
  }

  // A request without an account is filtered by the empty account, so it does not see the jobs of all accounts.
  function getAccountFilter (context: Context): string | undefined {
    return inputs.restricted ? getAccount(context) ?? '' : undefined
  }

  async function readOrRefuse<Kind extends Query['kind']> (context: Context, query: Extract<Query, { kind: Kind }>): Promise<Extract<QueryResponse, { kind: Kind }> | Response> {
    const response = await control.read(query)
    if (response.isErr()) return sendRefusal(context, createUnavailableRefusal(response.error))
    return response.value as Extract<QueryResponse, { kind: Kind }>
  }

  async function readPageOrRefuse<Kind extends typeof QueryKind.Jobs | typeof QueryKind.Results> (context: Context, query: Extract<Query, { kind: Kind }>): Promise<Extract<QueryResponse, { kind: Kind }> | Response> {
    const giveUpAt = performance.now() + pageReadWaitMs
    return await limitPageReads(async () => performance.now() < giveUpAt
      ? await readOrRefuse(context, query)
      : sendRefusal(context, createRefusal(RefusalReason.Overloaded, 'too many pages are read at this host', pageRetryAfterMs)))
  }

  async function findJob (context: Context, job: string): Promise<JobStatus | Response> {
    const response = await readOrRefuse(context, { kind: QueryKind.Job, job, account: getAccountFilter(context) })
    if (response instanceof Response) return response
    return response.job ?? sendRefusal(context, createRefusal(RefusalReason.NotFound, `there is no job ${job}`))
  }

  api.put('/:key', async context => {
    const account = getAccount(context)
    const route = context.req.query('route') ?? ''
    if (account === undefined) return sendRefusal(context, createRefusal(RefusalReason.InvalidRequest, 'the header jaychute-account is missing'))
    if (context.req.header('content-type')?.split(';')[0] !== ndjsonContentType) {
      return sendRefusal(context, createRefusal(RefusalReason.UnsupportedContentType, `a job is sent as ${ndjsonContentType}`))
    }
    const refusal = inputs.gate(route)
    if (refusal !== undefined) return sendRefusal(context, refusal)
    const due = context.req.query('due')
    const dueAt = due === undefined ? Date.now() + defaultDueMs : Date.parse(due)
    if (Number.isNaN(dueAt)) return sendRefusal(context, createRefusal(RefusalReason.InvalidRequest, 'due is not a time'))
    const body = createStreamedBody(context, uploadIdleTimeoutMs)
    if (body === undefined) return sendRefusal(context, createRefusal(RefusalReason.InvalidRequest, 'the job has no items'))
    const uploaded = await uploadJob({ account, key: context.req.param('key'), route, due: dueAt }, body, control)
    if (uploaded.isErr()) return sendRefusal(context, uploaded.error)
    return context.json({ job: uploaded.value }, 201)
  })

  api.get('/', async context => {
    const response = await readPageOrRefuse(context, { kind: QueryKind.Jobs, account: getAccountFilter(context), after: context.req.query('after') ?? '', limit: maxPageSize })
    if (response instanceof Response) return response
    return context.json({ jobs: response.jobs })
  })

  api.get('/:job', async context => {
    const job = await findJob(context, context.req.param('job'))
    return job instanceof Response ? job : context.json(job)
  })

  api.delete('/:job', async context => {
    const job = await findJob(context, context.req.param('job'))
    if (job instanceof Response) return job
    const outcome = await control.execute({ kind: CommandKind.CancelJob, job: job.job }, 15_000)
    if (outcome.isErr()) return sendRefusal(context, createUnavailableRefusal(outcome.error))
    if (outcome.value.kind === OutcomeKind.NotFound) return sendRefusal(context, createRefusal(RefusalReason.NotFound, `there is no job ${job.job}`))
    return context.json({ job: job.job, cancelled: true })
  })

  api.get('/:job/results', async context => {
    const id = context.req.param('job')
    const page = pageSchema.safeParse(context.req.query())
    if (!page.success) return sendRefusal(context, createRefusal(RefusalReason.InvalidRequest, 'after and limit are whole numbers'))
    const account = getAccountFilter(context)
    const response = await readPageOrRefuse(context, { kind: QueryKind.Results, job: id, account, ...page.data })
    if (response instanceof Response) return response
    if (response.results === undefined) return sendRefusal(context, createRefusal(RefusalReason.NotFound, `there is no job ${id}`))
    if (context.req.header('accept') !== ndjsonContentType) return context.json({ results: response.results, finished: response.finished })
    context.header('content-type', ndjsonContentType)
    return stream(context, async output => {
      let results: readonly ItemResult[] = response.results ?? []
      while (results.length > 0) {
        for (const result of results) await output.write(`${JSON.stringify(result)}\n`)
        const after = results.at(-1)?.position ?? -1
        const next = await limitPageReads(async () => await control.read({ kind: QueryKind.Results, job: id, account, after, limit: maxPageSize }))
        // Throwing aborts the connection, so that the caller can detect a truncated list.
        if (next.isErr()) throw next.error
        results = next.value.kind === QueryKind.Results ? next.value.results ?? [] : []
      }
    })
  })

  return api
}

/**
 * Creates the refusal for a failed call to control.
 * @param failure - the failure
 * @returns the refusal
 */
export function createUnavailableRefusal (failure: Failure): Refusal {
  return { reason: RefusalReason.ControlUnavailable, execution: Execution.Unknown, message: failure.message, retryAfterMs: 1_000 }
}
