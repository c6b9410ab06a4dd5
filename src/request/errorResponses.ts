/**
 * Encodes refusals as HTTP answers.
 * @module
 */
import type { Context } from 'hono'
import type { ContentfulStatusCode } from 'hono/utils/http-status'
import { Step } from '../process/program/failure.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { Logger } from '../process/program/logger.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import { type ErrorBody, type Refusal, refusalStatus } from './refusal.ts'

/** Encodes refusals and counts them. */
export interface ErrorResponses {
  /**
   * Builds the body of an error answer and counts the refusal.
   * @param requestId - id of the request
   * @param refusal - the refusal
   * @returns the body
   */
  body (requestId: string, refusal: Refusal): ErrorBody
  /**
   * Answers a request with a refusal.
   * @param context - the request
   * @param requestId - its id
   * @param refusal - the refusal
   * @returns the answer
   */
  send (context: Context, requestId: string, refusal: Refusal): Response
}

/**
 * Creates the encoder.
 * @param metrics - counts each refusal by its reason
 * @param logger - writes each refusal
 * @param alternatives - caller addresses of other entry hosts
 * @returns the encoder
 */
export function createErrorResponses (metrics: Metrics, logger: Logger, alternatives: () => readonly string[]): ErrorResponses {
  function body (requestId: string, refusal: Refusal): ErrorBody {
    metrics.count(Counter.Refusals, refusal.reason)
    logger.write(LogEvents.requestRefused, { requestId, step: Step.Admit, reason: refusal.reason, detail: refusal.message })
    return { requestId, error: { ...refusal, addresses: alternatives() } }
  }
  return {
    body,
    send (context, requestId, refusal) {
      if (refusal.retryAfterMs !== undefined) context.header('retry-after', String(Math.ceil(refusal.retryAfterMs / 1000)))
      return context.json(body(requestId, refusal), refusalStatus[refusal.reason] as ContentfulStatusCode)
    }
  }
}
