/**
 * HTTP front end of the explanation of placements, for the address that operators use.
 * @module
 */
import { Hono } from 'hono'
import { answerPlacement, type ExplanationServices, type PlacementExplanation } from './placementExplanation.ts'

/** Path of an explanation. */
export const explanationPath = '/explain'

/** Parameters of an explanation. Others are refused, so that no key gets into a URL unnoticed. */
const parameters: ReadonlySet<string> = new Set(['host', 'path', 'account'])

/** Body of a response: an explanation, or what is wrong with the question. */
export type ExplanationBody =
  | PlacementExplanation
  | { readonly error: string }

/**
 * Creates the API.
 * @param services - the state of the gateway
 * @returns the API: status 200 with an explanation, also of a refusal; 400 for a malformed question; 404 for an unknown account
 */
export function createExplanationApi (services: ExplanationServices): Hono {
  return new Hono().get(explanationPath, async context => {
    const query = context.req.query()
    const { host, path, account } = query
    for (const name of Object.keys(query)) {
      if (!parameters.has(name)) return context.json({ error: 'unknown parameter; use host, path and account, which is a name and never a key' }, 400)
    }
    if (host === undefined || host === '' || path?.startsWith('/') !== true) return context.json({ error: 'host must be a host name, and path must begin with a slash' }, 400)
    const explained = await answerPlacement({ host, path, account }, services)
    if (explained.isErr()) return context.json({ error: `${explained.error}: the tables of this gateway have none of that name` }, 404)
    return context.json(explained.value)
  })
}
