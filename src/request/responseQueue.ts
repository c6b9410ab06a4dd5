/**
 * Bounded queue of response chunks between the task that reads them from a backend server and the one that writes them to
 * the caller. A caller that reads slowly applies backpressure to its own stream; one that stops reading is disconnected.
 * @module
 */
import type { OutputChunk } from '../connection/protocol.ts'

/** Queued chunks from which backpressure applies. */
export const queueLimitChunks = 64

/** Time within which the connection of a caller must accept a write of the response, in milliseconds; otherwise it is closed. */
export const callerStallTimeoutMs = 10_000

/** Bounded queue with one reader and one writer. */
export interface ResponseQueue {
  /**
   * Adds a chunk.
   * @param chunk - the chunk
   * @returns undefined while the queue has free capacity, otherwise a promise that resolves once it has some again
   */
  push (chunk: OutputChunk): Promise<void> | undefined
  /**
   * Removes the oldest chunk, and waits for one if the queue is empty.
   * @returns the chunk, or undefined after the end of the queue
   */
  take (): Promise<OutputChunk | undefined>
  /** Ends the queue; chunks already queued can still be taken. */
  end (): void
}

/**
 * Creates an empty queue.
 * @param signal - aborts when the reader has stopped; queued chunks are then dropped
 * @returns the queue
 */
export function createResponseQueue (signal: AbortSignal): ResponseQueue {
  const chunks: OutputChunk[] = []
  let hasEnded = false
  let wakeReader = (): void => {}
  let wakeWriter = (): void => {}
  signal.addEventListener('abort', () => {
    hasEnded = true
    chunks.length = 0
    wakeReader()
    wakeWriter()
  }, { once: true })

  return {
    push (chunk) {
      if (hasEnded) return undefined
      chunks.push(chunk)
      wakeReader()
      if (chunks.length < queueLimitChunks) return undefined
      return new Promise(resolve => { wakeWriter = resolve })
    },
    async take () {
      if (chunks.length === 0 && !hasEnded) await new Promise<void>(resolve => { wakeReader = resolve })
      const chunk = chunks.shift()
      if (chunks.length < queueLimitChunks) wakeWriter()
      return chunk
    },
    end () {
      hasEnded = true
      wakeReader()
    }
  }
}

/**
 * Checks whether a write to the caller settles within a timeout; a write that fails counts as settled.
 * @param written - settles when the connection has accepted the write
 * @param timeoutMs - the timeout, in milliseconds
 * @returns false on timeout, that is when the caller has stopped reading
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
