/**
 * Queries of the durable state and their responses.
 * @module
 */
import type { Change } from '../../version/difference.ts'
import type { Configuration, Tables } from '../../version/tables.ts'
import type { Problem } from '../../version/validation.ts'
import type { Ending } from './commands.ts'
import type { JobCaller } from '../jobs/submission.ts'
import type { ResultPage } from '../jobs/submissions.ts'

/** Queries that a control host answers. */
export const QueryKind = {
  Configuration: 'configuration',
  Check: 'check',
  Job: 'job',
  Jobs: 'jobs',
  Results: 'results',
  Publication: 'publication',
  SubmissionResults: 'submission results',
  SubmittedBody: 'submitted body',
  WaitingTokens: 'waiting tokens'
} as const
export type QueryKind = typeof QueryKind[keyof typeof QueryKind]

/** A read of the durable state. */
export type Query =
  | { readonly kind: typeof QueryKind.Configuration }
  | { readonly kind: typeof QueryKind.Check, readonly tables: Tables }
  | { readonly kind: typeof QueryKind.Job, readonly job: string, readonly account?: string | undefined }
  | { readonly kind: typeof QueryKind.Jobs, readonly account?: string | undefined, readonly after: string, readonly limit: number }
  | { readonly kind: typeof QueryKind.Results, readonly job: string, readonly account?: string | undefined, readonly after: number, readonly limit: number }
  | { readonly kind: typeof QueryKind.Publication }
  /**
   * Long poll: waits up to `waitMs`, and at most `longPollMs`, until there is a result with index `after`, which is the
   * first one of the page.
   */
  | { readonly kind: typeof QueryKind.SubmissionResults, readonly job: string, readonly after: number, readonly waitMs: number, readonly caller?: JobCaller | undefined }
  | { readonly kind: typeof QueryKind.SubmittedBody, readonly job: string, readonly item: string, readonly caller?: JobCaller | undefined }
  /** Tokens of the waiting items of a route, and of a client account if one is named. Hosts of earlier versions fail the call. */
  | { readonly kind: typeof QueryKind.WaitingTokens, readonly host: string, readonly pathPrefix: string, readonly account?: string | undefined }

/** Query of a kind. */
export type QueryOf<Kind extends QueryKind> = Extract<Query, { readonly kind: Kind }>

/** Phase of a job. */
export const JobPhase = { Running: 'running', Finished: 'finished', Cancelled: 'cancelled' } as const
export type JobPhase = typeof JobPhase[keyof typeof JobPhase]

/** Status of a job. */
export interface JobStatus {
  readonly job: string
  readonly account: string
  readonly key: string
  readonly route: string
  readonly phase: JobPhase
  readonly items: number
  readonly done: number
  readonly failed: number
  readonly unknown: number
  readonly inFlight: number
  /** Wall-clock time by which the job is due, in milliseconds since the epoch. */
  readonly due: number
}

/** Result of a finished item. */
export interface ItemResult {
  /** Index in the job, from 0. */
  readonly position: number
  readonly name: string
  readonly ending: Ending
  readonly result: string
}

/** Response to a query. */
export type QueryResponse =
  | { readonly kind: typeof QueryKind.Configuration, readonly configuration: Configuration }
  | { readonly kind: typeof QueryKind.Check, readonly version: number, readonly problems: readonly Problem[], readonly changes: readonly Change[] }
  | { readonly kind: typeof QueryKind.Job, readonly job?: JobStatus | undefined }
  | { readonly kind: typeof QueryKind.Jobs, readonly jobs: readonly JobStatus[] }
  | { readonly kind: typeof QueryKind.Results, readonly results?: readonly ItemResult[] | undefined, readonly finished: boolean }
  | { readonly kind: typeof QueryKind.Publication, readonly document?: string | undefined }
  /** `isForeign` is set if the job exists, but the caller may not read it. */
  | { readonly kind: typeof QueryKind.SubmissionResults, readonly page?: ResultPage | undefined, readonly isForeign?: boolean | undefined }
  | { readonly kind: typeof QueryKind.SubmittedBody, readonly body?: Uint8Array | undefined, readonly isForeign?: boolean | undefined }
  | { readonly kind: typeof QueryKind.WaitingTokens, readonly tokens: number }
