/**
 * Pieces of an answer between the task that reads them and the one that writes them to the caller. The queue is bounded:
 * a caller that reads slowly holds its own stream back, and one that stops reading loses its connection.
 * @module
 */
import type { OutputChunk } from '../connection/protocol.ts'

/** Pieces that wait for a caller before its stream is held back. */
export const queueLimit = 64

/** Longest time that a caller may take no byte before its connection is closed, in milliseconds. */
export const callerStallMs = 10_000

/** A bounded queue with one reader and one writer. */
export interface AnswerQueue {
  /**
   * Adds a piece.
   * @param part - the piece
   * @returns a promise that resolves once there is room again, or undefined when there is room
   */
  push (part: OutputChunk): Promise<void> | undefined
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
export function createAnswerQueue (signal: AbortSignal): AnswerQueue {
  const parts: OutputChunk[] = []
  let ended = false
  let wakeReader = (): void => {}
  let wakeWriter = (): void => {}
  signal.addEventListener('abort', () => {
    ended = true
    parts.length = 0
    wakeReader()
    wakeWriter()
  }, { once: true })

  return {
    push (part) {
      if (ended) return undefined
      parts.push(part)
      wakeReader()
      if (parts.length < queueLimit) return undefined
      return new Promise(resolve => { wakeWriter = resolve })
    },
    async take () {
      if (parts.length === 0 && !ended) await new Promise<void>(resolve => { wakeReader = resolve })
      const part = parts.shift()
      if (parts.length < queueLimit) wakeWriter()
      return part
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
 * @param limitMs - the longest wait, in milliseconds
 * @returns false when the caller has stopped reading
 */
export function isTaken (written: Promise<unknown>, limitMs: number): Promise<boolean> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(false), limitMs)
    written.catch(() => {}).finally(() => {
      clearTimeout(timer)
      resolve(true)
    })
  })
}
