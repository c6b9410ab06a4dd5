import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { Agent, type IncomingMessage, request } from 'node:http'
import { eventually } from '../scripts/processes.ts'
import { createGatewayDrain, type GatewayDrain } from '../src/process/fleet/gatewayDrain.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { Counter } from '../src/process/program/metrics.ts'
import { millisecondsPerSecond } from '../src/process/program/units.ts'
import { type Query, QueryKind } from '../src/process/state/queries.ts'
import { drainingRetryAfterMs, GatewayRefusal } from '../src/request/callerExchange.ts'
import type { ForwardingServices } from '../src/request/forwardedAttempt.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { endJob, type GatewayJobServices, readItemBody, readJobResults, submitJob } from '../src/request/gatewayJobs.ts'
import { type GatewayRoute, RouteKind } from '../src/version/gatewayTables.ts'
import { forwardingServicesOf, RecordedResponse, requestOf, routeOf, type Script, ScriptedServers } from './support/fakeFleet.ts'
import { eventIntervalMs, type Fleet, startFleet } from './support/fleetProcesses.ts'

const startTimeoutMs = 15_000
const graceSeconds = 5.5

/** Interval between the requests of callers that keep the address of a draining gateway, in milliseconds. */
const callerIntervalMs = 300

/** Time that callers allow, in milliseconds, and the time that their responses take. */
const deadlineMs = 3_000
const responseMs = 2_300

/** Duration of a response that begins before the stop and ends after the gateway has closed its listening socket, in milliseconds. */
const longResponseMs = 4_000

/** What a caller sees of one request. */
interface Observed {
  readonly id: string
  /** Undefined when there was no response. */
  readonly status: number | undefined
  readonly isComplete: boolean
  readonly isClosing: boolean
  readonly text: string
  /** Error code of the connection; undefined when there was no error. */
  readonly error: string | undefined
}

const event = 'id: 0\ndata: a\n\n'
const graceMs = 8_000

interface DrainingGateway {
  readonly services: ForwardingServices
  readonly drain: GatewayDrain
  readonly servers: ScriptedServers
  readonly answer: RecordedResponse
}

function createGateway (scripts: readonly Script[], route: Partial<GatewayRoute>): DrainingGateway {
  const servers = new ScriptedServers(scripts)
  const drain = createGatewayDrain()
  return { services: { ...forwardingServicesOf(servers, [routeOf({ timeoutMs: 5_000, ...route })]), drain }, drain, servers, answer: new RecordedResponse() }
}

describe('request at a draining gateway', () => {
  // Guards against requests that are passed on although the process may end first, and against callers that are turned away
  // although their request would end in time.
  it('is refused at once if its own time limit or that of its route is later than the end of the process', async () => {
    for (const [limitMs, isServed] of [[undefined, false], [4_000, true], [60_000, false]] as const) {
      const { services, drain, servers, answer } = createGateway([{ does: 'answer', pieces: [event] }], {})
      // Less than the timeout of the route remains.
      drain.begin(performance.now() + graceMs - 3_000)
      const { request } = requestOf(limitMs === undefined ? {} : { deadlineAt: performance.now() + limitMs })
      await runForwardedRequest(request, answer, services)
      expect([servers.arrivals.length, answer.refusal], String(limitMs)).to.deep.equal(isServed ? [1, undefined] : [0, GatewayRefusal.Draining])
      expect(answer.retryAfterMs).to.equal(isServed ? undefined : drainingRetryAfterMs)
      expect(services.metrics.read(Counter.Refusals, GatewayRefusal.Draining)).to.equal(isServed ? 0 : 1)
    }
  })

  // Guards against a wait for a free slot that ends later than the request may still be passed on.
  it('is refused while it waits for a slot', async () => {
    const { services, drain, servers, answer } = createGateway([{ does: 'answer', pieces: [event] }], { objectiveMs: 60_000 })
    const places = services.view.listReadyServers('s').flatMap(({ id, slots }) => Array.from({ length: slots * 2 }, () => id))
    for (const id of places) services.view.adjustLiveCount(id, 1)
    const ended = runForwardedRequest(requestOf().request, answer, services)
    drain.begin(performance.now() + 1_000)
    for (const id of places) services.view.adjustLiveCount(id, -1)
    await ended
    expect([servers.arrivals.length, answer.refusal]).to.deep.equal([0, GatewayRefusal.Draining])
  })

  // Guards against a 503 for a request that may have run, and against a second run that the end of the process would cut.
  it('is not repeated too late, and is then not reported as not run', async () => {
    const { services, drain, servers, answer } = createGateway([{ does: 'hang' }, { does: 'answer', pieces: [event] }], { kind: RouteKind.Safe })
    const ended = runForwardedRequest(requestOf().request, answer, services)
    await eventually('the first attempt', 1_000, () => servers.arrivals.length > 0 ? true : undefined)
    drain.begin(performance.now() + 1_000)
    await ended
    expect([servers.arrivals.length, answer.refusal]).to.deep.equal([1, GatewayRefusal.Failed])
  })

  // Guards against cutting a stream that another server can still complete.
  it('is resumed if its response has started', async () => {
    const { services, drain, answer } = createGateway([{ does: 'answer', pieces: [event], endMs: 100, then: 'break' }, { does: 'answer', pieces: ['id: 1\ndata: b\n\n'] }], {})
    const ended = runForwardedRequest(requestOf().request, answer, services)
    await eventually('the first event', 1_000, () => answer.text === '' ? undefined : true)
    drain.begin(performance.now() + 1_000)
    await ended
    expect(answer).to.include({ isComplete: true, text: `${event}id: 1\ndata: b\n\n` })
  })
})

describe('job at a draining gateway', () => {
  function createServices (leftMs: number): { readonly services: GatewayJobServices, readonly queries: Query[], readonly executed: unknown[] } {
    const { view, clock, logger, metrics } = forwardingServicesOf(new ScriptedServers([]), [routeOf({ name: 'b', pathPrefix: '/batch/', kind: RouteKind.Batch })])
    const queries: Query[] = []
    const executed: unknown[] = []
    const failure = createFailure(FailureReason.Timeout, { step: Step.Read }, 'no response')
    return {
      queries,
      executed,
      services: {
        view,
        clock,
        logger,
        metrics,
        drain: { lastEndAt: clock.now() + leftMs },
        control: {
          async execute (command) {
            executed.push(command)
            return err(failure)
          },
          async read (query) {
            queries.push(query)
            return query.kind === QueryKind.SubmissionResults ? ok({ kind: QueryKind.SubmissionResults, page: undefined }) : err(failure)
          }
        }
      }
    }
  }

  // Guards against job calls that the end of the process cuts without an answer.
  it('is refused unless the call ends in time, and a long poll is shortened to the time left', async () => {
    const access = { host: 'a.example' }
    const job = { id: 'j', path: '/batch/j', items: [], ...access }
    const late = createServices(500)
    const results = await Promise.all([
      submitJob(job, late.services), readJobResults('j', 0, 1_000, access, late.services), readItemBody('j', 'x', access, late.services), endJob('j', access, late.services)
    ])
    for (const result of results) expect(result._unsafeUnwrapErr()).to.equal(GatewayRefusal.Draining)
    expect([late.executed, late.queries]).to.deep.equal([[], []])
    expect(late.services.metrics.read(Counter.Refusals, GatewayRefusal.Draining)).to.equal(4)

    const inTime = createServices(6_000)
    await submitJob(job, inTime.services)
    expect(inTime.executed).to.have.length(1)
    expect((await readJobResults('j', 0, 60_000, access, inTime.services)).isOk()).to.equal(true)
    const [query] = inTime.queries
    expect(query?.kind === QueryKind.SubmissionResults ? query.waitMs : undefined).to.be.within(1, 6_000)
  })
})

describe('planned stop of a gateway', () => {
  let fleet: Fleet
  let lastId = 0

  // A request on a new connection, unless an agent keeps one. It may not be repeated.
  function send (agent: Agent | false, durationMs: number, headers: Readonly<Record<string, string>> = {}): Promise<Observed> {
    const id = `q-${++lastId}`
    const [host, port] = (fleet.gateways[0] ?? '').split(':')
    return new Promise(resolve => {
      const fail = (error: Error, response?: IncomingMessage, text = ''): void => {
        resolve({ id, status: response?.statusCode, isComplete: false, isClosing: false, text, error: (error as NodeJS.ErrnoException).code })
      }
      request({ host, port, agent, method: 'POST', path: '/once/1', headers: { host: 'a.example', 'x-request-id': id, 'x-events': durationMs / eventIntervalMs, ...headers } }, response => {
        let text = ''
        response.on('data', (data: Buffer) => { text += data.toString() })
        response.once('error', error => fail(error, response, text))
        response.once('end', () => {
          if (response.complete) resolve({ id, status: response.statusCode, isComplete: true, isClosing: response.headers.connection === 'close', text, error: undefined })
        })
      }).once('error', error => fail(error)).end('body')
    })
  }

  function hasRun ({ id }: Observed): boolean {
    return fleet.servers.some(server => server.ran.includes(id))
  }

  before(async () => {
    fleet = await startFleet(4, 2, { graceSeconds })
    expect(await fleet.publish(1)).to.equal(200)
    await eventually('a complete stream', startTimeoutMs, async () => (await send(false, 100)).status === 200 ? true : undefined)
  })
  after(() => fleet.close())

  // Failure: a gateway passed on requests that arrived late in the grace, and cut their connections without an answer when it
  // ended. It closed kept connections as soon as they were idle, also while their next request was on the way.
  it('answers every request that arrives until the process is gone, and passes on none that it can\'t finish', async () => {
    const idleAgent = new Agent({ keepAlive: true, maxSockets: 1 })
    const busyAgent = new Agent({ keepAlive: true, maxSockets: 1 })
    expect((await send(idleAgent, 100)).status).to.equal(200)
    const longResponse = send(busyAgent, longResponseMs)
    await new Promise(resolve => setTimeout(resolve, callerIntervalMs))

    const stoppedAt = performance.now()
    const exitCode = fleet.gatewayPrograms[0]?.end('SIGTERM')
    const pending: Array<Promise<Observed>> = []
    const callerHeaders = { 'x-deadline-ms': String(deadlineMs) }
    let isListening = true
    while (isListening && performance.now() - stoppedAt < graceSeconds * millisecondsPerSecond) {
      const observed = send(false, responseMs, callerHeaders)
      pending.push(observed)
      observed.then(({ error }) => { if (error === 'ECONNREFUSED') isListening = false }, () => {})
      await new Promise(resolve => setTimeout(resolve, callerIntervalMs))
    }
    const idleConnectionResponse = await send(idleAgent, responseMs, callerHeaders)
    const longObserved = await longResponse
    const busyConnectionResponse = await send(busyAgent, responseMs, callerHeaders)
    const observed = (await Promise.all(pending)).filter(({ error }) => error !== 'ECONNREFUSED')
    expect(await exitCode).to.equal(0)

    const described = [...observed, idleConnectionResponse, busyConnectionResponse]
      .map(one => `${one.id} ${one.status ?? one.error}${one.isComplete ? '' : ' cut'}${hasRun(one) ? ' ran' : ''}`)
    expect(described.filter(text => text.includes('cut')), described.join(', ')).to.deep.equal([])
    expect(longObserved).to.include({ status: 200, isComplete: true })
    for (const refused of [idleConnectionResponse, busyConnectionResponse]) expect(refused).to.include({ status: 503, isClosing: true })
    expect(observed.map(({ status }) => status)).to.include.members([200, 503])
    for (const one of observed) {
      expect([one.id, hasRun(one), one.isClosing]).to.deep.equal([one.id, one.status === 200, true])
    }
  })
})
