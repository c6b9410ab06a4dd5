/**
 * The rest of a program's life once its daemon has started: signals, the end, and the exit code.
 * @module
 */
import { ExitCode } from './commandLine.ts'
import type { Lifecycle } from './lifecycle.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'

/** A daemon as its program sees it. */
export interface RunningDaemon {
  readonly lifecycle: Lifecycle
  readonly logger: Logger
  /** Shuts down without cutting off a request; resolves when all is closed. */
  drain (): Promise<void>
}

/** What a second signal to stop means. */
export const SecondSignal = {
  /** The process ends at once. */
  Ends: 'ends',
  /** The shutdown goes on; the platform of the process kills it when it takes too long. */
  Ignored: 'ignored'
} as const
export type SecondSignal = typeof SecondSignal[keyof typeof SecondSignal]

/**
 * Runs a daemon until its life cycle has closed, then exits the process.
 * @param daemon - the daemon
 * @param secondSignal - what a second signal to stop means
 */
export async function runDaemon (daemon: RunningDaemon, secondSignal: SecondSignal): Promise<void> {
  let isDraining = false

  function requestStop (): void {
    if (isDraining && secondSignal === SecondSignal.Ignored) return
    if (isDraining) process.exit(ExitCode.Failure)
    isDraining = true
    daemon.drain().catch(() => process.exit(ExitCode.Failure))
  }

  process.on('SIGTERM', requestStop)
  process.on('SIGINT', requestStop)
  await daemon.lifecycle.waitUntilClosed()
  const { cause } = daemon.lifecycle
  daemon.logger.write(cause === undefined ? LogEvents.processEnded : LogEvents.processFailed, cause === undefined ? {} : { failure: cause })
  process.exit(cause === undefined ? ExitCode.Success : ExitCode.Failure)
}
