/**
 * A gateway's view of the quarantine: which requests to refuse, and the outputs that clear suspect traits.
 * @module
 */
import { isPartTrait, listSharedTraits, type RequestTraits, type Trait } from '../../request/requestTraits.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { QuarantineUpdate, ServerCrashReport, TraitOutput } from './fleetMessages.ts'

/** Maximum number of shared traits whose latest output is remembered; the oldest are removed first. */
const maxRememberedOutputs = 4_096

/** Maximum number of crashes whose report has failed that are kept; the oldest are removed first. */
const maxQueuedCrashes = 200

/** A gateway's view of the quarantine. */
export interface QuarantineView {
  /** Revision of the last update; 0 before the first. */
  readonly revision: number
  /**
   * Applies an update, and aborts the attempts of blocked requests.
   * @param update - the blocked traits and the suspects
   * @param isNewLeader - whether the leader has changed, to which the latest outputs are then reported again
   */
  applyUpdate (update: QuarantineUpdate, isNewLeader?: boolean): void
  /**
   * Determines for how long a request is blocked.
   * @param traits - its traits
   * @returns the remaining time in milliseconds, or undefined if it may be sent
   */
  getBlockedMs (traits: RequestTraits): number | undefined
  /**
   * Checks whether the leader has to permit a request.
   * @param traits - its traits
   * @returns true if one of them is on trial
   */
  isOnTrial (traits: RequestTraits): boolean
  /**
   * Registers an attempt without output, which is aborted if its request is blocked.
   * @param traits - traits of the request
   * @param abort - aborts the attempt
   * @returns a function that removes the attempt
   */
  registerAttempt (traits: RequestTraits, abort: () => void): () => void
  /**
   * Records that a request had output.
   * @param traits - its traits
   */
  recordOutput (traits: RequestTraits): void
  /** Lists the latest outputs with suspect traits that were not reported yet. */
  listOutputs (): TraitOutput[]
  /**
   * Finds the latest outputs with some traits, whether they were reported or not.
   * @param traits - the traits
   * @returns the outputs that are remembered
   */
  findOutputs (traits: readonly Trait[]): TraitOutput[]
  /**
   * Marks outputs as reported.
   * @param outputs - the outputs
   */
  confirmOutputs (outputs: readonly TraitOutput[]): void
  /** Notified when a report of a crash has failed. */
  readonly crashQueued: Condition
  /**
   * Keeps the report of a crash that the leader has not recorded.
   * @param report - the report
   */
  queueCrash (report: ServerCrashReport): void
  /** Returns the oldest of these reports, as of now; undefined if there is none. */
  findQueuedCrash (): ServerCrashReport | undefined
  /** Removes the oldest of these reports. */
  removeQueuedCrash (): void
}

interface QueuedCrash {
  readonly report: ServerCrashReport
  /** Monotonic time of the crash, in milliseconds. */
  readonly at: number
}

/**
 * Creates a view without blocked traits.
 * @param clock - source of time
 * @returns the view
 */
export function createQuarantineView (clock: Clock): QuarantineView {
  // Monotonic time at which a trait is released, in milliseconds.
  const blockedUntil = new Map<Trait, number>()
  let onTrial: ReadonlySet<Trait> = new Set()
  let hasBlockedContent = false
  let suspects: readonly Trait[] = []
  let revision = 0
  // Monotonic time of the latest output by shared trait, the oldest first.
  const outputAt = new Map<Trait, number>()
  const reportedAt = new Map<Trait, number>()
  const attempts = new Map<() => void, RequestTraits>()
  const crashQueued = createCondition(clock)
  const queuedCrashes: QueuedCrash[] = []

  function getBlockedMs (traits: RequestTraits): number | undefined {
    if (blockedUntil.size === 0) return undefined
    let until: number | undefined
    for (const trait of traits.parts) until = latest(until, blockedUntil.get(trait))
    const content = hasBlockedContent ? traits.getContent() : undefined
    if (content !== undefined) until = latest(until, blockedUntil.get(content))
    return until === undefined ? undefined : Math.max(0, until - clock.now())
  }

  function findOutputs (traits: readonly Trait[]): TraitOutput[] {
    const now = clock.now()
    const outputs: TraitOutput[] = []
    for (const trait of traits) {
      const at = outputAt.get(trait)
      if (at !== undefined) outputs.push({ trait, ageMs: Math.round(now - at) })
    }
    return outputs
  }

  return {
    get revision () { return revision },
    applyUpdate (update, isNewLeader = false) {
      if (isNewLeader) reportedAt.clear()
      revision = update.revision
      suspects = update.suspects
      onTrial = new Set(update.onTrial)
      blockedUntil.clear()
      hasBlockedContent = false
      for (const { trait, remainingMs } of update.blocked) {
        blockedUntil.set(trait, clock.now() + remainingMs)
        hasBlockedContent ||= !isPartTrait(trait)
      }
      for (const trait of reportedAt.keys()) {
        if (!suspects.includes(trait)) reportedAt.delete(trait)
      }
      for (const [abort, traits] of attempts) {
        if (getBlockedMs(traits) !== undefined) abort()
      }
    },
    getBlockedMs,
    isOnTrial (traits) {
      if (onTrial.size === 0) return false
      return traits.parts.some(trait => onTrial.has(trait)) || onTrial.has(traits.getContent())
    },
    registerAttempt (traits, abort) {
      attempts.set(abort, traits)
      return () => attempts.delete(abort)
    },
    recordOutput (traits) {
      for (const trait of listSharedTraits(traits)) {
        outputAt.delete(trait)
        outputAt.set(trait, clock.now())
      }
      for (const trait of outputAt.keys()) {
        if (outputAt.size <= maxRememberedOutputs) break
        outputAt.delete(trait)
      }
    },
    listOutputs: () => findOutputs(suspects.filter(trait => (outputAt.get(trait) ?? -Infinity) > (reportedAt.get(trait) ?? -Infinity))),
    findOutputs,
    confirmOutputs (outputs) {
      // An output between the list and its confirmation is reported with the next one.
      for (const { trait } of outputs) reportedAt.set(trait, outputAt.get(trait) ?? clock.now())
    },
    crashQueued,
    queueCrash (report) {
      queuedCrashes.push({ report, at: clock.now() })
      if (queuedCrashes.length > maxQueuedCrashes) queuedCrashes.shift()
      crashQueued.notify()
    },
    findQueuedCrash () {
      const [oldest] = queuedCrashes
      if (oldest === undefined) return undefined
      const { report, at } = oldest
      return { ...report, ageMs: Math.round(clock.now() - at), outputs: findOutputs(report.traits) }
    },
    removeQueuedCrash () {
      queuedCrashes.shift()
    }
  }
}

function latest (left: number | undefined, right: number | undefined): number | undefined {
  if (left === undefined || right === undefined) return left ?? right
  return Math.max(left, right)
}
