/**
 * Containment of unexpected errors: an error in one request, connection or background task is logged and counted, and ends only
 * that. A violated invariant still ends the process, because its state can no longer be trusted.
 * @module
 */
import { InvariantError } from './assert.ts'
import { createFailure, FailureReason, Step } from './failure.ts'
import type { Lifecycle } from './lifecycle.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'
import { Counter, type Metrics } from './metrics.ts'
import type { ProcessServices } from './processServices.ts'

/** Time until a background task that failed starts again, in milliseconds. */
export const taskRestartMs = 500

/** Where an unexpected error occurred; the label of its counter. */
export const ErrorPlace = {
  CallerRequest: 'caller request',
  ItemRun: 'item run',
  BackgroundTask: 'background task',
  /** No request, connection or task caught the error. */
  Process: 'process'
} as const
export type ErrorPlace = typeof ErrorPlace[keyof typeof ErrorPlace]

/** Where unexpected errors are reported. */
export interface ErrorReporting {
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Logs and counts an unexpected error.
 * @param reporting - the log and the counters
 * @param place - where it occurred
 * @param error - the caught value
 * @param requestId - id of the request that it ended, if any
 */
export function reportUnexpectedError ({ logger, metrics }: ErrorReporting, place: ErrorPlace, error: unknown, requestId?: string): void {
  metrics.count(Counter.UnexpectedErrors, place)
  const detail = error instanceof Error ? error.stack ?? error.message : String(error)
  logger.write(LogEvents.unexpectedError, { reason: place, detail, ...(requestId === undefined ? {} : { requestId }) })
}

/**
 * Runs a background task, and starts it again after an unexpected error, until it ends or the signal aborts.
 * @param services - clock, log and counters
 * @param task - the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended; rejects with an `InvariantError` only
 */
export async function runRestarted (services: Pick<ProcessServices, 'clock' | 'logger' | 'metrics'>, task: (signal: AbortSignal) => Promise<void>, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      return await task(signal)
    } catch (error) {
      if (error instanceof InvariantError) throw error
      reportUnexpectedError(services, ErrorPlace.BackgroundTask, error)
    }
    await services.clock.sleep(taskRestartMs, signal)
  }
}

/**
 * Runs a background task until the life cycle ends, and starts it again after an unexpected error.
 * @param services - life cycle, clock, log and counters
 * @param task - the task
 */
export function runContained (services: Pick<ProcessServices, 'lifecycle' | 'clock' | 'logger' | 'metrics'>, task: (signal: AbortSignal) => Promise<void>): void {
  services.lifecycle.run(async signal => await runRestarted(services, task, signal))
}

/** The part of a process that reports errors which nothing caught. */
export interface ErrorSource {
  on (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown
}

/**
 * Contains errors that nothing else caught: they are reported, and the process continues.
 * @param source - the process
 * @param reporting - life cycle, log and counters
 */
export function containUncaughtErrors (source: ErrorSource, reporting: ErrorReporting & { readonly lifecycle: Lifecycle }): void {
  const contain = (error: unknown): void => {
    reportUnexpectedError(reporting, ErrorPlace.Process, error)
    if (!(error instanceof InvariantError)) return
    reporting.lifecycle.fail(createFailure(FailureReason.Unknown, { step: Step.Start }, error.message, error))
  }
  source.on('uncaughtException', contain)
  source.on('unhandledRejection', contain)
}
