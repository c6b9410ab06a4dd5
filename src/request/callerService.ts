/**
 * Operations that a gateway offers to callers, independent of the encoding: a front end decodes the requests and encodes
 * the responses.
 * @module
 */
import type { Result } from 'neverthrow'
import type { ResultPage } from '../process/jobs/submissions.ts'
import type { CallerLimits } from '../version/gatewayTables.ts'
import type { CallerResponse, CallerRequest, GatewayRefusal } from './callerExchange.ts'
import type { JobAccess, JobSubmission } from './gatewayJobs.ts'

/** Operations for callers. */
export interface CallerService {
  /** Active limits; undefined before the first tables are received. */
  limits (): CallerLimits | undefined
  /**
   * Checks whether a request submits a job.
   * @param host - the host name of the request, without a port
   * @param path - the path, with or without a query
   * @returns whether the matching route is a batch route
   */
  isJob (host: string, path: string): boolean
  /** Checks whether the tables have client accounts, so that what callers say of their identity is not forwarded. */
  hasAccounts (): boolean
  /**
   * Finds the client account of a caller, to which the memory that its requests hold is counted.
   * @param credential - the key as the caller sent it; undefined if it sent none
   * @returns name of the account, or undefined if it is not known
   */
  findAccount?: (credential: string | undefined) => string | undefined
  /** Monotonic time, in milliseconds. */
  now (): number
  /**
   * Runs a live request.
   * @param request - the request
   * @param response - the response to the caller
   * @returns a promise that resolves when the response has ended
   */
  forward (request: CallerRequest, response: CallerResponse): Promise<void>
  /**
   * Submits a job.
   * @param job - the job
   * @returns nothing once the job is durable, or a refusal
   */
  submit (job: JobSubmission): Promise<Result<void, GatewayRefusal>>
  /**
   * Reads results of a job by a long poll.
   * @param job - id of the job
   * @param after - position of the first result to return
   * @param waitMs - duration of the long poll, in milliseconds
   * @param access - how the caller identifies itself
   * @returns a page of results, undefined when the job does not exist or belongs to another client account, or a refusal
   */
  results (job: string, after: number, waitMs: number, access: JobAccess): Promise<Result<ResultPage | undefined, GatewayRefusal>>
  /**
   * Reads the body of an item that has no result yet.
   * @param job - id of the job
   * @param item - id of the item
   * @param access - how the caller identifies itself
   * @returns the body, undefined when there is none or the job belongs to another client account, or a refusal
   */
  body (job: string, item: string, access: JobAccess): Promise<Result<Uint8Array | undefined, GatewayRefusal>>
  /**
   * Ends a job.
   * @param job - id of the job
   * @param access - how the caller identifies itself
   * @returns whether the job existed and the caller may end it, or a refusal when it may not have ended
   */
  end (job: string, access: JobAccess): Promise<Result<boolean, GatewayRefusal>>
  /**
   * Reports an unexpected error that ended a request.
   * @param error - the caught value
   * @param requestId - id of the request; empty if it has none
   */
  reportError (error: unknown, requestId: string): void
}
