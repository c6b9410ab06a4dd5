/**
 * Writes the events of the log catalogue with bunyan. Free-text messages are not supported.
 * @module
 */
import bunyan from 'bunyan'
import type { Failure } from './failure.ts'
import { createBoundedOutput, type LineOutput } from './boundedOutput.ts'
import { type LogEvent, LogEvents, Level } from './logEvents.ts'
import { assertNever } from './assert.ts'

/** Fields of a log event. */
export interface LogFields {
  readonly step?: string
  readonly peer?: string
  readonly requestId?: string
  readonly reason?: string
  readonly detail?: string
  readonly value?: number
  /** The inputs of a decision, with their ages or versions. */
  readonly inputs?: Readonly<Record<string, string | number | boolean>>
  readonly failure?: Failure
}

/** Writer of log events. */
export interface Logger {
  /**
   * Writes an event.
   * @param event - an event of the catalogue
   * @param fields - fields of the log line
   */
  write (event: LogEvent, fields?: LogFields): void
}

/**
 * Creates a logger that writes to standard output.
 * @param host - name of this host, written with each event
 * @param level - minimum level; events below it are dropped
 * @returns the logger
 */
export function createLogger (host: string, level: Level): Logger {
  const lineOutput: LineOutput = createBoundedOutput(count => {
    const { number, text } = LogEvents.linesDropped
    return `${JSON.stringify({ name: 'jaychute', host, event: number, value: count, msg: text, time: new Date().toISOString() })}\n`
  })
  // bunyan uses no other method of the stream than write.
  const bunyanLogger = bunyan.createLogger({ name: 'jaychute', host, level, stream: lineOutput as unknown as NodeJS.WritableStream })
  return {
    write (event, fields = {}) {
      const { failure, ...rest } = fields
      const recordFields = failure === undefined ? rest : { ...rest, ...describeFailure(failure) }
      const line = { event: event.number, ...recordFields }
      switch (event.level) {
        case Level.Debug: return bunyanLogger.debug(line, event.text)
        case Level.Info: return bunyanLogger.info(line, event.text)
        case Level.Warn: return bunyanLogger.warn(line, event.text)
        case Level.Error: return bunyanLogger.error(line, event.text)
        default: assertNever(event.level)
      }
    }
  }
}

/**
 * Creates a logger that discards all events.
 * @returns the logger
 */
export function createSilentLogger (): Logger {
  return { write () {} }
}

function describeFailure (failure: Failure): LogFields {
  return {
    step: failure.step,
    reason: failure.reason,
    detail: failure.message,
    ...(failure.peer === undefined ? {} : { peer: failure.peer })
  }
}
