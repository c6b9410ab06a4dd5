/**
 * Operations that a gateway offers to callers, independent of the encoding: a front end decodes the requests and encodes
 * the responses.
 * @module
 */
import type { Result } from 'neverthrow'
import type { ResultPage } from '../process/jobs/submissions.ts'
import type { CallerLimits } from '../version/gatewayTables.ts'
import type { CallerResponse, CallerRequest, GatewayRefusal } from './callerExchange.ts'
import type { JobSubmission } from './gatewayJobs.ts'

/** Operations for callers. */
export interface CallerService {
  /** Active limits; undefined before the first tables are received. */
  limits (): CallerLimits | undefined
  /** Whether connections are to be closed after their current response. */
  isDraining (): boolean
  /** Whether a request with this host and path submits a job. */
  isJob (host: string, path: string): boolean
  /** Monotonic time, in milliseconds. */
  now (): number
  /** Runs a live request; resolves when the response has ended. */
  forward (request: CallerRequest, response: CallerResponse): Promise<void>
  /** Submits a job; resolves when it is durable, or with a refusal. */
  submit (job: JobSubmission): Promise<Result<void, GatewayRefusal>>
  /**
   * Reads results of a job, by a long poll of up to `waitMs` milliseconds. Position `after` is that of the first result
   * returned. The value is undefined when the job does not exist.
   */
  results (job: string, after: number, waitMs: number): Promise<Result<ResultPage | undefined, GatewayRefusal>>
  /** Reads the body of an item that has no result yet; the value is undefined when there is none. */
  body (job: string, item: string): Promise<Result<Uint8Array | undefined, GatewayRefusal>>
  /** Ends a job; the value is false when it does not exist. After a refusal the job may not have ended. */
  end (job: string): Promise<Result<boolean, GatewayRefusal>>
}
