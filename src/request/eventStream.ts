/**
 * Parsing of server-sent events from a byte stream. A line feed is the only line end that is recognized.
 * @module
 */
import { createFailure, FailureReason, Step } from '../process/program/failure.ts'

/** Complete event. */
export interface StreamEvent {
  /** The event as received, including the empty line that ends it. */
  readonly bytes: Buffer
  readonly id: number | undefined
  readonly data: string | undefined
}

/** Splits a byte stream into events. */
export interface EventSplitter {
  /**
   * Adds the next chunk of the stream.
   * @param chunk - the bytes
   * @returns the events that the chunk completes
   * @throws Failure when an event has more bytes than the limit
   */
  push (chunk: Buffer): StreamEvent[]
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: number
}

const eventStreamContentType = 'text/event-stream'

/** Maximum size of an event, in bytes; a server in trouble may send bytes without end. */
export const maxEventBytes = 256 * 1024

const lineFeed = 0x0a
const space = 0x20
const fieldSeparator = 0x3a
const eventEnd = Buffer.from('\n\n')

/**
 * Creates a splitter at the start of a stream.
 * @param maxBytes - maximum size of an event, in bytes
 * @returns the splitter
 */
export function createEventSplitter (maxBytes = maxEventBytes): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)
  return {
    get pendingBytes () { return pending.length },
    push (chunk) {
      // The end may begin with the last byte of the previous chunk.
      const searchStart = Math.max(0, pending.length - eventEnd.length + 1)
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const events: StreamEvent[] = []
      let end = pending.indexOf(eventEnd, searchStart)
      while (end >= 0 && end <= maxBytes) {
        const bytes = pending.subarray(0, end + eventEnd.length)
        events.push(parseEvent(bytes))
        pending = pending.subarray(end + eventEnd.length)
        end = pending.indexOf(eventEnd)
      }
      if (end > maxBytes || pending.length > maxBytes) throw createFailure(FailureReason.Invalid, { step: Step.ReadResponse }, `an event has more than ${maxBytes} bytes`)
      return events
    }
  }
}

/**
 * Checks whether a response is an event stream.
 * @param headers - alternating names and values of the response headers
 * @returns whether its content type is `text/event-stream`
 */
export function isEventStream (headers: readonly string[]): boolean {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === 'content-type') return headers[index + 1]?.startsWith(eventStreamContentType) === true
  }
  return false
}

/**
 * Removes the content length of a response, which becomes wrong when another server resumes its stream.
 * @param headers - alternating names and values
 * @returns all other headers
 */
export function removeContentLength (headers: readonly string[]): string[] {
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') kept.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  return kept
}

// Each value is decoded by itself: a part of a decoded event would keep the text of the whole event in memory.
function parseEvent (bytes: Buffer): StreamEvent {
  let id: number | undefined
  let data: string | undefined
  for (const line of splitLines(bytes)) {
    const separator = line.indexOf(fieldSeparator)
    if (separator <= 0) continue
    const field = line.toString('utf8', 0, separator)
    if (field !== 'id' && field !== 'data') continue
    const value = line.toString('utf8', line[separator + 1] === space ? separator + 2 : separator + 1)
    if (field === 'id') id = Number(value)
    else data = data === undefined ? value : `${data}\n${value}`
  }
  return { bytes, id, data }
}

function * splitLines (bytes: Buffer): Iterable<Buffer> {
  let start = 0
  while (start < bytes.length) {
    const end = bytes.indexOf(lineFeed, start)
    yield bytes.subarray(start, end < 0 ? bytes.length : end)
    if (end < 0) return
    start = end + 1
  }
}
