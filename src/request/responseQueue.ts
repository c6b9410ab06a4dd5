/**
 * Pieces of an answer between the task that reads them and the one that writes them to the caller. The queue is bounded:
 * a caller that reads slowly holds its own stream back, and one that stops reading loses its connection.
 * @module
 */
import type { OutputChunk } from '../connection/protocol.ts'

/** Pieces that wait for a caller before its stream is held back. */
export const queueLimitChunks = 64

/** Longest time that a caller may take no byte before its connection is closed, in milliseconds. */
export const callerStallTimeoutMs = 10_000

/** A bounded queue with one reader and one writer. */
export interface ResponseQueue {
  /**
   * Adds a piece.
   * @param chunk - the piece
   * @returns a promise that resolves once there is room again, or undefined when there is room
   */
  push (chunk: OutputChunk): Promise<void> | undefined
  /**
   * Takes the oldest piece.
   * @returns the piece, or undefined after the end
   */
  take (): Promise<OutputChunk | undefined>
  /** Ends the queue after the pieces that are in it. */
  end (): void
}

/**
 * Creates an empty queue.
 * @param signal - aborts when nobody reads any more; pieces are then dropped
 * @returns the queue
 */
export function createResponseQueue (signal: AbortSignal): ResponseQueue {
  const chunks: OutputChunk[] = []
  let ended = false
  let wakeReader = (): void => {}
  let wakeWriter = (): void => {}
  signal.addEventListener('abort', () => {
    ended = true
    chunks.length = 0
    wakeReader()
    wakeWriter()
  }, { once: true })

  return {
    push (chunk) {
      if (ended) return undefined
      chunks.push(chunk)
      wakeReader()
      if (chunks.length < queueLimitChunks) return undefined
      return new Promise(resolve => { wakeWriter = resolve })
    },
    async take () {
      if (chunks.length === 0 && !ended) await new Promise<void>(resolve => { wakeReader = resolve })
      const chunk = chunks.shift()
      if (chunks.length < queueLimitChunks) wakeWriter()
      return chunk
    },
    end () {
      ended = true
      wakeReader()
    }
  }
}

/**
 * Waits for a write to the caller.
 * @param written - resolves when the caller has taken it
 * @param timeoutMs - the longest wait, in milliseconds
 * @returns false when the caller has stopped reading
 */
export function isWrittenWithin (written: Promise<unknown>, timeoutMs: number): Promise<boolean> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(false), timeoutMs)
    written.catch(() => {}).finally(() => {
      clearTimeout(timer)
      resolve(true)
    })
  })
}
