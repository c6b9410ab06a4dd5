/**
 * The interface by which an attempt runs on a backend server; each kind of backend server has its own implementation.
 * @module
 */
import type { Attempt, AttemptFailure } from './backendAttempt.ts'
import type { Result } from 'neverthrow'
import type { BackendServerConnection } from './backendServerConnection.ts'

/** A chunk of the output of an attempt. */
export interface OutputChunk {
  /** Number of tokens before this chunk. */
  readonly offset: number
  readonly text: string
}

/**
 * Receives a chunk of the output.
 * @param chunk - the chunk
 * @returns a promise when the next chunk must wait because the receiver applies back-pressure
 */
export type OutputChunkReceiver = (chunk: OutputChunk) => Promise<void> | undefined | void

/** Runs attempts on one kind of backend server. */
export abstract class Protocol {
  /**
   * Runs an attempt.
   * @param connection - connections to the backend server
   * @param attempt - the attempt
   * @param deliver - receives the chunks in order, each before the next one is read
   * @returns nothing once the response is complete, or the failure
   */
  abstract run (
    connection: BackendServerConnection, attempt: Attempt, deliver: OutputChunkReceiver
  ): Promise<Result<void, AttemptFailure>>
}
