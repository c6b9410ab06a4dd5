/**
 * Admission of uploads of jobs at the leader: which items it accepts into the log, by the space for uploads and for jobs that have not run.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { Counter } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { IdleUploads } from '../jobs/idleUploads.ts'
import { countItemBytes, createJobIdentity, type Jobs, type Upload } from '../jobs/jobRecords.ts'
import { computeOpenJobLimit, computeOpenUploadLimit, decideUploadSpace, hasJobSpace, type UploadSpace, UploadSpaceKind } from '../jobs/uploadSpace.ts'
import type { Replica } from '../log/replica.ts'
import { CommandKind, type CommandOf, type Outcome, OutcomeKind } from './commands.ts'

/** Label under which discarded uploads are counted. */
const openUploadLabel = 'open upload'

/** Share of the space for jobs that has to be free when an upload is opened: what can't be kept would only pass through the log. */
const openingReserveShare = 1 / 4

/** Outcome of an upload whose items can't be kept. */
const fullOutcome: Outcome = { kind: OutcomeKind.Full, text: 'the items of accepted jobs that have not run take all of their space' }

/** Limits of what control hosts keep of jobs. */
export interface UploadLimits {
  /** Limit of the size of all jobs that are being uploaded, in bytes; by default a quarter of the heap. */
  readonly maxOpenUploadBytes?: number | undefined
  /** Limit of the size of the items of all jobs that have not run, in bytes; by default half of the heap. */
  readonly maxOpenJobBytes?: number | undefined
}

/** Dependencies and limits of the admission. */
export interface UploadAdmissionInputs extends UploadLimits, Pick<ProcessServices, 'clock' | 'logger' | 'metrics'> {
  readonly replica: Replica
  /** Returns the applied jobs; a snapshot replaces them. */
  readonly jobs: () => Jobs
  readonly idleUploads: IdleUploads
}

/** Admission of uploads at the leader. */
export interface UploadAdmission {
  /**
   * Opens an upload.
   * @param command - the command
   * @returns its outcome, `full` without space for its items, or a failure
   */
  open (command: CommandOf<'open upload'>): Promise<Result<Outcome, Failure>>
  /**
   * Appends a chunk. Discards uploads that receive nothing if it needs their space.
   * @param command - the command
   * @returns its outcome, `full` without space for its items, or a failure
   */
  append (command: CommandOf<'append items'>): Promise<Result<Outcome, Failure>>
}

/**
 * Creates the admission.
 * @param inputs - dependencies and limits
 * @returns the admission
 */
export function createUploadAdmission ({ replica, jobs, idleUploads, clock, logger, metrics, ...limits }: UploadAdmissionInputs): UploadAdmission {
  const maxOpenUploadBytes = limits.maxOpenUploadBytes ?? computeOpenUploadLimit()
  const maxOpenJobBytes = limits.maxOpenJobBytes ?? computeOpenJobLimit()
  let isJobSpaceUsed = false
  // Chunks that are not decided yet.
  let undecidedBytes = 0

  // A job that is sent again adds no items.
  function canKeepItems ({ account, key }: Pick<Upload, 'account' | 'key'>, bytes: number): boolean {
    const { byKey, uploads, openItemBytes } = jobs()
    if (byKey.has(createJobIdentity(account, key))) return true
    const hasSpace = hasJobSpace(openItemBytes, uploads.values(), bytes + undecidedBytes, maxOpenJobBytes)
    if (!hasSpace && !isJobSpaceUsed) logger.write(LogEvents.jobSpaceUsed, { inputs: { openItemBytes, maxOpenJobBytes } })
    // Half of the space has to be free before the event is logged again.
    isJobSpaceUsed = !hasSpace || (isJobSpaceUsed && openItemBytes > maxOpenJobBytes / 2)
    return hasSpace
  }

  // Returns the failure if there is no space, or an upload could not be discarded.
  async function makeUploadSpace (upload: string, bytes: number): Promise<Result<void, Failure>> {
    const decide = (): UploadSpace => decideUploadSpace(
      jobs().uploads.values(), { upload, bytes: bytes + undecidedBytes }, maxOpenUploadBytes, each => idleUploads.getIdleMs(each, clock.now())
    )
    for (let space = decide(); space.kind !== UploadSpaceKind.Fits; space = decide()) {
      if (space.kind === UploadSpaceKind.Full) return err(createFailure(FailureReason.Rejected, { step: Step.Propose, peer: replica.state.address }, 'there is no space for further items of jobs that are being uploaded'))
      const { id, account, nextSequence } = space.upload
      metrics.count(Counter.GivenWay, openUploadLabel)
      logger.write(LogEvents.uploadDiscarded, { detail: id, inputs: { account, maxOpenUploadBytes } })
      const discarded = await replica.propose({ kind: CommandKind.DiscardUpload, upload: id, sequence: nextSequence })
      if (discarded.isErr()) return err(discarded.error)
    }
    return ok(undefined)
  }

  return {
    async open (command) {
      if (!canKeepItems(command, maxOpenJobBytes * openingReserveShare)) return ok(fullOutcome)
      return await replica.propose({ ...command, time: clock.wallTime() })
    },
    async append (command) {
      const bytes = countItemBytes(command.items)
      const upload = jobs().uploads.get(command.upload)
      if (upload !== undefined && !canKeepItems(upload, bytes)) return ok(fullOutcome)
      const space = await makeUploadSpace(command.upload, bytes)
      if (space.isErr()) return err(space.error)
      undecidedBytes += bytes
      const outcome = await replica.propose({ ...command, time: clock.wallTime() })
      undecidedBytes -= bytes
      return outcome
    }
  }
}
