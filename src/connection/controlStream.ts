/**
 * The task that keeps the session of an entry host with control and receives new configuration versions.
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

/** Maximum delay after a failed poll, in milliseconds; the delay is random. */
const maxRetryDelayMs = 200

/** Maximum interval between two checks of the age of the session, in milliseconds. */
const maxExpiryCheckIntervalMs = 500

/** Maximum wait for cancelled jobs to stop before the next poll, in milliseconds. */
const maxStopWaitMs = 500

/** State of the session with control, apart from the configuration tables. */
export interface Session {
  /** All entry hosts with a session. */
  readonly entryHosts: readonly EntryHost[]
  /** Cancelled jobs that still have items on this host. */
  readonly cancelledJobs: ReadonlySet<string>
  /**
   * Number of times that the session has expired. Grants and leases requested before an expiry are void after it, since
   * control may have given them to another host or confirmed the cancellation of their job.
   */
  readonly lapses: number
  /** Notified when the entry hosts or the cancelled jobs may have changed. */
  readonly changed: Condition
  /**
   * Checks whether the session is valid, so that this host may hold leases and run items.
   * @param now - monotonic time in milliseconds
   * @returns false when the session may have expired at control
   */
  isAlive (now: number): boolean
}

/** Dependencies and settings of a control stream. */
export interface ControlStreamInputs {
  readonly control: ControlClient
  readonly version: CurrentVersion
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Describes the current state of this host. */
  readonly describe: () => EntryHost
  /** Stops all items of the jobs. The stop is reported to control only after the returned promise has resolved. */
  readonly stopJobs: (jobs: readonly string[]) => Promise<void>
  /** Stops all batch items; called when the session has expired. */
  readonly stopAll: () => void
  readonly signal: AbortSignal
}

/** A session with control and the task that keeps it. */
export interface ControlStream {
  readonly session: Session
  /**
   * Polls control until the signal aborts.
   * @returns a promise that resolves when the task has ended
   */
  run (): Promise<void>
  /**
   * Reports the current state of this host to control at once instead of with the next poll.
   * @returns a promise that resolves when control has responded or the call has failed
   */
  report (): Promise<void>
}

/**
 * Creates the stream; `run` is its task.
 * @param inputs - dependencies and settings of the stream
 * @returns the session and the task
 */
export function createControlStream (inputs: ControlStreamInputs): ControlStream {
  const { control, version, clock, random, logger, describe, signal } = inputs
  const changed = createCondition()
  let cancelledJobs: ReadonlySet<string> = new Set()
  let entryHosts: readonly EntryHost[] = []
  let polledAt: number | undefined
  let expiryCount = 0
  let isExpired = false
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

  // Control hosts that have lost their data may respond with an older version, which confirms nothing.
  function applyVersion (response: WatchResponse, requestedAt: number): void {
    const { configuration } = response
    if (configuration !== undefined && version.apply(configuration)) {
      logger.write(LogEvents.configurationActivated, { value: configuration.version })
    }
    const isOlder = response.version < version.configuration.version
    if (isOlder && !wasBehind) logger.write(LogEvents.configurationBehind, { value: response.version })
    if (!isOlder) version.confirm(requestedAt)
    wasBehind = isOlder
  }

  // Polls continue while items are being stopped; otherwise a hanging backend server would let the session expire.
  async function stopCancelled (jobs: readonly string[]): Promise<void> {
    const newlyCancelled = jobs.filter(job => !cancelledJobs.has(job))
    cancelledJobs = new Set(jobs)
    if (newlyCancelled.length === 0) {
      if (pendingStops === 0) stoppedIndex = receivedIndex
      return
    }
    pendingStops++
    const stopping = inputs.stopJobs(newlyCancelled).then(() => {
      pendingStops--
      if (pendingStops === 0) stoppedIndex = receivedIndex
    })
    await Promise.race([stopping, clock.sleep(maxStopWaitMs, signal)])
  }

  // Runs concurrently with the polls: a hanging call to control must not keep items running after the session has expired.
  async function monitorExpiry (): Promise<void> {
    while (!signal.aborted) {
      checkExpiry()
      const remainingMs = polledAt === undefined || isExpired ? holderSessionTimeoutMs : polledAt + holderSessionTimeoutMs - clock.now()
      await clock.sleep(Math.min(Math.max(remainingMs, 1), maxExpiryCheckIntervalMs), signal)
    }
  }

  function checkExpiry (): void {
    const isAlive = session.isAlive(clock.now())
    if (!isAlive && !isExpired && polledAt !== undefined) {
      expiryCount++
      logger.write(LogEvents.sessionExpired, { value: expiryCount })
      inputs.stopAll()
    }
    isExpired = !isAlive && polledAt !== undefined
  }

  async function report (): Promise<void> {
    await control.watch({ ...describePoll(), immediate: true })
  }

  function logStaleness (): void {
    const isConfirmed = version.isConfirmed(clock.now())
    if (isConfirmed && wasStale) logger.write(LogEvents.configurationConfirmed)
    if (!isConfirmed && !wasStale && polledAt !== undefined) logger.write(LogEvents.configurationStale)
    wasStale = !isConfirmed && polledAt !== undefined
  }

  const session: Session = {
    get entryHosts () { return entryHosts },
    get cancelledJobs () { return cancelledJobs },
    get lapses () { return expiryCount },
    changed,
    isAlive: now => polledAt !== undefined && now - polledAt < holderSessionTimeoutMs
  }

  async function run (): Promise<void> {
    await Promise.all([runPolls(), monitorExpiry()])
  }
  return { session, run, report }
}
