/**
 * Writes numbered log events with bunyan. Nothing logs free text.
 * @module
 */
import bunyan from 'bunyan'
import type { Failure } from './failure.ts'
import { createBoundedOutput, type LineOutput } from './boundedOutput.ts'
import { type LogEvent, LogEvents, Level } from './logEvents.ts'
import { assertNever } from './assert.ts'

/** What a log event is about. */
export interface LogFields {
  readonly step?: string
  readonly peer?: string
  readonly requestId?: string
  readonly reason?: string
  readonly detail?: string
  readonly value?: number
  /** What decided, with ages or versions. */
  readonly inputs?: Readonly<Record<string, string | number | boolean>>
  readonly failure?: Failure
}

/** Writer of log events. */
export interface Logger {
  /**
   * Writes an event.
   * @param event - an event of the catalogue
   * @param fields - what it is about
   */
  write (event: LogEvent, fields?: LogFields): void
}

/**
 * Creates a logger that writes to standard output.
 * @param host - name of this host, written with each event
 * @param level - events below it are dropped
 * @returns the logger
 */
export function createLogger (host: string, level: Level): Logger {
  const lines: LineOutput = createBoundedOutput(count => {
    const { number, text } = LogEvents.linesDropped
    return `${JSON.stringify({ name: 'jaychute', host, event: number, value: count, msg: text, time: new Date().toISOString() })}\n`
  })
  // bunyan only calls write.
  const output = bunyan.createLogger({ name: 'jaychute', host, level, stream: lines as unknown as NodeJS.WritableStream })
  return {
    write (event, fields = {}) {
      const { failure, ...rest } = fields
      const recordFields = failure === undefined ? rest : { ...rest, ...describeFailure(failure) }
      const line = { event: event.number, ...recordFields }
      switch (event.level) {
        case Level.Debug: return output.debug(line, event.text)
        case Level.Info: return output.info(line, event.text)
        case Level.Warn: return output.warn(line, event.text)
        case Level.Error: return output.error(line, event.text)
        default: assertNever(event.level)
      }
    }
  }
}

/**
 * Creates a logger that drops every event.
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
