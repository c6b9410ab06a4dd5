/**
 * Non-blocking output for log lines. Lines beyond a buffer size or a rate are dropped.
 * @module
 */
import { write, writeSync } from 'node:fs'
import { millisecondsPerSecond } from './units.ts'

/** Maximum number of characters buffered for the next write. */
const maxBufferedCharacters = 256 * 1024

/** Lines accepted per second: several times the rate of a host at its full request load. */
const maxLinesPerSecond = 400

const standardOutput = 1

/** Functions that write the buffered lines of each output when the process exits. */
const flushFunctions = new Set<() => void>()

process.once('exit', () => {
  for (const flushNow of flushFunctions) flushNow()
})

/** A sink for log lines. */
export interface LineOutput {
  /**
   * Buffers a line for the next write, or drops it when a limit is exceeded.
   * @param line - the line, including its newline
   */
  write (line: string): void
}

/**
 * Creates a bounded output.
 * @param formatDroppedLine - formats the line that reports the number of dropped lines
 * @param descriptor - file descriptor to write to; standard output by default
 * @returns the output
 */
export function createBoundedOutput (formatDroppedLine: (count: number) => string, descriptor: number = standardOutput): LineOutput {
  let bufferedLines: string[] = []
  let bufferedCharacters = 0
  let isWriting = false
  let droppedLines = 0
  let currentSecond = 0
  let linesInSecond = 0

  function flush (): void {
    if (isWriting || bufferedLines.length === 0) return
    isWriting = true
    const bytes = Buffer.from(bufferedLines.join(''))
    bufferedLines = []
    bufferedCharacters = 0
    writeAll(bytes, 0)
  }

  function writeAll (bytes: Buffer, offset: number): void {
    write(descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      // Lines are lost when the reader has closed the pipe or the pipe is full; the process continues.
      if (error === null && offset + written < bytes.length) return writeAll(bytes, offset + written)
      isWriting = false
      flush()
    })
  }

  // A synchronous write is safe on exit, since no other work can run. The lines are lost if the reader has closed the pipe.
  flushFunctions.add(() => {
    try {
      writeSync(descriptor, bufferedLines.join(''))
    } catch {}
  })

  return {
    write (line) {
      const nowSeconds = Math.floor(performance.now() / millisecondsPerSecond)
      if (nowSeconds !== currentSecond) {
        currentSecond = nowSeconds
        linesInSecond = 0
        if (droppedLines > 0) bufferedLines.push(formatDroppedLine(droppedLines))
        droppedLines = 0
      }
      linesInSecond++
      if (linesInSecond > maxLinesPerSecond || bufferedCharacters + line.length > maxBufferedCharacters) {
        droppedLines++
        return
      }
      bufferedLines.push(line)
      bufferedCharacters += line.length
      // Batches the lines of one event loop turn into one system call.
      if (bufferedLines.length === 1) setImmediate(flush)
    }
  }
}
