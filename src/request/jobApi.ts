/**
 * HTTP for jobs, for callers and operators: submit, list, status, results, cancel.
 * @module
 */
import { type Context, Hono } from 'hono'
import { stream } from 'hono/streaming'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import type { Failure } from '../process/program/failure.ts'
import { type QueryResponse, type ItemResult, type JobStatus, type Query, QueryKind } from '../process/state/queries.ts'
import type { ErrorAnswers } from './errorAnswer.ts'
import { Execution, refuse, type Refusal, RefusalReason } from './refusal.ts'
import { uploadJob } from './upload.ts'

/** Results on one page. */
const pageLimit = 1_000

/** Time until a job is due when its caller names none, in milliseconds. */
const defaultDueMs = 12 * 3_600_000

/** Content type of newline-delimited JSON. */
export const linesType = 'application/x-ndjson'

const pageSchema = z.object({
  after: z.coerce.number().int().min(-1).default(-1),
  limit: z.coerce.number().int().min(1).max(pageLimit).default(pageLimit)
})

/** What the job API needs. */
export interface JobApiInputs {
  readonly control: ControlClient
  readonly errors: ErrorAnswers
  /** Account of a request; undefined when it names none. */
  readonly accountOf: (context: Context) => string | undefined
  /** Whether an account sees only its own jobs. */
  readonly restricted: boolean
  readonly requestIdOf: (context: Context) => string
  /** Refuses new jobs, for example while the host drains. */
  readonly gate: (route: string) => Refusal | undefined
}

/**
 * Creates the routes below `/v1/jobs`.
 * @param inputs - what they need
 * @returns the routes
 */
export function createJobApi (inputs: JobApiInputs): Hono {
  const { control, errors, accountOf, requestIdOf } = inputs
  const api = new Hono()

  function send (context: Context, refusal: Refusal): Response {
    return errors.send(context, requestIdOf(context), refusal)
  }

  function scope (context: Context): string | undefined {
    return inputs.restricted ? accountOf(context) ?? '' : undefined
  }

  async function read<Kind extends Query['kind']> (context: Context, query: Extract<Query, { kind: Kind }>): Promise<Extract<QueryResponse, { kind: Kind }> | Response> {
    const answer = await control.read(query)
    if (answer.isErr()) return send(context, unavailable(answer.error))
    return answer.value as Extract<QueryResponse, { kind: Kind }>
  }

  async function findJob (context: Context, job: string): Promise<JobStatus | Response> {
    const answer = await read(context, { kind: QueryKind.Job, job, account: scope(context) })
    if (answer instanceof Response) return answer
    return answer.job ?? send(context, refuse(RefusalReason.NotFound, `there is no job ${job}`))
  }

  api.put('/:key', async context => {
    const account = accountOf(context)
    const route = context.req.query('route') ?? ''
    if (account === undefined) return send(context, refuse(RefusalReason.InvalidRequest, 'the header jaychute-account is missing'))
    if (context.req.header('content-type')?.split(';')[0] !== linesType) {
      return send(context, refuse(RefusalReason.UnsupportedContentType, `a job is sent as ${linesType}`))
    }
    const refusal = inputs.gate(route)
    if (refusal !== undefined) return send(context, refusal)
    const due = context.req.query('due')
    const dueAt = due === undefined ? Date.now() + defaultDueMs : Date.parse(due)
    if (Number.isNaN(dueAt)) return send(context, refuse(RefusalReason.InvalidRequest, 'due is not a time'))
    const body = context.req.raw.body
    if (body === null) return send(context, refuse(RefusalReason.InvalidRequest, 'the job has no items'))
    const uploaded = await uploadJob({ account, key: context.req.param('key'), route, due: dueAt }, body, control)
    if (uploaded.isErr()) return send(context, uploaded.error)
    return context.json({ job: uploaded.value }, 201)
  })

  api.get('/', async context => {
    const answer = await read(context, { kind: QueryKind.Jobs, account: scope(context), after: context.req.query('after') ?? '', limit: pageLimit })
    if (answer instanceof Response) return answer
    return context.json({ jobs: answer.jobs })
  })

  api.get('/:job', async context => {
    const job = await findJob(context, context.req.param('job'))
    return job instanceof Response ? job : context.json(job)
  })

  api.delete('/:job', async context => {
    const job = await findJob(context, context.req.param('job'))
    if (job instanceof Response) return job
    const outcome = await control.execute({ kind: CommandKind.CancelJob, job: job.job }, 15_000)
    if (outcome.isErr()) return send(context, unavailable(outcome.error))
    if (outcome.value.kind === OutcomeKind.NotFound) return send(context, refuse(RefusalReason.NotFound, `there is no job ${job.job}`))
    return context.json({ job: job.job, cancelled: true })
  })

  api.get('/:job/results', async context => {
    const id = context.req.param('job')
    const page = pageSchema.safeParse(context.req.query())
    if (!page.success) return send(context, refuse(RefusalReason.InvalidRequest, 'after and limit are whole numbers'))
    const account = scope(context)
    const answer = await read(context, { kind: QueryKind.Results, job: id, account, ...page.data })
    if (answer instanceof Response) return answer
    if (answer.results === undefined) return send(context, refuse(RefusalReason.NotFound, `there is no job ${id}`))
    if (context.req.header('accept') !== linesType) return context.json({ results: answer.results, finished: answer.finished })
    context.header('content-type', linesType)
    return stream(context, async output => {
      let results: readonly ItemResult[] = answer.results ?? []
      while (results.length > 0) {
        for (const result of results) await output.write(`${JSON.stringify(result)}\n`)
        const next = await control.read({ kind: QueryKind.Results, job: id, account, after: results.at(-1)?.position ?? -1, limit: pageLimit })
        // Destroying the connection tells the caller that the list is not whole.
        if (next.isErr()) throw next.error
        results = next.value.kind === QueryKind.Results ? next.value.results ?? [] : []
      }
    })
  })

  return api
}

/**
 * Explains a failed call to control.
 * @param failure - the failure
 * @returns the refusal
 */
export function unavailable (failure: Failure): Refusal {
  return { reason: RefusalReason.ControlUnavailable, execution: Execution.Unknown, message: failure.message, retryAfterMs: 1_000 }
}
