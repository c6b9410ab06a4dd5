/**
 * HTTP API for operators: the tables (routes and pools), jobs and status.
 * @module
 */
import { Hono } from 'hono'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { QueryKind } from '../process/state/queries.ts'
import type { Tables } from '../version/tables.ts'
import { receiveBody } from './bodyMiddleware.ts'
import { createBodyRefusal } from './bodyRefusal.ts'
import { ensureRequestId } from './callerApi.ts'
import type { ErrorResponses } from './errorResponses.ts'
import { createJobApi, createUnavailableRefusal } from './jobApi.ts'
import { createRefusal, RefusalReason } from './refusal.ts'

const applySchema = z.strictObject({
  operation: z.string().min(1).max(200),
  expected: z.number().int().min(0),
  tables: z.custom<Tables>(value => typeof value === 'object' && value !== null)
})

/** Maximum size of the tables, in bytes. */
const maxTablesBytes = 16 * 1024 * 1024

/** Memory for tables while they are decoded and applied, in multiples of their body. */
const tablesDecodingFactor = 5

/** Dependencies and settings of the administration API. */
export interface AdministrationApiInputs {
  readonly control: ControlClient
  readonly errors: ErrorResponses
  /** Returns the state of the system as known to this host. */
  readonly status: () => object
}

/**
 * Creates the administration API.
 * @param inputs - dependencies and settings of the API
 * @returns the routes
 */
export function createAdministrationApi (inputs: AdministrationApiInputs): Hono {
  const { control, errors } = inputs
  const api = new Hono()

  api.get('/v1/status', context => context.json(inputs.status()))

  api.get('/v1/configuration', async context => {
    const response = await control.read({ kind: QueryKind.Configuration })
    if (response.isErr()) return errors.send(context, ensureRequestId(context), createUnavailableRefusal(response.error))
    return context.json(response.value.kind === QueryKind.Configuration ? response.value.configuration : {})
  })

  api.use('/v1/configuration/*', receiveBody({ maxBytes: maxTablesBytes, refuse: createBodyRefusal(errors, ensureRequestId), isOrder: true, decodingFactor: tablesDecodingFactor }))

  api.post('/v1/configuration/check', async context => {
    const response = await control.read({ kind: QueryKind.Check, tables: await context.req.json() })
    if (response.isErr()) return errors.send(context, ensureRequestId(context), createUnavailableRefusal(response.error))
    return context.json(response.value)
  })

  api.put('/v1/configuration', async context => {
    const parsed = applySchema.safeParse(await context.req.json())
    if (!parsed.success) return errors.send(context, ensureRequestId(context), createRefusal(RefusalReason.InvalidRequest, parsed.error.issues[0]?.message ?? 'invalid change'))
    const outcome = await control.execute({ kind: CommandKind.Apply, ...parsed.data })
    if (outcome.isErr()) return errors.send(context, ensureRequestId(context), createUnavailableRefusal(outcome.error))
    const status = outcome.value.kind === OutcomeKind.Applied ? 200 : outcome.value.kind === OutcomeKind.Conflict ? 409 : 422
    return context.json(outcome.value, status)
  })

  api.route('/v1/jobs', createJobApi({
    control,
    errors,
    getAccount: context => context.req.header('jaychute-account'),
    restricted: false,
    ensureRequestId,
    gate: () => undefined
  }))

  api.onError((error, context) => errors.send(context, ensureRequestId(context), createRefusal(RefusalReason.InvalidRequest, error.message)))
  return api
}
