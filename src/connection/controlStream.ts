/**
 * The task that keeps an entry host's session with control and brings it newer versions.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { type Condition, createCondition } from '../process/program/condition.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { Logger } from '../process/program/logger.ts'
import type { Random } from '../process/program/random.ts'
import { type EntryHost, holderLimitMs } from '../process/state/sessions.ts'
import type { WatchAnswer, WatchRequest } from '../process/state/watchMessages.ts'
import type { CurrentVersion } from '../version/currentVersion.ts'
import type { ControlClient } from './controlClient.ts'

/** Longest pause after a failed poll, in milliseconds. */
const maxRetryDelayMs = 200

/** Longest pause between two looks at the age of the session, in milliseconds. */
const maxExpiryCheckIntervalMs = 500

/** Longest pause before the next poll while cancelled jobs are stopped, in milliseconds. */
const maxStopWaitMs = 500

/** What the stream from control has brought besides the tables. */
export interface Session {
  /** All entry hosts with a session. */
  readonly entryHosts: readonly EntryHost[]
  /** Cancelled jobs of which this host still has items. */
  readonly cancelledJobs: ReadonlySet<string>
  /**
   * How often the session has lapsed. Grants and leases asked for before a lapse are void after it, since control may
   * have given them to another host or answered a cancellation.
   */
  readonly lapses: number
  /** Notified when entry hosts or cancelled jobs changed. */
  readonly changed: Condition
  /**
   * Tells whether this host may hold leases and run items.
   * @param now - monotonic time in milliseconds
   * @returns false when the session may have expired at control
   */
  isAlive (now: number): boolean
}

/** What the task needs. */
export interface ControlStreamInputs {
  readonly control: ControlClient
  readonly version: CurrentVersion
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** This host, as it is at the moment. */
  readonly describe: () => EntryHost
  /** Stops everything that runs for jobs. Control is told only after it has resolved. */
  readonly stopJobs: (jobs: readonly string[]) => Promise<void>
  /** Stops all batch items, when the session has lapsed. */
  readonly stopAll: () => void
  readonly signal: AbortSignal
}

/** A running stream. */
export interface ControlStream {
  readonly session: Session
  /**
   * Polls until the signal aborts.
   * @returns a promise that resolves at the end
   */
  run (): Promise<void>
  /**
   * Tells control at once what this host is like now, instead of with the next poll.
   * @returns a promise that resolves when control has answered or could not be reached
   */
  report (): Promise<void>
}

/**
 * Creates the stream; `run` is its task.
 * @param inputs - what the task needs
 * @returns the session and the task
 */
export function createControlStream (inputs: ControlStreamInputs): ControlStream {
  const { control, version, clock, random, logger, describe, signal } = inputs
  const changed = createCondition()
  let cancelledJobs: ReadonlySet<string> = new Set()
  let entryHosts: readonly EntryHost[] = []
  let polledAt: number | undefined
  let expiryCount = 0
  let expired = false
  let receivedIndex = 0
  let stoppedIndex = 0
  let pendingStops = 0
  let directoryRevision = ''
  let wasStale = false
  let wasBehind = false

  function describePoll (): Omit<WatchRequest, 'immediate'> {
    return {
      entryHost: describe(), version: version.configuration.version, stoppedIndex, knownCancelled: [...cancelledJobs], directoryRevision
    }
  }

  async function runPolls (): Promise<void> {
    while (!signal.aborted) {
      const requestedAt = clock.now()
      const response = await control.watch({ ...describePoll(), immediate: polledAt === undefined })
      checkExpiry()
      if (response.isErr()) {
        logStaleness()
        await clock.sleep(random.next() * maxRetryDelayMs, signal)
        continue
      }
      applyVersion(response.value, requestedAt)
      logStaleness()
      polledAt = requestedAt
      checkExpiry()
      entryHosts = response.value.entryHosts ?? entryHosts
      directoryRevision = response.value.directoryRevision
      receivedIndex = response.value.appliedIndex
      await stopCancelled(response.value.cancelledJobs)
      changed.notify()
    }
  }

  // Control that lost its data may answer with an older version, which confirms nothing.
  function applyVersion (response: WatchAnswer, requestedAt: number): void {
    const { configuration } = response
    if (configuration !== undefined && version.apply(configuration)) {
      logger.write(LogEvents.configurationInForce, { value: configuration.version })
    }
    const isBehind = response.version < version.configuration.version
    if (isBehind && !wasBehind) logger.write(LogEvents.configurationBehind, { value: response.version })
    if (!isBehind) version.confirm(requestedAt)
    wasBehind = isBehind
  }

  // Polls go on while items are stopped, or a backend server that hangs would cost this host its session.
  async function stopCancelled (jobs: readonly string[]): Promise<void> {
    const added = jobs.filter(job => !cancelledJobs.has(job))
    cancelledJobs = new Set(jobs)
    if (added.length === 0) {
      if (pendingStops === 0) stoppedIndex = receivedIndex
      return
    }
    pendingStops++
    const stopping = inputs.stopJobs(added).then(() => {
      pendingStops--
      if (pendingStops === 0) stoppedIndex = receivedIndex
    })
    await Promise.race([stopping, clock.sleep(maxStopWaitMs, signal)])
  }

  // Runs beside the polls: a call to control that hangs must not keep items running after the session has lapsed.
  async function monitorExpiry (): Promise<void> {
    while (!signal.aborted) {
      checkExpiry()
      const remainingMs = polledAt === undefined || expired ? holderLimitMs : polledAt + holderLimitMs - clock.now()
      await clock.sleep(Math.min(Math.max(remainingMs, 1), maxExpiryCheckIntervalMs), signal)
    }
  }

  function checkExpiry (): void {
    const isAlive = session.isAlive(clock.now())
    if (!isAlive && !expired && polledAt !== undefined) {
      expiryCount++
      logger.write(LogEvents.sessionLapsed, { value: expiryCount })
      inputs.stopAll()
    }
    expired = !isAlive && polledAt !== undefined
  }

  async function report (): Promise<void> {
    await control.watch({ ...describePoll(), immediate: true })
  }

  function logStaleness (): void {
    const confirmed = version.isConfirmed(clock.now())
    if (confirmed && wasStale) logger.write(LogEvents.configurationFresh)
    if (!confirmed && !wasStale && polledAt !== undefined) logger.write(LogEvents.configurationStale)
    wasStale = !confirmed && polledAt !== undefined
  }

  const session: Session = {
    get entryHosts () { return entryHosts },
    get cancelledJobs () { return cancelledJobs },
    get lapses () { return expiryCount },
    changed,
    isAlive: now => polledAt !== undefined && now - polledAt < holderLimitMs
  }

  async function run (): Promise<void> {
    await Promise.all([runPolls(), monitorExpiry()])
  }
  return { session, run, report }
}
