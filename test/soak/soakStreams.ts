/**
 * Callers of live streams. A stream that breaks off after its first event is taken up at another gateway within its deadline.
 * @module
 */
import { Agent, request } from 'undici'
import type { Random } from '../../src/process/program/random.ts'
import { callTimeoutMs, pause, type SoakContext } from './soakClients.ts'
import { areInSequence, decodeStream, describeMixedVersions, eventCount, type WrittenEvent } from './soakEvents.ts'
import { crashingPart, longPath, type SoakServer } from './soakServers.ts'

const liveIntervalMs = 60
const longStreamIntervalMs = 200

/** Connections of all callers of one kind to one gateway. */
const maxConnections = 4
const maxLongConnections = 8

/** Pause of a stream after which its caller gives up the try, in milliseconds; a gateway may be frozen for longer. */
const idleTimeoutMs = 1_500

const takeUpIntervalMs = 150

/** Refused tries after which a caller no longer takes up a stream. */
const maxRefusals = 3

/** One in this number of live requests has the crashing prompt part. */
const crashingRequestInterval = 25

/** One in this number of long streams loses the connection of its caller in the middle, while its gateway runs on. */
const lostConnectionInterval = 4

/** Streams that broke off after their first event and were taken up by their callers. */
export interface TakenUpStreams {
  readonly total: number
  /** Streams of which a further try brought the next event or the end. */
  readonly continued: number
  /** Other streams of which a try was refused. */
  readonly refused: number
  /** Streams of whose software version two servers or more were up when they were first taken up. */
  readonly withServers: number
  /** Of these, the ones that continued. */
  readonly continuedWithServers: number
}

/** What the callers of live requests have seen. */
export interface LiveReport {
  /** First tries by status; 0 stands for a broken connection. */
  readonly statuses: ReadonlyMap<number, number>
  /** Streams of which the first try brought an event. */
  readonly begun: number
  readonly takenUp: TakenUpStreams
}

/** Counts of one run, which all callers add to. */
interface LiveCounts {
  readonly statuses: Map<number, number>
  begun: number
  readonly takenUp: { -readonly [Name in keyof TakenUpStreams]: number }
}

/** A stream as its caller receives it, over all tries. */
interface LiveStream {
  readonly id: string
  readonly path: string
  readonly parts: string
  readonly agents: readonly Agent[]
  /** Monotonic time after which the caller sends no further try, in milliseconds. */
  readonly deadlineAt: number
  /** Number of events after which the first try loses its connection; Infinity for none. */
  readonly eventsUntilLoss: number
  /** Ids of all tries. */
  readonly tries: string[]
  readonly events: WrittenEvent[]
  /** Id of the try that brought the first event. */
  begunBy: string | undefined
}

interface Answer {
  readonly status: number
  readonly text: string
  /** Whether the response came to its end. */
  readonly isComplete: boolean
}

/**
 * Sends live requests until the signal aborts, and takes up the streams that break off.
 * @param context - the run
 * @param servers - the backend servers, of which it is known what they ran
 * @param losses - chooses the streams that lose their connection
 * @returns what the callers have seen
 */
export async function runLiveCallers (context: SoakContext, servers: readonly SoakServer[], losses: Random): Promise<LiveReport> {
  const counts: LiveCounts = { statuses: new Map(), begun: 0, takenUp: { total: 0, continued: 0, refused: 0, withServers: 0, continuedWithServers: 0 } }
  await Promise.all([runShortStreams(context, servers, counts), runLongStreams(context, servers, losses, counts)])
  return counts
}

async function runShortStreams (context: SoakContext, servers: readonly SoakServer[], counts: LiveCounts): Promise<void> {
  let number = 0
  await sendInSeries(context, liveIntervalMs, maxConnections, async agents => {
    const id = `live-${number++}`
    const gateway = context.random.below(context.fleet.gateways.length)
    const isCrashing = number % crashingRequestInterval === 0
    const parts = `first:10,${isCrashing ? `${crashingPart}:5,` : ''}${id}:3`
    const status = await runStream(context, servers, counts, createStream(id, `/live/${number}`, parts, agents), gateway)
    if (isCrashing && status === 200) context.violations.push(`${id}: an answer to a request that crashes servers`)
  })
}

async function runLongStreams (context: SoakContext, servers: readonly SoakServer[], losses: Random, counts: LiveCounts): Promise<void> {
  let number = 0
  await sendInSeries(context, longStreamIntervalMs, maxLongConnections, async agents => {
    const id = `long-${number++}`
    const gateway = number % context.fleet.gateways.length
    const isLost = losses.below(lostConnectionInterval) === 0
    const events = 1 + losses.below(eventCount - 1)
    await runStream(context, servers, counts, createStream(id, `${longPath}${number}`, `first:10,${id}:3`, agents, isLost ? events : Infinity), gateway)
  })
}

function createStream (id: string, path: string, parts: string, agents: readonly Agent[], eventsUntilLoss = Infinity): LiveStream {
  return { id, path, parts, agents, deadlineAt: performance.now() + callTimeoutMs, eventsUntilLoss, tries: [], events: [], begunBy: undefined }
}

async function sendInSeries (context: SoakContext, intervalMs: number, connections: number, send: (agents: readonly Agent[]) => Promise<void>): Promise<void> {
  const agents = context.fleet.gateways.map(() => new Agent({ connections, pipelining: 1, headersTimeout: callTimeoutMs, bodyTimeout: idleTimeoutMs }))
  const open = new Set<Promise<void>>()
  while (!context.signal.aborted) {
    const sent = send(agents).finally(() => open.delete(sent))
    open.add(sent)
    await pause(intervalMs)
  }
  await Promise.all(open)
  for (const agent of agents) await agent.close()
}

// Returns the status of the first try; 0 if it broke off.
async function runStream (context: SoakContext, servers: readonly SoakServer[], counts: LiveCounts, stream: LiveStream, gateway: number): Promise<number> {
  const first = await tryStream(context, servers, stream, gateway)
  const status = first.isComplete ? first.status : 0
  counts.statuses.set(status, (counts.statuses.get(status) ?? 0) + 1)
  if (stream.events.length > 0) counts.begun++
  if (status === 0 && stream.events.length > 0) await takeUp(context, servers, counts, stream, gateway)
  const mixed = describeMixedVersions(stream.events)
  if (mixed !== undefined) context.violations.push(`${stream.id}: a stream of two software versions over the tries ${stream.tries.join(', ')} (begun by ${stream.begunBy ?? ''}): ${mixed}`)
  return status
}

async function takeUp (context: SoakContext, servers: readonly SoakServer[], { takenUp }: LiveCounts, stream: LiveStream, brokenGateway: number): Promise<void> {
  const softwareVersion = stream.events[0]?.softwareVersion
  const hasServers = servers.filter(server => server.isUp && server.softwareVersion === softwareVersion).length > 1
  takenUp.total++
  if (hasServers) takenUp.withServers++
  let gateway = brokenGateway
  let isContinued = false
  let refusals = 0
  while (refusals < maxRefusals && performance.now() + takeUpIntervalMs < stream.deadlineAt) {
    gateway = (gateway + 1) % context.fleet.gateways.length
    const eventsBefore = stream.events.length
    const answer = await tryStream(context, servers, stream, gateway)
    if (answer.status === 200 && (answer.isComplete || stream.events.length > eventsBefore)) isContinued = true
    else if (answer.isComplete) refusals++
    if (answer.status === 200 && answer.isComplete) break
    await pause(takeUpIntervalMs)
  }
  if (isContinued) takenUp.continued++
  else if (refusals > 0) takenUp.refused++
  if (isContinued && hasServers) takenUp.continuedWithServers++
}

async function tryStream (context: SoakContext, servers: readonly SoakServer[], stream: LiveStream, gateway: number): Promise<Answer> {
  const { violations } = context
  const id = stream.tries.length === 0 ? stream.id : `${stream.id}-try-${stream.tries.length}`
  stream.tries.push(id)
  const answer = await receive(context, stream, gateway, id)
  if (answer.isComplete && (answer.status === 503 || answer.status === 429) && servers.some(server => server.runs.some(run => run.id === id))) {
    violations.push(`${id}: ${answer.status} says that it has not run, but it ran`)
  }
  if (answer.status === 404) violations.push(`${id}: 404 for a route that is in every version`)
  if (answer.status !== 200) return answer
  const events = decodeStream(answer.text)
  if (events === undefined) {
    violations.push(`${id}: an answer of no server: ${JSON.stringify(answer.text)}`)
    return answer
  }
  stream.events.push(...events)
  if (events.length > 0) stream.begunBy ??= id
  if (!areInSequence(stream.events, answer.isComplete)) {
    violations.push(`${id}: a ${answer.isComplete ? 'complete' : 'broken'} answer lacks or repeats events: ${stream.events.map(event => event.id).join(' ')} of ${eventCount}, over the tries ${stream.tries.join(', ')}`)
  }
  return answer
}

async function receive ({ fleet }: SoakContext, stream: LiveStream, gateway: number, id: string): Promise<Answer> {
  const last = stream.events.at(-1)
  const resumption = stream.begunBy === undefined || last === undefined ? {} : { resumes: stream.begunBy, 'last-event-id': String(last.id) }
  const timeLeftMs = Math.max(1, Math.floor(stream.deadlineAt - performance.now()))
  let status = 0
  let text = ''
  try {
    const response = await request(`http://${fleet.gateways[gateway] ?? ''}${stream.path}`, {
      method: 'POST',
      headers: { host: 'a.example', 'x-request-id': id, 'x-deadline-ms': String(timeLeftMs), 'x-prefix-hash': stream.parts, ...resumption },
      ...(stream.agents[gateway] === undefined ? {} : { dispatcher: stream.agents[gateway] })
    })
    status = response.statusCode
    for await (const chunk of response.body) {
      text += String(chunk)
      const isLost = stream.tries.length === 1 && (decodeStream(text)?.length ?? 0) >= stream.eventsUntilLoss
      if (isLost) return { status, text, isComplete: false }
    }
    return { status, text, isComplete: true }
  } catch {
    // The gateway is down or the connection broke: the caller keeps the events that it has.
    return { status, text, isComplete: false }
  }
}
