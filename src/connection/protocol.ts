/**
 * How an attempt is run on a backend server; the kinds of backend server differ in this.
 * @module
 */
import type { Attempt, AttemptFailure } from './backendAttempt.ts'
import type { Result } from 'neverthrow'
import type { BackendServerConnection } from './backendServerConnection.ts'

/** A piece of an answer. */
export interface OutputChunk {
  /** Number of tokens before this piece. */
  readonly offset: number
  readonly text: string
}

/**
 * Takes a piece of an answer.
 * @param part - the piece
 * @returns a promise when the next piece has to wait for it, because its receiver reads slowly
 */
export type OutputChunkReceiver = (part: OutputChunk) => Promise<void> | undefined | void

/** Runs attempts on one kind of backend server. */
export abstract class Protocol {
  /**
   * Runs an attempt.
   * @param connection - connections to the backend server
   * @param attempt - the attempt
   * @param deliver - takes each piece in order, before the next one is read
   * @returns nothing once the answer was complete, or why it was not
   */
  abstract run (
    connection: BackendServerConnection, attempt: Attempt, deliver: OutputChunkReceiver
  ): Promise<Result<void, AttemptFailure>>
}
