/**
 * The protocol of model engines: a stream of server-sent events, one for each token, that can be resumed at a token offset.
 * @module
 */
import { createParser, type EventSourceParser } from 'eventsource-parser'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { createFailure, FailureReason, Step } from '../process/program/failure.ts'
import type { BackendServerConnection } from './backendServerConnection.ts'
import { type OutputChunkReceiver, Protocol } from './protocol.ts'
import type { Attempt, AttemptFailure } from './backendAttempt.ts'

/** Maximum number of bytes of a token and of what arrives before it; a server in trouble may send bytes without end. */
const maxBytesBetweenTokens = 64 * 1024

/** Maximum number of bytes of a response beside those of its tokens, and of a token on average; several times what a token has. */
const baseResponseBytes = 256 * 1024
const maxBytesPerToken = 1024

/** Schema of the data of an event: a token, or the end of the response. */
const eventSchema = z.object({
  requestId: z.string(),
  offset: z.number().int().min(0),
  text: z.string().optional(),
  done: z.boolean().optional()
})
/** A server-sent event of an engine. */
export type EngineEvent = z.infer<typeof eventSchema>

/** Kinds of events from the view of the attempt that received them. */
export const EventKind = { Token: 'token', End: 'end', Repeated: 'repeated', Foreign: 'foreign', Gap: 'gap' } as const
export type EventKind = typeof EventKind[keyof typeof EventKind]

/**
 * Classifies an event by request id and token offset.
 * @param event - the event
 * @param requestId - request id of the attempt
 * @param expectedOffset - offset of the next token
 * @returns the kind of the event
 */
export function classifyEvent (event: EngineEvent, requestId: string, expectedOffset: number): EventKind {
  if (event.requestId !== requestId) return EventKind.Foreign
  if (event.offset > expectedOffset) return EventKind.Gap
  if (event.offset < expectedOffset) return event.done === true ? EventKind.Gap : EventKind.Repeated
  return event.done === true ? EventKind.End : EventKind.Token
}

class EngineProtocol extends Protocol {
  override async run (connection: BackendServerConnection, attempt: Attempt, deliver: OutputChunkReceiver): Promise<Result<void, AttemptFailure>> {
    const events: EngineEvent[] = []
    // Aborts the exchange at the first event that can't belong to it; no event after it is trusted.
    const mismatch = new AbortController()
    let mismatchText: string | undefined
    let expectedOffset = attempt.offset
    let isComplete = false
    let bytesSinceToken = 0
    let bytes = 0
    const maxBytes = baseResponseBytes + (attempt.maxTokens - attempt.offset) * maxBytesPerToken
    const parser = createEventParser(events, text => { mismatchText ??= text })
    const decoder = new TextDecoder()

    function receive (chunk: Buffer): Promise<void> | undefined {
      bytesSinceToken += chunk.length
      bytes += chunk.length
      parser.feed(decoder.decode(chunk, { stream: true }))
      const pending = processEvents()
      if (bytesSinceToken > maxBytesBetweenTokens) {
        mismatchText ??= `more than ${maxBytesBetweenTokens} bytes without a token`
        mismatch.abort()
      } else if (bytes > maxBytes) {
        mismatchText ??= `more than ${maxBytes} bytes for ${attempt.maxTokens - attempt.offset} tokens`
        mismatch.abort()
      }
      return pending
    }

    function processEvents (): Promise<void> | undefined {
      while (mismatchText === undefined && !isComplete && !attempt.signal.aborted) {
        const event = events.shift()
        if (event === undefined) return undefined
        switch (classifyEvent(event, attempt.requestId, expectedOffset)) {
          case EventKind.Token: {
            if (expectedOffset >= attempt.maxTokens) {
              mismatchText = `the answer has more than ${attempt.maxTokens} tokens`
              break
            }
            expectedOffset++
            bytesSinceToken = 0
            const pending = deliver({ offset: event.offset, text: event.text ?? '' })
            if (pending !== undefined) return pending.then(processEvents)
            break
          }
          case EventKind.End:
            isComplete = true
            break
          case EventKind.Repeated:
            break
          case EventKind.Foreign:
            mismatchText = 'the answer holds a part of another request'
            break
          case EventKind.Gap:
            mismatchText = `the answer goes on at another offset than ${expectedOffset}`
            break
        }
      }
      if (mismatchText !== undefined) mismatch.abort()
      return undefined
    }

    const body = JSON.stringify({
      requestId: attempt.requestId, prompt: attempt.input, maxTokens: attempt.maxTokens, offset: attempt.offset, partial: attempt.partial
    })
    const abortableAttempt = { ...attempt, signal: AbortSignal.any([attempt.signal, mismatch.signal]) }
    const result = await connection.post('/v1/generate', body, abortableAttempt, receive)
    if (isComplete) return ok(undefined)
    if (result.isErr() && mismatchText === undefined) return err(result.error)
    const text = mismatchText ?? 'the answer ended before its end mark'
    return err({ failure: createFailure(FailureReason.Incomplete, { step: Step.ReadResponse, peer: connection.address }, text), sent: true })
  }
}

function createEventParser (events: EngineEvent[], reject: (text: string) => void): EventSourceParser {
  return createParser({
    onEvent (message) {
      const parsed = eventSchema.safeParse(parseJson(message.data))
      if (parsed.success) events.push(parsed.data)
      else reject('the answer holds an event that is not valid')
    }
  })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Creates the protocol of model engines.
 * @returns the protocol
 */
export function createEngineProtocol (): Protocol {
  return new EngineProtocol()
}
