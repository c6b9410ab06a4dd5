/**
 * Commands of the replicated log and their outcomes. Every command is idempotent, so a client may retry it.
 * @module
 */
import type { Change } from '../../version/difference.ts'
import type { Tables } from '../../version/tables.ts'
import type { Publication } from '../../version/gatewayTables.ts'
import type { Problem } from '../../version/validation.ts'
import type { ItemReference, JobCaller, ProgressChunk, Submission } from '../jobs/submission.ts'
import type { Trait } from '../../request/requestTraits.ts'
import type { QuarantinedTrait, RecordedServerCrash } from './quarantinedTraits.ts'

/** Commands of the replicated state machine. */
export const CommandKind = {
  Apply: 'apply',
  OpenUpload: 'open upload',
  AppendItems: 'append items',
  Seal: 'seal',
  DiscardUpload: 'discard upload',
  CancelJob: 'cancel job',
  AcquireLease: 'acquire lease',
  ReleaseLease: 'release lease',
  Claim: 'claim',
  Start: 'start',
  Complete: 'complete',
  Requeue: 'give back',
  ExpireHolder: 'expire holder',
  Publish: 'publish',
  Submit: 'submit',
  SaveProgress: 'save progress',
  FinishItems: 'finish items',
  RecordFailures: 'record failures',
  EndSubmission: 'end submission',
  PurgeSubmissions: 'purge submissions',
  UpdateQuarantine: 'update quarantine'
} as const
export type CommandKind = typeof CommandKind[keyof typeof CommandKind]

/** How a finished item ended. */
export const Ending = { Done: 'done', Failed: 'failed', Unknown: 'unknown' } as const
export type Ending = typeof Ending[keyof typeof Ending]

/** Priority of an item within its job; lower numbers are granted first. */
export const Priority = { RoundSheet: 0, Ordinary: 1 } as const
export type Priority = typeof Priority[keyof typeof Priority]

/** An item as submitted. */
export interface Item {
  /** Name given by the caller. */
  readonly name: string
  readonly input: string
  readonly maxTokens: number
  readonly priority: Priority
}

/** Reports that a granted item has ended. */
export interface Completion {
  readonly job: string
  /** Index of the item in its job, from 0. */
  readonly position: number
  readonly grant: number
  readonly ending: Ending
  /** Output of the item, or the reason why there is none. */
  readonly result: string
}

/** Reference to a granted item. */
export interface GrantReference {
  readonly job: string
  readonly position: number
  readonly grant: number
}

/** A granted item that is requeued unfinished. Its progress is retained so that the next attempt can resume. */
export interface RequeuedItem extends GrantReference {
  /** Text generated so far. */
  readonly partial: string
  /** Number of tokens generated so far. */
  readonly offset: number
  /** Whether the attempt counts towards the attempt limit. */
  readonly attempted: boolean
  /** Why the attempt failed; part of the item's result if no attempt is left. */
  readonly reason?: string
}

/** An item granted to an entry host. */
export interface Grant extends GrantReference {
  readonly route: string
  readonly account: string
  readonly item: Item
  readonly partial: string
  readonly offset: number
  readonly attempts: number
}

/** The end of an item of a job that was submitted to a gateway. */
export interface FinishedItem extends ItemReference {
  readonly ending: Ending
  /** Output of the item; empty if it is the saved progress. */
  readonly output: string
  /** Number of saved events that are the output; undefined if `output` is. */
  readonly savedEvents?: number | undefined
}

/** A run of an item of a job that was submitted to a gateway, failed by its backend server. */
export interface FailedItem extends ItemReference {
  /** Number of failed runs of the item, including this one. */
  readonly count: number
  /** Identifies the run; undefined in a log of a version that did not record it. */
  readonly run?: string | undefined
}

/** Identifies one process run of an entry host, which holds leases and grants. */
export type Holder = string

/**
 * A change of the durable state. `time` is the leader's wall-clock time, in milliseconds since the epoch, at which it
 * accepted the command. `expected` is the version of the configuration, or the number of the lease, that the command
 * requires to be current; otherwise the command has no effect.
 * `received` is the sequence number of the last claim under the previous lease whose outcome the holder received;
 * grants of a later claim are requeued.
 */
export type Command =
  | { readonly kind: typeof CommandKind.Apply, readonly operation: string, readonly expected: number, readonly tables: Tables }
  | { readonly kind: typeof CommandKind.OpenUpload, readonly upload: string, readonly account: string, readonly key: string, readonly route: string, readonly due: number, readonly time: number }
  | { readonly kind: typeof CommandKind.AppendItems, readonly upload: string, readonly sequence: number, readonly items: readonly Item[], readonly time: number }
  | { readonly kind: typeof CommandKind.Seal, readonly upload: string, readonly account: string, readonly key: string, readonly digest: string, readonly count: number, readonly time: number }
  | { readonly kind: typeof CommandKind.DiscardUpload, readonly upload: string, readonly sequence?: number }
  | { readonly kind: typeof CommandKind.CancelJob, readonly job: string }
  | { readonly kind: typeof CommandKind.AcquireLease, readonly backendServer: string, readonly holder: Holder, readonly expected: number, readonly received?: number }
  | { readonly kind: typeof CommandKind.ReleaseLease, readonly backendServer: string, readonly holder: Holder, readonly number: number, readonly received?: number }
  | { readonly kind: typeof CommandKind.Claim, readonly backendServer: string, readonly holder: Holder, readonly lease: number, readonly sequence: number, readonly pool: string, readonly count: number }
  | { readonly kind: typeof CommandKind.Start, readonly items: readonly GrantReference[] }
  | { readonly kind: typeof CommandKind.Complete, readonly completions: readonly Completion[] }
  | { readonly kind: typeof CommandKind.Requeue, readonly items: readonly RequeuedItem[] }
  | { readonly kind: typeof CommandKind.ExpireHolder, readonly holder: Holder }
  | { readonly kind: typeof CommandKind.Publish, readonly publication: Publication }
  | { readonly kind: typeof CommandKind.Submit, readonly submission: Submission, readonly tokenLimit: number, readonly giveUpMs: number, readonly time: number }
  | { readonly kind: typeof CommandKind.SaveProgress, readonly pieces: readonly ProgressChunk[] }
  | { readonly kind: typeof CommandKind.FinishItems, readonly results: readonly FinishedItem[] }
  | { readonly kind: typeof CommandKind.RecordFailures, readonly failures: readonly FailedItem[] }
  | { readonly kind: typeof CommandKind.EndSubmission, readonly job: string, readonly caller?: JobCaller | undefined }
  | { readonly kind: typeof CommandKind.PurgeSubmissions, readonly jobs: readonly string[] }
  | { readonly kind: typeof CommandKind.UpdateQuarantine, readonly changed: readonly QuarantinedTrait[], readonly removed: readonly Trait[], readonly crashes?: readonly RecordedServerCrash[] }

/** A command of one kind. */
export type CommandOf<Kind extends CommandKind> = Extract<Command, { readonly kind: Kind }>

/** Outcomes of commands. */
export const OutcomeKind = {
  Done: 'done',
  Applied: 'applied',
  Conflict: 'conflict',
  Limit: 'limit',
  Full: 'full',
  Invalid: 'invalid',
  NotFound: 'not found',
  Job: 'job',
  Lease: 'lease',
  Grants: 'grants',
  Started: 'started'
} as const
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind]

/** Result of applying a command. */
export type Outcome =
  | { readonly kind: typeof OutcomeKind.Done }
  | { readonly kind: typeof OutcomeKind.Applied, readonly version: number }
  | { readonly kind: typeof OutcomeKind.Conflict, readonly text: string, readonly version?: number, readonly changes?: readonly Change[] }
  | { readonly kind: typeof OutcomeKind.Limit, readonly text: string }
  | { readonly kind: typeof OutcomeKind.Full, readonly text: string }
  | { readonly kind: typeof OutcomeKind.Invalid, readonly problems: readonly Problem[] }
  | { readonly kind: typeof OutcomeKind.NotFound }
  | { readonly kind: typeof OutcomeKind.Job, readonly job: string }
  | { readonly kind: typeof OutcomeKind.Lease, readonly holder: Holder, readonly number: number, readonly granted: boolean }
  | { readonly kind: typeof OutcomeKind.Grants, readonly grants: readonly Grant[] }
  | { readonly kind: typeof OutcomeKind.Started, readonly accepted: readonly boolean[] }

/** Outcome of a command that returns no data. */
export const done: Outcome = { kind: OutcomeKind.Done }

/** Outcome of a command that names something that does not exist. */
export const notFound: Outcome = { kind: OutcomeKind.NotFound }
