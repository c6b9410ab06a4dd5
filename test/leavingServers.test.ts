import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type OutgoingHttpHeaders } from 'node:http'
import type { AddressInfo } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { createBackendServerHttp } from '../platform/backendServerHttp.ts'
import { type BackendResponse, BackendResponseKind, type ExchangeFailure } from '../src/connection/backendServerClient.ts'
import type { FleetClient } from '../src/connection/controlClient.ts'
import { runLimitReports } from '../src/connection/fleetWatch.ts'
import { type BackendServerRecord, ServerPhase } from '../src/process/fleet/backendServerRegistry.ts'
import type { FleetHost, FleetUpdate, LimitReport } from '../src/process/fleet/fleetMessages.ts'
import { createFleetView, type FleetView } from '../src/process/fleet/fleetView.ts'
import { createItemExecutor, type ItemExecutor } from '../src/process/fleet/itemExecutor.ts'
import type { RunAssignment, RunReport } from '../src/process/fleet/runMessages.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics, type Metrics } from '../src/process/program/metrics.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import type { ForwardingServices } from '../src/request/forwardedAttempt.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { listPartTraits } from '../src/request/requestTraits.ts'
import { RunEnd } from '../src/request/submittedItemRun.ts'
import { eventually } from '../scripts/processes.ts'
import { fleetUpdateOf, forwardingServicesOf, recordOf, RecordedResponse, requestOf, routeOf, type Script, ScriptedServers } from './support/fakeFleet.ts'

const firstEvent = 'id: 0\ndata: a\n\n'
const secondEvent = 'id: 1\ndata: b\n\n'
const waitTimeoutMs = 5_000

/** Requests that show that a server gets none: with three equal servers, each gets a third of them. */
const manyRequests = 40

const sound: Script = { does: 'answer', pieces: [firstEvent] }
const leaving: Script = { ...sound, leaving: true }

describe('response of a backend server that leaves', () => {
  async function exchange (status: number, headers: OutgoingHttpHeaders): Promise<Result<BackendResponse, ExchangeFailure>> {
    const server = createServer((_request, response) => response.writeHead(status, { 'X-Request-Id': 'q-1', ...headers }).end('x'))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const target = { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, id: 'i-1' }
    try {
      const { request } = requestOf()
      return await createBackendServerHttp(createMetrics()).send(target, { ...request, timeLeftMs: 1_000, isRepeatable: false }, new AbortController().signal)
    } finally {
      server.close()
    }
  }

  async function readIsLeaving (status: number, headers: OutgoingHttpHeaders): Promise<boolean> {
    return (await exchange(status, headers))._unsafeUnwrap().isLeaving
  }

  // Guards against requests to a server that has said that it leaves, in whatever kind of response (DRAIN).
  for (const [name, status, headers] of [['success', 200, {}], ['error', 500, {}], ['timeout', 504, {}], ['refusal', 503, { 'X-Not-Executed': '1' }], ['quota refusal', 429, { 'X-Not-Executed': '1' }]] as const) {
    it(`says so in a response of the kind ${name}`, async () => {
      expect(await readIsLeaving(status, { ...headers, 'Server-Leaving': '1' })).to.equal(true)
      expect(await readIsLeaving(status, headers)).to.equal(false)
    })
  }

  // Guards against a sound server without requests: any other value says nothing.
  for (const value of ['0', '', 'true', '01', '1, 1', ['1', '1']]) {
    it(`does not say so with the value ${JSON.stringify(value)}`, async () => {
      expect(await readIsLeaving(200, { 'Server-Leaving': value })).to.equal(false)
    })
  }

  // Guards against a sound server without requests: a misdirected request was answered by another server at the address.
  it('does not speak for the expected server when the request was misdirected', async () => {
    expect(await readIsLeaving(421, { 'Server-Leaving': '1' })).to.equal(false)
  })

  // Guards against a sound server without requests: a late response belongs to another request, perhaps of an earlier server.
  it('says nothing in the response to another request', async () => {
    expect((await exchange(200, { 'X-Request-Id': 'q-0', 'Server-Leaving': '1' })).isErr()).to.equal(true)
  })

  // Guards against a caller that does not see what its server says.
  it('is passed on with its header', async () => {
    const response = (await exchange(200, { 'Server-Leaving': '1' }))._unsafeUnwrap()
    const headers = response.kind === BackendResponseKind.Response ? response.headers : []
    expect(headers.join(' ')).to.include('Server-Leaving 1')
  })
})

describe('forwarded request while a server leaves', () => {
  let servers: ScriptedServers
  let services: ForwardingServices & { readonly view: FleetView }

  function start (scripts: readonly Script[], update: Partial<FleetUpdate> = {}, route: Parameters<typeof routeOf>[0] = {}): void {
    servers = new ScriptedServers([...scripts, ...Array.from({ length: 10 * manyRequests }, () => sound)])
    services = forwardingServicesOf(servers, [routeOf(route)], update)
  }

  async function send (overrides: Parameters<typeof requestOf>[0] = {}, control: Partial<ForwardingServices['control']> = {}): Promise<RecordedResponse> {
    const answer = new RecordedResponse()
    await runForwardedRequest(requestOf(overrides).request, answer, { ...services, control: { ...services.control, ...control } })
    return answer
  }

  /** Sends many requests, and returns the ids of the servers that got them. */
  async function sendMany (): Promise<Set<string>> {
    const from = servers.arrivals.length
    for (let count = 0; count < manyRequests; count++) await send()
    return new Set(servers.arrivals.slice(from).map(({ server }) => server))
  }

  function listServers (overrides: Partial<BackendServerRecord>): BackendServerRecord[] {
    return ['i-1', 'i-2', 'i-3'].map(id => recordOf(id, overrides))
  }

  // Guards against requests to a leaving server while its heartbeats still report it as ready (DRAIN).
  for (const [name, script] of Object.entries<Script>({ success: leaving, error: { ...sound, status: 500, type: 'text/plain', leaving: true }, refusal: { does: 'refuse', leaving: true } })) {
    it(`goes to other servers at once after a response of the kind ${name}`, async () => {
      start([script])
      await send()
      const left = servers.arrivals[0]?.server
      const reached = await sendMany()
      expect([...reached]).to.have.length(2).and.not.to.include(left)
    })
  }

  // Guards against requests to a leaving server that a late heartbeat, a new leader without its state, or its return to the
  // list makes ready again.
  it('does not return to the server, whatever the leader says, before a later start of it', async () => {
    start([leaving])
    await send()
    const left = servers.arrivals[0]?.server
    const updates: Array<Partial<FleetUpdate>> = [
      { serversRevision: 2, servers: listServers({ sequence: 50 }) },
      { leadership: 'b/2', servers: listServers({ sequence: 2 }), isComplete: false },
      { leadership: 'c/3', servers: [], isComplete: true },
      { leadership: 'c/3', serversRevision: 2, servers: listServers({ sequence: 90 }) }
    ]
    for (const update of updates) {
      services.view.applyUpdate(fleetUpdateOf(update))
      expect([...await sendMany()]).not.to.include(left)
    }
    services.view.applyUpdate(fleetUpdateOf({ leadership: 'c/3', serversRevision: 3, servers: listServers({ startedAt: 2 }) }))
    expect([...await sendMany()]).to.include(left)
  })

  // Guards against a request that waited for the leader's permission while its server began to leave.
  for (const wait of ['permit', 'trial'] as const) {
    it(`chooses another server when its own leaves while it waits for a ${wait}`, async () => {
      const blocked = wait === 'trial' ? { quarantine: { revision: 1, blocked: [], onTrial: listPartTraits(['p']), suspects: [] } } : {}
      const limited = wait === 'permit' ? { requestLimits: { revision: 1, limits: [{ server: 'i-1', perSecond: 9 }], hosts: 1 } } : {}
      start([leaving], { servers: [recordOf('i-1')], ...blocked, ...limited })
      async function leaveMeanwhile (): Promise<void> {
        if (servers.arrivals.length > 0) return
        await send({ id: 'q-2' })
        services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-2')] }))
      }
      const answer = await send({ sharedPromptParts: ['p'] }, {
        async acquirePermit () {
          await leaveMeanwhile()
          return ok({ isGranted: true, retryMs: 0 })
        },
        async acquireTrial () {
          await leaveMeanwhile()
          return ok(true)
        }
      })
      expect(servers.arrivals.map(({ server, request }) => [server, request.id])).to.deep.equal([['i-1', 'q-2'], ['i-2', 'q-1']])
      expect(answer.isComplete).to.equal(true)
    })
  }

  // Guards against a request that waited for a slot and takes the one that a leaving server has freed.
  it('does not take a slot that becomes free at a leaving server', async () => {
    start([{ ...leaving, headMs: 50 }, { ...leaving, headMs: 50 }], { servers: [recordOf('i-1', { slots: 0 })] }, { objectiveMs: 1_000 })
    const running = [send({ id: 'q-2' }), send({ id: 'q-3' })]
    await eventually('requests in all slots', waitTimeoutMs, async () => servers.arrivals.length === 2 ? true : undefined)
    expect((await send()).refusal).to.equal(GatewayRefusal.Overloaded)
    expect((await Promise.all(running)).map(({ isComplete }) => isComplete)).to.deep.equal([true, true])
    expect(servers.arrivals).to.have.length(2)
  })

  // Guards against an attempt of a retried request at a leaving server, also when every other one has failed it.
  it('is not repeated at the server', async () => {
    const failures = Array.from({ length: 4 }, (): Script => ({ does: 'fail', sent: false }))
    for (let round = 0; round < 10; round++) {
      // A request without a free slot is refused after a fifth of its objective; a pause of the machine must not decide the test.
      start([leaving, ...failures], {}, { objectiveMs: waitTimeoutMs })
      await send({ id: 'q-2' })
      const answer = await send()
      expect(answer.isComplete).to.equal(true)
      expect(servers.arrivals.slice(1).map(({ server }) => server)).to.have.length(5).and.not.to.include(servers.arrivals[0]?.server)
    }
  })

  // Guards against streams that are cut when their server begins to leave: it finishes what it has.
  it('is finished at the server when it had begun', async () => {
    start([{ does: 'answer', pieces: [firstEvent, secondEvent], endMs: 100 }, leaving], { servers: [recordOf('i-1')] })
    const stream = send()
    await eventually('the start of the stream', waitTimeoutMs, async () => servers.arrivals.length === 1 ? true : undefined)
    await send({ id: 'q-2' })
    expect(await stream).to.include({ text: firstEvent + secondEvent, isComplete: true })
    expect(servers.arrivals).to.have.length(2)
  })

  // Guards against operators who can't see why a server that is listed as ready gets no requests.
  it('is counted while a server that is listed as ready gets none', async () => {
    start([leaving])
    await send()
    expect(services.metrics.read(Counter.WithheldRequests, 'live')).to.equal(0)
    await sendMany()
    expect(services.metrics.read(Counter.WithheldRequests, 'live')).to.equal(manyRequests)
    services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: listServers({ phase: ServerPhase.Leaving }) }))
    await send()
    expect(services.metrics.read(Counter.WithheldRequests, 'live')).to.equal(manyRequests)
  })
})

describe('reports of leaving servers', () => {
  // Guards against a leader that never learns that a server leaves, and against a new one that has forgotten it.
  it('are repeated until the leader has accepted them, and whenever it lists the server as ready', async () => {
    const { view, clock, random, logger, metrics } = forwardingServicesOf(new ScriptedServers([]), [])
    const reports: LimitReport[] = []
    const client = {
      async reportLimits (report: LimitReport) {
        reports.push(report)
        return reports.length === 1 ? err(createFailure(FailureReason.Timeout, { step: Step.Report }, 'no response')) : ok(undefined)
      }
    } as unknown as FleetClient
    const controller = new AbortController()
    const task = runLimitReports({ view, client, describe: () => ({} as unknown as FleetHost), clock, random, logger, metrics }, controller.signal)
    async function waitForReports (count: number): Promise<void> {
      await eventually(`${count} reports`, waitTimeoutMs, async () => reports.length === count ? true : undefined)
    }
    view.leavingServers.record({ id: 'i-1', startedAt: 1 }, true)
    await waitForReports(2)
    view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-1', { phase: ServerPhase.Leaving }), recordOf('i-2')] }))
    view.applyUpdate(fleetUpdateOf({ serversRevision: 3, servers: [recordOf('i-1', { startedAt: 2 })] }))
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-1')] }))
    await waitForReports(3)
    controller.abort()
    await task
    expect(reports.map(({ leaving }) => leaving)).to.deep.equal(Array.from({ length: 3 }, () => [{ id: 'i-1', startedAt: 1 }]))
  })
})

describe('leaving servers after a restart of the control hosts', () => {
  // The registry is in the memory of the leader. After a restart of all control hosts, a late heartbeat registered a server that had left
  // as ready, and it was in use again.
  it('stay out of use at hosts that knew them, which report them to the new leader', () => {
    for (const phase of [ServerPhase.Leaving, ServerPhase.Gone]) {
      const { view } = forwardingServicesOf(new ScriptedServers([]), [])
      const left = recordOf('i-1', { phase, leaving: true, sequence: 9 })
      view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [left, recordOf('i-2')] }))
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 1, servers: [recordOf('i-2')], isComplete: false }))
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 1, servers: [recordOf('i-2')] }))
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 2, servers: [recordOf('i-1', { sequence: 7 })] }))
      expect(view.listReadyServers('s').map(({ id }) => id), phase).to.deep.equal(['i-2'])
      expect(view.leavingServers.listUnreported(), phase).to.deep.equal([{ id: 'i-1', startedAt: 1 }])
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 3, servers: [recordOf('i-1', { startedAt: 2 })] }))
      expect(view.listReadyServers('s').map(({ id }) => id).sort(), 'a later start of the server').to.deep.equal(['i-1', 'i-2'])
    }
  })

  // A server that was only unreachable for a while must return.
  it('do not include servers that only missed their heartbeats', () => {
    const { view } = forwardingServicesOf(new ScriptedServers([]), [])
    view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-1', { phase: ServerPhase.Gone })] }))
    view.applyUpdate(fleetUpdateOf({ serversRevision: 3, servers: [recordOf('i-1', { sequence: 9 })] }))
    expect(view.listReadyServers('s').map(({ id }) => id)).to.include('i-1')
  })
})

describe('run of an item while a server leaves', () => {
  let lifecycle: Lifecycle
  let servers: ScriptedServers
  let view: FleetView
  let metrics: Metrics
  let executor: ItemExecutor

  function start (scripts: readonly Script[]): void {
    lifecycle = createLifecycle()
    const clock = createSystemClock()
    const logger = createSilentLogger()
    servers = new ScriptedServers([...scripts, sound, sound])
    view = createFleetView(clock, logger, () => [])
    metrics = createMetrics()
    executor = createItemExecutor({ client: servers, view, clock, logger, metrics, lifecycle })
  }
  afterEach(() => lifecycle.close())

  function assign (run: string, overrides: Partial<RunAssignment> = {}): void {
    executor.start({
      run,
      job: 'j',
      item: { id: run, path: '/p/1', headers: {}, body: Buffer.from('body'), tokens: 100 },
      host: 'a.example',
      target: { address: '10.0.0.1:1', id: 'i-1' },
      startedAt: 1,
      savedEvents: 0,
      lastEvent: undefined,
      ...overrides
    })
  }

  async function waitForEnd (run: string): Promise<RunReport> {
    return await eventually(`the end of ${run}`, waitTimeoutMs, async () => executor.createReports().find(report => report.run === run && report.end !== undefined))
  }

  // Guards against items on a leaving server that the leader lists as ready, or that this host does not know yet (DRAIN).
  for (const [name, listed] of [['is listed as ready', [recordOf('i-1')]], ['is new to this host', []]] as const) {
    it(`is not sent to the server that ${name}, before a later start of it`, async () => {
      start([leaving])
      view.applyUpdate(fleetUpdateOf({ servers: listed }))
      assign('r-1')
      expect((await waitForEnd('r-1')).end).to.equal(RunEnd.Complete)
      view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-1', { sequence: 7 })] }))
      assign('r-2')
      expect((await waitForEnd('r-2')).end).to.equal(RunEnd.NotRun)
      expect(servers.arrivals).to.have.length(1)
      expect(metrics.read(Counter.WithheldRequests, 'item')).to.equal(1)
      assign('r-3', { startedAt: 2 })
      expect((await waitForEnd('r-3')).end).to.equal(RunEnd.Complete)
    })
  }

  // Guards against refusals of a leaving server that are repeated with each item.
  it('is not sent to the server after a refusal of another item', async () => {
    start([{ does: 'refuse', leaving: true }])
    assign('r-1')
    await waitForEnd('r-1')
    assign('r-2')
    expect((await waitForEnd('r-2')).end).to.equal(RunEnd.NotRun)
    expect(servers.arrivals).to.have.length(1)
  })

  // Guards against runs that are cut by a response of their server to another item.
  it('is finished at the server when it had begun', async () => {
    start([{ does: 'answer', pieces: [firstEvent, secondEvent], endMs: 100 }, leaving])
    assign('r-1')
    assign('r-2')
    expect((await waitForEnd('r-1'))).to.include({ end: RunEnd.Complete, lastEvent: 1 })
  })
})
