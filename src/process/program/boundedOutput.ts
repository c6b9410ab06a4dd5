/**
 * Standard output for log lines: never blocks the process, and drops lines beyond a bound instead of keeping them.
 * @module
 */
import { write, writeSync } from 'node:fs'
import { millisecondsPerSecond } from './units.ts'

/** Most bytes that wait to be written. */
const maxBufferedBytes = 256 * 1024

/** Most lines in one second, several times what a host writes for the requests that it can serve. */
const maxLinesPerSecond = 400

const standardOutput = 1

/** Outputs whose waiting lines are written when the process exits. */
const outputs = new Set<() => void>()

process.once('exit', () => {
  for (const flushNow of outputs) flushNow()
})

/** A place for log lines. */
export interface LineOutput {
  /**
   * Writes a line, or drops it.
   * @param line - the line with its end
   */
  write (line: string): void
}

/**
 * Creates the output.
 * @param formatDroppedLine - builds the line that tells how many lines were dropped
 * @param descriptor - where to write
 * @returns the output
 */
export function createBoundedOutput (formatDroppedLine: (count: number) => string, descriptor: number = standardOutput): LineOutput {
  let bufferedLines: string[] = []
  let bufferedBytes = 0
  let isWriting = false
  let dropped = 0
  let second = 0
  let linesInSecond = 0

  function flush (): void {
    if (isWriting || bufferedLines.length === 0) return
    isWriting = true
    const bytes = Buffer.from(bufferedLines.join(''))
    bufferedLines = []
    bufferedBytes = 0
    writeAll(bytes, 0)
  }

  function writeAll (bytes: Buffer, offset: number): void {
    write(descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      // A reader that is gone or full loses lines; the process goes on.
      if (error === null && offset + written < bytes.length) return writeAll(bytes, offset + written)
      isWriting = false
      flush()
    })
  }

  // Nothing else runs any more, so blocking is harmless; a reader that is gone loses the lines.
  outputs.add(() => {
    try {
      writeSync(descriptor, bufferedLines.join(''))
    } catch {}
  })

  return {
    write (line) {
      const now = Math.floor(performance.now() / millisecondsPerSecond)
      if (now !== second) {
        second = now
        linesInSecond = 0
        if (dropped > 0) bufferedLines.push(formatDroppedLine(dropped))
        dropped = 0
      }
      linesInSecond++
      if (linesInSecond > maxLinesPerSecond || bufferedBytes + line.length > maxBufferedBytes) {
        dropped++
        return
      }
      bufferedLines.push(line)
      bufferedBytes += line.length
      // Lines of one turn of the event loop leave in one system call.
      if (bufferedLines.length === 1) setImmediate(flush)
    }
  }
}
