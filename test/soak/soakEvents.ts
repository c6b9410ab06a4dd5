/**
 * Events of the servers of the soak: the data of each names the software version that wrote it, so that a stream or an output of
 * two versions can be told.
 * @module
 */

/** Number of events of an answer. */
export const eventCount = 12

/** An event as a caller or the owner of a job receives it. */
export interface WrittenEvent {
  readonly id: number
  readonly softwareVersion: string
}

const dataPattern = /^(\w+)\/e(\d+)$/
const eventPattern = /^id: (\d+)\ndata: (.*)$/

/**
 * Encodes the data of an event.
 * @param event - the event
 * @returns the data, without line ends
 */
export function encodeData ({ id, softwareVersion }: WrittenEvent): string {
  return `${softwareVersion}/e${id}`
}

/**
 * Decodes the complete events of a stream.
 * @param text - the stream so far; an event without its end is ignored
 * @returns the events; undefined if one was not written by a server of the soak
 */
export function decodeStream (text: string): WrittenEvent[] | undefined {
  const events: WrittenEvent[] = []
  for (const part of text.split('\n\n').slice(0, -1)) {
    const [, id, data = ''] = eventPattern.exec(part) ?? []
    const event = decodeData(data)
    if (event === undefined || event.id !== Number(id)) return undefined
    events.push(event)
  }
  return events
}

/**
 * Decodes the output of an item.
 * @param output - the data of its events, by lines
 * @returns the events; undefined if one was not written by a server of the soak
 */
export function decodeOutput (output: string): WrittenEvent[] | undefined {
  const events: WrittenEvent[] = []
  for (const line of output === '' ? [] : output.split('\n')) {
    const event = decodeData(line)
    if (event === undefined) return undefined
    events.push(event)
  }
  return events
}

/**
 * Checks that no event is missing, repeated or out of place.
 * @param events - the events
 * @param isComplete - whether the last event must be among them
 * @returns whether they are the events of an answer from its start
 */
export function areInSequence (events: readonly WrittenEvent[], isComplete: boolean): boolean {
  if (isComplete && events.length !== eventCount) return false
  return events.length <= eventCount && events.every(({ id }, index) => id === index)
}

/**
 * Describes the software versions that wrote a stream or an output.
 * @param events - the events
 * @returns each change of the version with its first event; undefined if one version wrote all
 */
export function describeMixedVersions (events: readonly WrittenEvent[]): string | undefined {
  const parts: string[] = []
  let current: string | undefined
  for (const { id, softwareVersion } of events) {
    if (softwareVersion === current) continue
    current = softwareVersion
    parts.push(`${softwareVersion} from event ${id}`)
  }
  return parts.length > 1 ? parts.join(', ') : undefined
}

function decodeData (data: string): WrittenEvent | undefined {
  const [, softwareVersion, id] = dataPattern.exec(data) ?? []
  return softwareVersion === undefined ? undefined : { id: Number(id), softwareVersion }
}
