/**
 * HTTP for operators: both tables, jobs and status.
 * @module
 */
import { Hono } from 'hono'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { QueryKind } from '../process/state/queries.ts'
import type { Tables } from '../version/tables.ts'
import { requestIdOf } from './callerApi.ts'
import type { ErrorAnswers } from './errorAnswer.ts'
import { createJobApi, unavailable } from './jobApi.ts'
import { refuse, RefusalReason } from './refusal.ts'

const applySchema = z.strictObject({
  operation: z.string().min(1).max(200),
  expected: z.number().int().min(0),
  tables: z.custom<Tables>(value => typeof value === 'object' && value !== null)
})

/** What the administration API needs. */
export interface AdministrationApiInputs {
  readonly control: ControlClient
  readonly errors: ErrorAnswers
  /** What this host knows of the system. */
  readonly status: () => object
}

/**
 * Creates the administration API.
 * @param inputs - what it needs
 * @returns the routes
 */
export function createAdministrationApi (inputs: AdministrationApiInputs): Hono {
  const { control, errors } = inputs
  const api = new Hono()

  api.get('/v1/status', context => context.json(inputs.status()))

  api.get('/v1/configuration', async context => {
    const answer = await control.read({ kind: QueryKind.Configuration })
    if (answer.isErr()) return errors.send(context, requestIdOf(context), unavailable(answer.error))
    return context.json(answer.value.kind === QueryKind.Configuration ? answer.value.configuration : {})
  })

  api.post('/v1/configuration/check', async context => {
    const answer = await control.read({ kind: QueryKind.Check, tables: await context.req.json() })
    if (answer.isErr()) return errors.send(context, requestIdOf(context), unavailable(answer.error))
    return context.json(answer.value)
  })

  api.put('/v1/configuration', async context => {
    const parsed = applySchema.safeParse(await context.req.json())
    if (!parsed.success) return errors.send(context, requestIdOf(context), refuse(RefusalReason.InvalidRequest, parsed.error.issues[0]?.message ?? 'invalid change'))
    const outcome = await control.execute({ kind: CommandKind.Apply, ...parsed.data })
    if (outcome.isErr()) return errors.send(context, requestIdOf(context), unavailable(outcome.error))
    const status = outcome.value.kind === OutcomeKind.Applied ? 200 : outcome.value.kind === OutcomeKind.Conflict ? 409 : 422
    return context.json(outcome.value, status)
  })

  api.route('/v1/jobs', createJobApi({
    control,
    errors,
    accountOf: context => context.req.header('jaychute-account'),
    restricted: false,
    requestIdOf,
    gate: () => undefined
  }))

  api.onError((error, context) => errors.send(context, requestIdOf(context), refuse(RefusalReason.InvalidRequest, error.message)))
  return api
}
