import { expect } from 'chai'
import { EventEmitter, once } from 'node:events'
import { type AddressInfo } from 'node:net'
import { type Server } from 'node:http'
import { err, ok } from 'neverthrow'
import { request } from 'undici'
import { createCallerServer } from '../platform/callerHttp.ts'
import type { BackendServerClient } from '../src/connection/backendServerClient.ts'
import { createItemExecutor } from '../src/process/fleet/itemExecutor.ts'
import type { RunAssignment } from '../src/process/fleet/runMessages.ts'
import { assert, InvariantError } from '../src/process/program/assert.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { type LogEvent, LogEvents } from '../src/process/program/logEvents.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { containUncaughtErrors, ErrorPlace, runContained, taskRestartMs } from '../src/process/program/unexpectedErrors.ts'
import { RunEnd } from '../src/request/submittedItemRun.ts'
import type { CallerService } from '../src/request/callerService.ts'
import type { CallerLimits } from '../src/version/gatewayTables.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'
import { forwardingServicesOf, routeOf, ScriptedServers } from './support/fakeFleet.ts'

const limits: CallerLimits = { headerBytes: 16_384, bodyBytes: 1_000_000, headerMs: 3_000, idleMs: 15_000 }

describe('unexpected errors', () => {
  let servers: Server[]
  let reported: Array<{ error: unknown, requestId: string }>

  beforeEach(() => {
    servers = []
    reported = []
  })

  afterEach(() => {
    for (const server of servers) {
      server.close()
      server.closeAllConnections()
    }
  })

  async function startCallerServer (overrides: Partial<CallerService> = {}, callerLimits: CallerLimits = limits): Promise<number> {
    const service: CallerService = {
      limits: () => callerLimits,
      isJob: (_host, path) => path.startsWith('/batch/'),
      hasAccounts: () => false,
      now: () => performance.now(),
      async forward ({ id }, response) {
        if (id === 'bad') throw new Error('unexpected')
        response.start(200, ['content-length', '2'], true)
        await response.write(Buffer.from('ok'))
        response.end()
      },
      submit: async () => ok(undefined),
      results: async () => ok({ total: 0, next: 0, results: [] }),
      body: async () => ok(undefined),
      end: async () => ok(true),
      reportError: (error, requestId) => { reported.push({ error, requestId }) },
      ...overrides
    }
    const server = createCallerServer(service)
    servers.push(server)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return (server.address() as AddressInfo).port
  }

  async function send (port: number, id: string): Promise<number | undefined> {
    try {
      const response = await request(`http://127.0.0.1:${port}/p/1`, { method: 'POST', body: 'x', headers: { 'x-request-id': id } })
      await response.body.text()
      return response.statusCode
    } catch {
      return undefined
    }
  }

  // The error was swallowed without a log line or a counter.
  it('end the request in which they occur and are reported with its id', async () => {
    const port = await startCallerServer()
    const outcomes = await Promise.all(['good-1', 'bad', 'good-2'].map(id => send(port, id)))
    expect(outcomes).to.deep.equal([200, undefined, 200])
    expect(reported.map(({ requestId }) => requestId)).to.deep.equal(['bad'])
  })

  // An exception of one run ended the executor and with it the runs of all other items.
  it('end the run of an item, which resumes elsewhere, and no other run', async () => {
    const clock = new FakeClock()
    const metrics = createMetrics()
    const lifecycle = createLifecycle()
    const { view, logger } = forwardingServicesOf(new ScriptedServers([]), [routeOf()])
    const client = {
      async send (_target: unknown, { id }: { id: string }) {
        if (id === 'bad') throw new Error('unexpected')
        return err({ sent: false, failure: createFailure(FailureReason.Refused, { step: Step.Connect }, 'refused') })
      }
    } as unknown as BackendServerClient
    const throwingView = { ...view, requestLimits: { ...view.requestLimits, find (id: string) { if (id === 'bad') throw new Error('unexpected'); return undefined } } }
    const executor = createItemExecutor({ client, view: throwingView as unknown as typeof view, clock, logger, metrics, lifecycle })
    const assign = (id: string, target: string): RunAssignment => ({
      run: `run-${id}`, job: 'j', item: { id, path: '/p/1', headers: {}, body: Buffer.alloc(0), tokens: 10 }, host: 'a.example', target: { address: '127.0.0.1:1', id: target }, startedAt: 1, lastEvent: undefined, savedEvents: 0
    } as unknown as RunAssignment)
    executor.start(assign('bad', 'i-1'))
    executor.start(assign('worse', 'bad'))
    executor.start(assign('good', 'i-1'))
    await runPendingTasks()
    const ends = executor.createReports().map(({ item, end }) => [item, end])
    expect(ends).to.deep.equal([['bad', RunEnd.Interrupted], ['worse', RunEnd.Interrupted], ['good', RunEnd.NotRun]])
    expect(metrics.read(Counter.UnexpectedErrors, ErrorPlace.ItemRun)).to.equal(1)
    expect(lifecycle.signal.aborted, 'the process goes on').to.equal(false)
    await lifecycle.close()
  })

  describe('in background tasks', () => {
    const clock = new FakeClock()

    function createServices (): { lifecycle: ReturnType<typeof createLifecycle>, metrics: ReturnType<typeof createMetrics>, events: LogEvent[], logger: { write (event: LogEvent): void } } {
      const events: LogEvent[] = []
      return { lifecycle: createLifecycle(), metrics: createMetrics(), events, logger: { write: event => { events.push(event) } } }
    }

    // One error in a task that runs for the life of a process ended the process.
    it('start the task again', async () => {
      const services = createServices()
      let starts = 0
      runContained({ ...services, clock }, async signal => {
        if (++starts < 3) throw new Error('unexpected')
        await clock.sleep(1e9, signal)
      })
      await clock.advance(3 * taskRestartMs)
      expect(starts).to.equal(3)
      expect(services.events).to.deep.equal([LogEvents.unexpectedError, LogEvents.unexpectedError])
      expect(services.lifecycle.cause).to.equal(undefined)
      await services.lifecycle.close()
    })

    // A replica that goes on after a violated invariant could acknowledge what it does not have.
    it('end the process when an invariant is violated', async () => {
      const services = createServices()
      runContained({ ...services, clock }, async () => { assert(false as boolean, 'test') })
      await services.lifecycle.waitUntilClosed()
      expect(services.lifecycle.cause?.message).to.match(/invariant violated: test/)
    })

    it('are contained when nothing catches them', async () => {
      const services = createServices()
      const source = new EventEmitter()
      containUncaughtErrors(source, services)
      source.emit('uncaughtException', new Error('unexpected'))
      source.emit('unhandledRejection', 'no error at all')
      expect(services.metrics.read(Counter.UnexpectedErrors, ErrorPlace.Process)).to.equal(2)
      expect(services.lifecycle.cause).to.equal(undefined)
      source.emit('uncaughtException', new InvariantError('test'))
      await services.lifecycle.waitUntilClosed()
      expect(services.lifecycle.cause).not.to.equal(undefined)
    })
  })
})
