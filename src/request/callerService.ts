/**
 * What a gateway does with the calls of callers; a front end decodes the calls and encodes the answers.
 * @module
 */
import type { Result } from 'neverthrow'
import type { ResultPage } from '../process/jobs/submissions.ts'
import type { CallerLimits } from '../version/gatewayTables.ts'
import type { CallerResponse, CallerRequest, GatewayRefusal } from './callerExchange.ts'
import type { JobSubmission } from './gatewayJobs.ts'

/** The calls of callers. */
export interface CallerService {
  /** Limits in force; undefined before the first tables. */
  limits (): CallerLimits | undefined
  /** Whether connections are to end after their answers. */
  isDraining (): boolean
  /** Whether a request with this host and path is a job. */
  isJob (host: string, path: string): boolean
  now (): number
  forward (request: CallerRequest, response: CallerResponse): Promise<void>
  submit (job: JobSubmission): Promise<Result<void, GatewayRefusal>>
  results (job: string, after: number, waitMs: number): Promise<Result<ResultPage | undefined, GatewayRefusal>>
  body (job: string, item: string): Promise<Result<Uint8Array | undefined, GatewayRefusal>>
  end (job: string): Promise<Result<boolean, GatewayRefusal>>
}
