/**
 * Quarantine of requests that crash backend servers, on the leading control host: collects the traits of the requests that were
 * in flight at crashes, and blocks the traits that are blamed. The blocked traits and the crashes are in the replicated log, so that
 * a new leader counts the crashes of its predecessors; outputs are reported to it anew.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { isPartTrait, type Trait } from '../../request/requestTraits.ts'
import type { Replica } from '../log/replica.ts'
import type { Clock } from '../program/clock.ts'
import type { Failure } from '../program/failure.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { Lifecycle } from '../program/lifecycle.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { CommandKind } from '../state/commands.ts'
import { crashRetentionMs, maxServerCrashes, type QuarantinedTrait, type QuarantinedTraits, type RecordedServerCrash } from '../state/quarantinedTraits.ts'
import { attributeCrashes, blameLimit, type BlamedTrait, listShared, type ServerCrash } from './crashAttribution.ts'
import type { BlockedTrait, QuarantineUpdate, ServerCrashReport, TraitOutput } from './fleetMessages.ts'

/** Time from the first report of a crash to its attribution, in milliseconds: reports of other regions arrive a round trip later. */
const attributionDelayMs = 100

/** Longest time for which the response to a report waits for the attribution, in milliseconds. */
const maxReportWaitMs = 250

/**
 * Time from the start of a term to the attribution of the crashes under earlier leaders, in milliseconds: hosts report the outputs since
 * these crashes with their next load reports.
 */
const inheritedAttributionDelayMs = 2_000

/**
 * Time for which a trait is blocked while its crashes are few, in milliseconds. It is then on trial: one request at a time may be
 * sent. The first output clears a sound trait that was in flight at unrelated crashes; a crash blocks the trait again.
 */
const minBlockMs = 10_000

/**
 * Time for which a trait is blocked after `provenLimit` crashes, in milliseconds; doubles with each further crash, since every
 * trial costs a backend server.
 */
const provenBlockMs = 60_000

/** Crashes from which it is unlikely that a trait was in flight by chance. */
const provenLimit = 5

/** Time for which a granted trial without an outcome prevents the next one, in milliseconds. */
const trialTimeoutMs = 3_000

/** Position of the content of a request, behind that of any prompt part. */
const contentPosition = Infinity

/** Dependencies of the quarantine. */
export interface TraitQuarantineInputs {
  readonly replica: Pick<Replica, 'propose'>
  readonly state: QuarantinedTraits
  readonly clock: Clock
  readonly logger: Logger
  readonly lifecycle: Pick<Lifecycle, 'run'>
  /** Called when the blocked traits or the suspects have changed. */
  readonly changed: () => void
}

/** The quarantine. */
export interface TraitQuarantine {
  /** Incremented when the blocked traits or the suspects change. */
  readonly revision: number
  /** Whether neither a blamed trait nor a crash is recorded, so that the traits of requests need not be determined. */
  readonly isEmpty: boolean
  /** Takes over the crashes that earlier leaders have recorded. */
  beginTerm (): void
  /** To be called when a command has changed the blocked traits or the crashes. */
  handleApplied (): void
  /**
   * Records a crash.
   * @param report - the backend server, and the traits of one request that was in flight there without output
   * @returns whether one of the traits is blocked, once the crash is in the replicated log, and after the attribution when one of them
   * was at an earlier crash; a failure if it may not be in the log
   */
  reportCrash (report: ServerCrashReport): Promise<Result<boolean, Failure>>
  /**
   * Clears traits with which requests had output.
   * @param outputs - the latest outputs
   */
  recordOutputs (outputs: readonly TraitOutput[]): void
  /**
   * Checks whether a request must not be sent.
   * @param traits - its traits
   * @returns true if one of them is blocked
   */
  isBlocked (traits: Iterable<Trait>): boolean
  /**
   * Asks whether a request with traits on trial may be sent. A granted trial ends with a crash or an output, or expires.
   * @param traits - its traits
   * @returns false if one of them is blocked or in another trial
   */
  acquireTrial (traits: readonly Trait[]): boolean
  /** Releases traits whose time is over, and removes old crashes. */
  sweep (): void
  /** Describes the blocked traits and the suspects to other hosts. */
  createUpdate (): QuarantineUpdate
}

interface RecordedCrash extends ServerCrash {
  readonly key: string
  /** Notified after the first attribution. */
  readonly attributed: Condition
  /** Whether all hosts have had time to report the requests that were in flight. */
  isSettled: boolean
  /** The latest write to the log that has begun. */
  write: Promise<Result<void, Failure>>
  /** The write that follows it, if any; it includes all reports that arrive before it begins. */
  nextWrite: Promise<Result<void, Failure>> | undefined
}

/**
 * Creates a quarantine without recorded crashes.
 * @param inputs - dependencies
 * @returns the quarantine
 */
export function createTraitQuarantine (inputs: TraitQuarantineInputs): TraitQuarantine {
  const { replica, clock, logger, lifecycle } = inputs
  // By backend server and its start.
  const crashes = new Map<string, RecordedCrash>()
  // Monotonic time at which a blocked trait is released, in milliseconds.
  const releaseAt = new Map<Trait, number>()
  // Crashes attributed to a trait in this term and before; ahead of the replicated state while a command is in flight.
  const counts = new Map<Trait, number>()
  // Monotonic time at which the last trial of a trait was granted, in milliseconds.
  const trialGrantedAt = new Map<Trait, number>()
  let suspects: ReadonlySet<Trait> = new Set()
  let revision = 1

  // Not kept, because a snapshot replaces the map.
  function getKnown (): ReadonlyMap<Trait, QuarantinedTrait> {
    return inputs.state.quarantinedTraits
  }

  function notifyChanged (): void {
    revision++
    inputs.changed()
  }

  function createCrash (key: string, at: number, attributedTo: Trait | undefined, isSettled: boolean): RecordedCrash {
    const crash: RecordedCrash = { key, at, traits: new Map(), attributedTo, attributed: createCondition(clock), isSettled, write: Promise.resolve(ok(undefined)), nextWrite: undefined }
    crashes.set(key, crash)
    for (const oldest of crashes.keys()) {
      if (crashes.size <= maxServerCrashes) break
      crashes.delete(oldest)
    }
    return crash
  }

  // Entries of earlier terms may be applied after the start of a term.
  function inheritCrashes (): void {
    for (const { key, time, traits, attributedTo } of inputs.state.serverCrashes.values()) {
      const ageMs = Math.max(0, clock.wallTime() - time)
      if (crashes.has(key) || ageMs >= crashRetentionMs) continue
      const crash = createCrash(key, clock.now() - ageMs, attributedTo, true)
      for (const [trait, position] of traits) crash.traits.set(trait, isPartTrait(trait) ? position : contentPosition)
    }
  }

  function describeCrash ({ key, at, traits, attributedTo }: RecordedCrash): RecordedServerCrash {
    const time = Math.round(clock.wallTime() - (clock.now() - at))
    return { key, time, traits: [...traits].map(([trait, position]) => [trait, isPartTrait(trait) ? position : 0]), attributedTo }
  }

  // Reports that arrive during a write are written together by the next one.
  function writeCrash (crash: RecordedCrash): Promise<Result<void, Failure>> {
    crash.nextWrite ??= crash.write.then(async () => {
      if (crash.nextWrite !== undefined) crash.write = crash.nextWrite
      crash.nextWrite = undefined
      const written = await replica.propose({ kind: CommandKind.UpdateQuarantine, changed: [], removed: [], crashes: [describeCrash(crash)] })
      return written.map(() => undefined)
    })
    return crash.nextWrite
  }

  function getOrCreateCrash ({ server, startedAt, ageMs = 0 }: ServerCrashReport): RecordedCrash {
    const key = `${server} ${startedAt}`
    const existing = crashes.get(key)
    if (existing !== undefined) return existing
    const crash = createCrash(key, clock.now() - ageMs, undefined, false)
    lifecycle.run(async signal => {
      await clock.sleep(attributionDelayMs, signal)
      crash.isSettled = true
      await attribute()
      crash.attributed.notify()
    })
    return crash
  }

  async function attribute (): Promise<void> {
    const settled = [...crashes.values()].filter(crash => crash.isSettled)
    const { blamed, suspects: shared } = attributeCrashes(settled, getKnown())
    setSuspects(shared)
    if (blamed.length > 0) await block(blamed)
  }

  async function block (blamed: readonly BlamedTrait[]): Promise<void> {
    const changed: QuarantinedTrait[] = []
    const attributedTo = new Set(blamed.map(({ trait }) => trait))
    for (const { trait, added } of blamed) {
      for (const crash of added) crash.attributedTo = trait
      const count = (counts.get(trait) ?? getKnown().get(trait)?.crashes ?? 0) + added.length
      counts.set(trait, count)
      changed.push({ trait, crashes: count, isBlocked: true })
      releaseAt.set(trait, clock.now() + getBlockDuration(count))
      trialGrantedAt.delete(trait)
      logger.write(LogEvents.traitQuarantined, { detail: trait, value: count })
    }
    await replica.propose({ kind: CommandKind.UpdateQuarantine, changed, removed: [], crashes: listAttributed(attributedTo) })
  }

  function listAttributed (traits: ReadonlySet<Trait>): RecordedServerCrash[] {
    const attributed: RecordedServerCrash[] = []
    for (const crash of crashes.values()) {
      if (crash.attributedTo !== undefined && traits.has(crash.attributedTo)) attributed.push(describeCrash(crash))
    }
    return attributed
  }

  function setSuspects (shared: ReadonlySet<Trait>): void {
    const listed = new Set(shared)
    for (const trait of getKnown().keys()) listed.add(trait)
    if (listed.size === suspects.size && [...listed].every(trait => suspects.has(trait))) return
    suspects = listed
    notifyChanged()
  }

  function isImplicated (traits: readonly Trait[], current: RecordedCrash): boolean {
    for (const trait of traits) {
      if (getKnown().has(trait)) return true
      for (const crash of crashes.values()) {
        if (crash !== current && crash.traits.has(trait)) return true
      }
    }
    return false
  }

  // Removes a trait from the crashes before an output; returns whether it is to be released. The output may have been reported
  // after the trait was blamed.
  function clear (trait: Trait, outputAt: number): boolean {
    let cleared = 0
    for (const crash of crashes.values()) {
      if (crash.at >= outputAt || !crash.traits.delete(trait)) continue
      if (crash.attributedTo === trait) cleared++
    }
    const record = getKnown().get(trait)
    if (record === undefined) return false
    const count = (counts.get(trait) ?? record.crashes) - cleared
    counts.set(trait, count)
    return count < blameLimit || outputAt > getLastCrashAt(trait)
  }

  // Returns the crashes that were attributed to the trait.
  function release (trait: Trait): RecordedServerCrash[] {
    counts.delete(trait)
    const released: RecordedServerCrash[] = []
    for (const crash of crashes.values()) {
      if (crash.attributedTo !== trait) continue
      crash.attributedTo = undefined
      released.push(describeCrash(crash))
    }
    logger.write(LogEvents.traitReleased, { detail: trait, reason: 'output' })
    return released
  }

  function recordOutputs (outputs: readonly TraitOutput[]): void {
    const recorded = outputs.filter(({ trait }) => isRecorded(trait))
    if (recorded.length === 0) return
    const removed: Trait[] = []
    for (const { trait, ageMs } of recorded) {
      if (clear(trait, clock.now() - ageMs)) removed.push(trait)
    }
    const released = removed.flatMap(release)
    lifecycle.run(async () => {
      if (removed.length > 0) await replica.propose({ kind: CommandKind.UpdateQuarantine, changed: [], removed, crashes: released })
      await attribute()
    })
  }

  function isRecorded (trait: Trait): boolean {
    if (getKnown().has(trait)) return true
    for (const crash of crashes.values()) {
      if (crash.traits.has(trait)) return true
    }
    return false
  }

  function getLastCrashAt (trait: Trait): number {
    let last = -Infinity
    for (const crash of crashes.values()) {
      if (crash.traits.has(trait)) last = Math.max(last, crash.at)
    }
    return last
  }

  function isBlocked (traits: Iterable<Trait>): boolean {
    for (const trait of traits) {
      if (getKnown().get(trait)?.isBlocked === true) return true
    }
    return false
  }

  return {
    get revision () { return revision },
    get isEmpty () { return getKnown().size === 0 && crashes.size === 0 },
    beginTerm () {
      crashes.clear()
      releaseAt.clear()
      counts.clear()
      trialGrantedAt.clear()
      inheritCrashes()
      suspects = new Set([...getKnown().keys(), ...listShared(crashes.values())])
      notifyChanged()
      lifecycle.run(async signal => {
        await clock.sleep(inheritedAttributionDelayMs, signal)
        if (!signal.aborted) await attribute()
      })
    },
    handleApplied () {
      inheritCrashes()
      notifyChanged()
    },
    async reportCrash (report) {
      recordOutputs(report.outputs ?? [])
      const crash = getOrCreateCrash(report)
      if (crash.traits.size === 0) logger.write(LogEvents.backendServerCrashed, { peer: report.server, detail: report.traits.join(' ') })
      for (const [position, trait] of report.traits.entries()) crash.traits.set(trait, isPartTrait(trait) ? position : contentPosition)
      const written = await writeCrash(crash)
      if (written.isErr()) return err(written.error)
      if (crash.isSettled) await attribute()
      else if (isImplicated(report.traits, crash)) await crash.attributed.wait(maxReportWaitMs)
      return ok(isBlocked(report.traits))
    },
    recordOutputs,
    isBlocked,
    acquireTrial (traits) {
      if (isBlocked(traits)) return false
      const now = clock.now()
      const onTrial = traits.filter(trait => getKnown().has(trait))
      for (const trait of onTrial) {
        if (now - (trialGrantedAt.get(trait) ?? -Infinity) < trialTimeoutMs) return false
      }
      for (const trait of onTrial) trialGrantedAt.set(trait, now)
      return true
    },
    sweep () {
      const now = clock.now()
      for (const [key, crash] of crashes) {
        if (now - crash.at >= crashRetentionMs) crashes.delete(key)
      }
      const changed: QuarantinedTrait[] = []
      for (const record of getKnown().values()) {
        if (!record.isBlocked) continue
        const until = releaseAt.get(record.trait) ?? now + getBlockDuration(record.crashes)
        releaseAt.set(record.trait, until)
        if (now < until) continue
        changed.push({ ...record, isBlocked: false })
        logger.write(LogEvents.traitReleased, { detail: record.trait, reason: 'trial' })
      }
      if (changed.length > 0) lifecycle.run(async () => { await replica.propose({ kind: CommandKind.UpdateQuarantine, changed, removed: [] }) })
    },
    createUpdate () {
      const now = clock.now()
      const blocked: BlockedTrait[] = []
      const onTrial: Trait[] = []
      for (const { trait, isBlocked: isActive, crashes: count } of getKnown().values()) {
        if (isActive) blocked.push({ trait, remainingMs: Math.max(0, Math.round((releaseAt.get(trait) ?? now + getBlockDuration(count)) - now)) })
        else onTrial.push(trait)
      }
      return { revision, blocked, onTrial, suspects: [...suspects] }
    }
  }
}

/**
 * Determines for how long a trait is blocked.
 * @param crashes - number of crashes that are attributed to it
 * @returns the duration in milliseconds
 */
function getBlockDuration (crashes: number): number {
  if (crashes < provenLimit) return minBlockMs
  return Math.min(crashRetentionMs, provenBlockMs * 2 ** (crashes - provenLimit))
}
