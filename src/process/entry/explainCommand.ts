/**
 * The operators' command that asks a gateway where a request or a job would go now.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import { type ExplanationBody, explanationPath } from '../../request/explanationApi.ts'
import type { PlacementExplanation, ServerExplanation } from '../../request/placementExplanation.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../program/failure.ts'
import { formatTable } from '../state/operatorTables.ts'
import { createUsageFailure, type OperatorFlags, type Output } from './operatorCommands.ts'

/** Name of the command. */
export const explainCommand = 'explain'

/** Timeout of the question, in milliseconds; the gateway may wait 1,200 ms for a control host. */
const timeoutMs = 5_000

/** Question to a gateway. */
export interface ExplainCommand {
  /** Metrics address of the gateway. */
  readonly address: string
  readonly flags: OperatorFlags
  readonly output: Output
}

/**
 * Asks a gateway and writes what it answers.
 * @param command - the question and its output
 * @returns nothing if the request would go somewhere; otherwise a failure with the reason `rejected`, or `invalid` for a usage error
 */
export async function runExplainCommand ({ address, flags, output }: ExplainCommand): Promise<Result<void, Failure>> {
  const { host, path, account } = flags
  if (host === undefined || path === undefined) return err(createUsageFailure('explain needs --host and --path'))
  if (!path.startsWith('/')) return err(createUsageFailure('--path must begin with a slash'))
  const answer = await ask(address, { host, path, ...(account === undefined ? {} : { account }) })
  if (answer.isErr()) return err(answer.error)
  const explanation = answer.value
  if (flags.json) output.writeLine(JSON.stringify(explanation))
  else for (const line of formatExplanation(explanation)) output.writeLine(line)
  if (explanation.refusal === undefined) return ok(undefined)
  const subject = explanation.route === undefined ? `${host}${path}` : `route ${explanation.route.name}`
  return err(createFailure(FailureReason.Rejected, { step: Step.Administration, peer: address }, `${subject} would be refused: ${explanation.refusal}`))
}

async function ask (address: string, query: Readonly<Record<string, string>>): Promise<Result<PlacementExplanation, Failure>> {
  const origin = { step: Step.Administration, peer: address }
  try {
    const response = await request(`http://${address}${explanationPath}`, { query, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, signal: AbortSignal.timeout(timeoutMs) })
    const text = await response.body.text()
    // Other hosts, and gateways of earlier versions, answer in plain text that the path is unknown.
    if (!String(response.headers['content-type']).startsWith('application/json')) {
      return err(createFailure(FailureReason.UnexpectedStatus, origin, `status ${response.statusCode}: this is not the metrics address of a gateway that explains placements`))
    }
    const body = JSON.parse(text) as ExplanationBody
    return 'error' in body ? err(createFailure(FailureReason.Rejected, origin, body.error)) : ok(body)
  } catch (error) {
    return err(toFailure(error, origin))
  }
}

/**
 * Formats an explanation for people.
 * @param explanation - the explanation
 * @returns the lines
 */
export function formatExplanation ({ refusal, knowledge, route, account, servers, job }: PlacementExplanation): string[] {
  const lines = [formatOutcome(refusal, servers, job !== undefined)]
  if (route !== undefined) lines.push(`route: ${route.name} (${route.kind}), ${route.services.map(({ service, weight, readyServers }) => `${service} with weight ${weight} and ${readyServers} ready servers`).join(', ')}`)
  if (account !== undefined) {
    const { quota } = account
    const limit = quota === undefined ? '' : `, ${quota.used === undefined ? 'unknown use' : Math.round(quota.used)} of ${Math.round(quota.limit)} requests in the window (${formatAge(quota.ageMs)}), ${formatShare(quota.admittedShare)} admitted`
    lines.push(`account: ${account.name}, priority ${account.priority}${limit}`)
  }
  const { tablesVersion, tablesVersionInForce, lastContactMs, loadSumsMs } = knowledge
  lines.push(`tables: version ${tablesVersion}, newest known ${tablesVersionInForce}; leader: ${formatAge(lastContactMs)}; sums of the load: ${formatAge(loadSumsMs)}`)
  if (job !== undefined) {
    lines.push(`waiting tokens: ${job.waitingTokens ?? 'not known, no control host answered'}, limit ${job.tokenLimit === 0 ? 'none' : job.tokenLimit}`)
    if (job.acceptedTokens !== undefined) lines.push(`a job of more than ${job.acceptedTokens} tokens would be refused`)
  }
  if (servers !== undefined) lines.push(...formatServers(servers))
  return lines
}

function formatOutcome (refusal: string | undefined, servers: ServerExplanation | undefined, isJob: boolean): string {
  if (refusal !== undefined) return `would be refused: ${refusal}${servers === undefined ? '' : `, unless a place becomes free within ${Math.round(servers.waitMs)} ms`}`
  if (isJob) return 'would go to the leader of the control hosts, which plans the runs of its items'
  return `would go to ${servers?.chosen ?? ''} of service ${servers?.service ?? ''}${servers?.needsPermit === true ? ', if the leader grants a permit for its request limit' : ''}`
}

function formatServers ({ work, maxQueued, isBeyondShare, unseenRequests, candidates, excluded }: ServerExplanation): string[] {
  const lines = [`request: work ${formatNumber(work)}, may queue behind ${maxQueued} others${isBeyondShare ? ', beyond the share of its account' : ''}; requests of other hosts since the sums: ${formatNumber(unseenRequests)}`]
  const rows = candidates.map(({ server, address, availabilityZone, share, score, parts, heldTokens }) => ({
    server, address, zone: availabilityZone, share: formatShare(share), score: formatNumber(score), ...formatParts(parts), tokens: Math.round(heldTokens)
  }))
  if (rows.length > 0) lines.push('', ...formatTable(rows))
  if (excluded.length > 0) lines.push('', ...formatTable(excluded.map(({ server, address, reason }) => ({ server, address, excluded: reason }))))
  return lines
}

function formatParts (parts: ServerExplanation['candidates'][number]['parts']): Record<string, string> {
  return Object.fromEntries(Object.entries(parts).map(([name, value]) => [name, formatNumber(value)]))
}

function formatNumber (value: number): string {
  return value.toFixed(2)
}

function formatShare (share: number): string {
  return `${(share * 100).toFixed(0)}%`
}

function formatAge (ageMs: number | undefined): string {
  return ageMs === undefined ? 'never heard' : `${Math.round(ageMs)} ms ago`
}
