/**
 * Model engines: a stream of server-sent events, one for each token, that can be resumed by token offset.
 * @module
 */
import { createParser } from 'eventsource-parser'
import { err, ok, type Result } from 'neverthrow'
import { createFailure, FailureReason, Step } from '../process/failure.ts'
import type { BackendServerConnection } from './backendServerConnection.ts'
import { type AnswerPart, type Attempt, type AttemptFailure, Protocol } from './protocol.ts'

/** A server-sent event of an engine: a token, or the end of the answer. */
interface EngineEvent {
  readonly requestId: string
  readonly offset: number
  readonly text?: string
  readonly done?: boolean
}

class EngineProtocol extends Protocol {
  override async run (
    connection: BackendServerConnection, attempt: Attempt, deliver: (part: AnswerPart) => void
  ): Promise<Result<void, AttemptFailure>> {
    let expected = attempt.offset
    let complete = false
    let foreign = false
    const parser = createParser({
      onEvent (message) {
        const event = JSON.parse(message.data) as EngineEvent
        if (event.requestId !== attempt.requestId || event.offset !== expected) {
          foreign = true
          return
        }
        if (event.done === true) {
          complete = true
          return
        }
        expected++
        deliver({ offset: event.offset, text: event.text ?? '' })
      }
    })
    const decoder = new TextDecoder()
    const body = JSON.stringify({
      requestId: attempt.requestId, prompt: attempt.input, maxTokens: attempt.maxTokens, offset: attempt.offset, partial: attempt.partial
    })
    const result = await connection.post('/v1/generate', body, attempt, chunk => parser.feed(decoder.decode(chunk, { stream: true })))
    if (result.isErr()) return err(result.error)
    if (complete && !foreign) return ok(undefined)
    const text = foreign ? 'the answer holds a part that does not belong to the attempt' : 'the answer ended before its end mark'
    return err({ failure: createFailure(FailureReason.Incomplete, { step: Step.ReadAnswer, peer: connection.address }, text), sent: true })
  }
}

/**
 * Creates the protocol of model engines.
 * @returns the protocol
 */
export function createEngineProtocol (): Protocol {
  return new EngineProtocol()
}
