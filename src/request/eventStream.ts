/**
 * Events of a stream as bytes: where one ends, its id and its data.
 * @module
 */

/** A whole event. */
export interface StreamEvent {
  /** The event as it came, with the empty line that ends it. */
  readonly bytes: Buffer
  readonly id: number | undefined
  readonly data: string | undefined
}

/** Divides a stream into events. */
export interface EventSplitter {
  /**
   * Takes the next piece of the stream.
   * @param chunk - the bytes
   * @returns the events that are whole now
   */
  push (chunk: Buffer): StreamEvent[]
  /** Bytes of an event that is not whole yet. */
  readonly pendingBytes: number
}

const eventStreamType = 'text/event-stream'

const eventEnd = Buffer.from('\n\n')

/**
 * Creates a splitter at the start of a stream.
 * @returns the splitter
 */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)
  return {
    get pendingBytes () { return pending.length },
    push (chunk) {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const events: StreamEvent[] = []
      let end = pending.indexOf(eventEnd)
      while (end >= 0) {
        const bytes = pending.subarray(0, end + eventEnd.length)
        events.push(parseEvent(bytes))
        pending = pending.subarray(end + eventEnd.length)
        end = pending.indexOf(eventEnd)
      }
      return events
    }
  }
}

/**
 * Tells whether an answer is a stream of events.
 * @param headers - its headers, name and value by turns
 * @returns whether it is
 */
export function isEventStream (headers: readonly string[]): boolean {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === 'content-type') return headers[index + 1]?.startsWith(eventStreamType) === true
  }
  return false
}

/**
 * Drops the length of an answer, which does not hold when another server goes on with its stream.
 * @param headers - name and value by turns
 * @returns the other headers
 */
export function removeContentLength (headers: readonly string[]): string[] {
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') kept.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  return kept
}

function parseEvent (bytes: Buffer): StreamEvent {
  let id: number | undefined
  let data: string | undefined
  for (const line of bytes.toString('utf8').split('\n')) {
    const separator = line.indexOf(':')
    if (separator <= 0) continue
    const field = line.slice(0, separator)
    const value = line.slice(line[separator + 1] === ' ' ? separator + 2 : separator + 1)
    if (field === 'id') id = Number(value)
    if (field === 'data') data = data === undefined ? value : `${data}\n${value}`
  }
  return { bytes, id, data }
}
