/**
 * Runs a started daemon: handles stop signals, waits for the shutdown and sets the exit code.
 * @module
 */
import { ExitCode } from './commandLine.ts'
import type { Lifecycle } from './lifecycle.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'

/** The interface of a daemon to the program that runs it. */
export interface RunningDaemon {
  readonly lifecycle: Lifecycle
  readonly logger: Logger
  /**
   * Shuts down gracefully: requests in flight complete.
   * @returns a promise that resolves when all resources are closed
   */
  drain (): Promise<void>
}

/** How a second stop signal is handled. */
export const SecondSignal = {
  /** The process exits immediately. */
  Ends: 'ends',
  /** The shutdown continues; the platform kills the process if it takes too long. */
  Ignored: 'ignored'
} as const
export type SecondSignal = typeof SecondSignal[keyof typeof SecondSignal]

/**
 * Runs a daemon until its life cycle has closed, then exits the process. SIGTERM and SIGINT start the shutdown.
 * @param daemon - the daemon
 * @param secondSignal - how a second stop signal is handled
 * @returns a promise that does not resolve, since the process exits
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
