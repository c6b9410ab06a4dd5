/**
 * The task that keeps an entry host's session with control and brings it newer versions.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { type Condition, createCondition } from '../process/program/condition.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { Logger } from '../process/program/logger.ts'
import type { Random } from '../process/program/random.ts'
import { type EntryHost, holderSessionTimeoutMs } from '../process/state/sessions.ts'
import type { WatchResponse, WatchRequest } from '../process/state/watchMessages.ts'
import type { CurrentVersion } from '../version/currentVersion.ts'
import type { ControlClient } from './controlClient.ts'

/** Longest pause after a failed poll, in milliseconds. */
const retryMs = 200

/** Longest pause between two looks at the age of the session, in milliseconds. */
const lapseCheckMs = 500

/** Longest pause before the next poll while cancelled jobs are stopped, in milliseconds. */
const stopPauseMs = 500

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
export interface ControlStream {
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
export interface RunningStream {
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
 * @param stream - what the task needs
 * @returns the session and the task
 */
export function createControlStream (stream: ControlStream): RunningStream {
  const { control, version, clock, random, logger, describe, signal } = stream
  const changed = createCondition()
  let cancelledJobs: ReadonlySet<string> = new Set()
  let entryHosts: readonly EntryHost[] = []
  let polledAt: number | undefined
  let lapses = 0
  let lapsed = false
  let receivedIndex = 0
  let stoppedIndex = 0
  let stops = 0
  let directoryRevision = ''
  let stale = false
  let behind = false

  function describePoll (): Omit<WatchRequest, 'immediate'> {
    return {
      entryHost: describe(), version: version.configuration.version, stoppedIndex, knownCancelled: [...cancelledJobs], directoryRevision
    }
  }

  async function runPolls (): Promise<void> {
    while (!signal.aborted) {
      const askedAt = clock.now()
      const answer = await control.watch({ ...describePoll(), immediate: polledAt === undefined })
      checkLapse()
      if (answer.isErr()) {
        reportStaleness()
        await clock.sleep(random.next() * retryMs, signal)
        continue
      }
      takeVersion(answer.value, askedAt)
      reportStaleness()
      polledAt = askedAt
      checkLapse()
      entryHosts = answer.value.entryHosts ?? entryHosts
      directoryRevision = answer.value.directoryRevision
      receivedIndex = answer.value.appliedIndex
      await stopCancelled(answer.value.cancelledJobs)
      changed.notify()
    }
  }

  // Control that lost its data may answer with an older version, which confirms nothing.
  function takeVersion (answer: WatchResponse, askedAt: number): void {
    const { configuration } = answer
    if (configuration !== undefined && version.apply(configuration)) {
      logger.write(LogEvents.configurationActivated, { value: configuration.version })
    }
    const isBehind = answer.version < version.configuration.version
    if (isBehind && !behind) logger.write(LogEvents.configurationBehind, { value: answer.version })
    if (!isBehind) version.confirm(askedAt)
    behind = isBehind
  }

  // Polls go on while items are stopped, or a backend server that hangs would cost this host its session.
  async function stopCancelled (jobs: readonly string[]): Promise<void> {
    const fresh = jobs.filter(job => !cancelledJobs.has(job))
    cancelledJobs = new Set(jobs)
    if (fresh.length === 0) {
      if (stops === 0) stoppedIndex = receivedIndex
      return
    }
    stops++
    const stopping = stream.stopJobs(fresh).then(() => {
      stops--
      if (stops === 0) stoppedIndex = receivedIndex
    })
    await Promise.race([stopping, clock.sleep(stopPauseMs, signal)])
  }

  // Runs beside the polls: a call to control that hangs must not keep items running after the session has lapsed.
  async function watchLapse (): Promise<void> {
    while (!signal.aborted) {
      checkLapse()
      const remainingMs = polledAt === undefined || lapsed ? holderSessionTimeoutMs : polledAt + holderSessionTimeoutMs - clock.now()
      await clock.sleep(Math.min(Math.max(remainingMs, 1), lapseCheckMs), signal)
    }
  }

  function checkLapse (): void {
    const isAlive = session.isAlive(clock.now())
    if (!isAlive && !lapsed && polledAt !== undefined) {
      lapses++
      logger.write(LogEvents.sessionExpired, { value: lapses })
      stream.stopAll()
    }
    lapsed = !isAlive && polledAt !== undefined
  }

  async function report (): Promise<void> {
    await control.watch({ ...describePoll(), immediate: true })
  }

  function reportStaleness (): void {
    const confirmed = version.isConfirmed(clock.now())
    if (confirmed && stale) logger.write(LogEvents.configurationConfirmed)
    if (!confirmed && !stale && polledAt !== undefined) logger.write(LogEvents.configurationStale)
    stale = !confirmed && polledAt !== undefined
  }

  const session: Session = {
    get entryHosts () { return entryHosts },
    get cancelledJobs () { return cancelledJobs },
    get lapses () { return lapses },
    changed,
    isAlive: now => polledAt !== undefined && now - polledAt < holderSessionTimeoutMs
  }

  async function run (): Promise<void> {
    await Promise.all([runPolls(), watchLapse()])
  }
  return { session, run, report }
}
