/**
 * The task that keeps an entry host's session with control and brings it newer versions.
 * @module
 */
import type { Clock } from '../process/clock.ts'
import { type Condition, createCondition } from '../process/condition.ts'
import { LogEvents } from '../process/logEvents.ts'
import type { Logger } from '../process/logger.ts'
import type { Random } from '../process/random.ts'
import { type EntryHost, holderLimitMs } from '../process/sessions.ts'
import type { CurrentVersion } from '../version/currentVersion.ts'
import type { ControlClient } from './controlClient.ts'

/** Longest pause after a failed poll, in milliseconds. */
const retryMs = 200

/** What the stream from control has brought besides the tables. */
export interface Session {
  /** All entry hosts with a session. */
  readonly entryHosts: readonly EntryHost[]
  /** Jobs known to be cancelled. */
  readonly cancelledJobs: ReadonlySet<string>
  /** Notified when entry hosts or cancelled jobs changed. */
  readonly changed: Condition
  /**
   * Tells whether this host may hold leases and run items.
   * @param now - monotonic time in milliseconds
   * @returns false when the session may have expired at control
   */
  isAlive (now: number): boolean
  /** How often the session may have expired at control since the start; what was held before a lapse is held no more. */
  readonly lapses: number
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
  const cancelledJobs = new Set<string>()
  const changed = createCondition()
  let entryHosts: readonly EntryHost[] = []
  let polledAt: number | undefined
  let seenIndex = 0
  let directoryRevision = ''
  let stale = false
  let lapses = 0

  async function run (): Promise<void> {
    while (!signal.aborted) {
      const askedAt = clock.now()
      const first = polledAt === undefined
      const answer = await control.watch({ entryHost: describe(), version: version.configuration.version, seenIndex, directoryRevision, immediate: first })
      reportStaleness()
      if (answer.isErr()) {
        await clock.sleep(random.next() * retryMs, signal)
        continue
      }
      const { configuration, cancelledJobs: cancelled } = answer.value
      if (configuration !== undefined && version.apply(configuration)) {
        logger.write(LogEvents.configurationInForce, { value: configuration.version })
      }
      version.confirm(askedAt)
      if (polledAt !== undefined && clock.now() - polledAt >= holderLimitMs) lapses++
      polledAt = askedAt
      entryHosts = answer.value.entryHosts ?? entryHosts
      directoryRevision = answer.value.directoryRevision
      for (const job of cancelled) cancelledJobs.add(job)
      if (cancelled.length > 0) await stream.stopJobs(cancelled)
      seenIndex = answer.value.appliedIndex
      changed.notify()
    }
  }

  async function report (): Promise<void> {
    await control.watch({ entryHost: describe(), version: version.configuration.version, seenIndex, directoryRevision, immediate: true })
  }

  function reportStaleness (): void {
    const confirmed = version.isConfirmed(clock.now())
    if (confirmed && stale) logger.write(LogEvents.configurationFresh)
    if (!confirmed && !stale && polledAt !== undefined) logger.write(LogEvents.configurationStale)
    stale = !confirmed && polledAt !== undefined
  }

  const session: Session = {
    get entryHosts () { return entryHosts },
    cancelledJobs,
    changed,
    get lapses () { return lapses },
    isAlive: now => polledAt !== undefined && now - polledAt < holderLimitMs
  }
  return { session, run, report }
}
