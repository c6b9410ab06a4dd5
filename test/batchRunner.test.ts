import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { createSystemClock } from '../src/process/program/clock.ts'
import { type Command, CommandKind, Ending, type FinishedItem } from '../src/process/state/commands.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { type BatchRunner, createBatchRunner } from '../src/process/fleet/batchRunner.ts'
import type { BackendServerRecord } from '../src/process/fleet/backendServerRegistry.ts'
import type { FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'
import type { Replica } from '../src/process/log/replica.ts'
import { RouteKind } from '../src/version/gatewayTables.ts'
import { recordOf, routeOf, type Script, ScriptedServers, tablesOf } from './support/fakeFleet.ts'

const first = 'id: 0\ndata: a\n\n'
const second = 'id: 1\ndata: b\n\n'
const waitLimitMs = 5_000

describe('the runner of batch items', () => {
  let lifecycle: Lifecycle
  let state: ControlState
  let runner: BatchRunner
  let servers: ScriptedServers
  let server: BackendServerRecord
  let recorded: FinishedItem[]
  let failuresLeft: number
  let live: number
  let replicaState: { term: number, commitIndex: number, termStartIndex: number }
  const changed = createCondition()

  function start (scripts: readonly Script[], slots = 2): void {
    lifecycle = createLifecycle()
    state = createControlState()
    servers = new ScriptedServers(scripts)
    server = recordOf('i-1', { slots })
    recorded = []
    failuresLeft = 0
    live = 0
    const fleet = {
      changed,
      batch: new Map<string, number>(),
      isLeading: () => true,
      listReadyServers: () => server.phase === 'ready' ? [server] : [],
      findServer: () => server,
      getLoad: () => ({ live, batch: 0 }),
      isSuspect: () => false
    } as unknown as FleetLeader
    replicaState = { term: 1, commitIndex: 5, termStartIndex: 5 }
    const replica = {
      state: replicaState,
      async propose (command: Command) {
        if (command.kind === CommandKind.FinishItems && failuresLeft-- > 0) {
          return err(createFailure(FailureReason.Unknown, { step: Step.Propose }, 'the leadership was lost'))
        }
        if (command.kind === CommandKind.FinishItems) recorded.push(...command.results)
        return ok(apply(command))
      }
    } as unknown as Replica
    runner = createBatchRunner({
      fleet, replica, state, client: servers, clock: createSystemClock(), random: createSystemRandom(), logger: createSilentLogger(), metrics: createMetrics(), lifecycle, keepMs: 60_000
    })
    apply({ kind: CommandKind.Publish, publication: { tables: tablesOf(1, [routeOf({ kind: RouteKind.Batch, attempts: 2, dueMs: 10_000 })]), document: '', digest: '' } })
  }

  function apply (command: Command): unknown {
    const outcome = applyCommand(state, command)
    runner.applied.notify()
    return outcome
  }

  function submit (job: string, ids: readonly string[]): void {
    const items = ids.map(id => ({ id, path: '/p/1', headers: { 'X-Model': 'm' }, body: Buffer.from('body'), tokens: 10 }))
    const submission = { id: job, host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items }
    apply({ kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: Date.now() })
  }

  async function until (check: () => boolean): Promise<void> {
    const deadline = performance.now() + waitLimitMs
    while (!check()) {
      if (performance.now() > deadline) throw new Error('not seen in time')
      await new Promise(resolve => setTimeout(resolve, 2))
    }
  }

  /** Lets a live request come and go while the first item runs. */
  async function interruptForLiveWork (): Promise<void> {
    await until(() => servers.arrivals.length === 1)
    live = 1
    changed.notify()
    await until(() => servers.arrivals[0]?.signal.aborted === true)
    live = 0
    changed.notify()
  }

  afterEach(() => lifecycle.close())

  it('sends an item as it was submitted, and records its whole output', async () => {
    start([{ does: 'answer', pieces: [first, second] }])
    submit('j', ['a'])
    await until(() => recorded.length === 1)
    expect(servers.arrivals[0]?.request).to.include({ id: 'a', host: 'a.example', method: 'POST', path: '/p/1', resumeAfter: undefined, timeLeftMs: undefined })
    expect(servers.arrivals[0]?.request.headers).to.deep.equal(['X-Model', 'm'])
    expect(recorded).to.deep.equal([{ job: 'j', item: 'a', ending: Ending.Done, output: 'a\nb' }])
  })

  // Failure: ends that the log did not take were written again once for each item with the same id, and their items ran again.
  it('records an end again that the log did not take, and does not run its item again', async () => {
    start([{ does: 'answer', pieces: [first] }, { does: 'answer', pieces: [first] }])
    failuresLeft = 2
    submit('j', ['same'])
    submit('k', ['same'])
    await until(() => recorded.length >= 2)
    await new Promise(resolve => setTimeout(resolve, 400))
    expect(recorded.map(result => result.job).sort()).to.deep.equal(['j', 'k'])
    expect(servers.arrivals).to.have.length(2)
  })

  it('interrupts an item for live work and goes on after its last event', async () => {
    start([{ does: 'answer', pieces: [first], then: 'hang' }, { does: 'answer', pieces: [second] }], 1)
    submit('j', ['a'])
    await interruptForLiveWork()
    await until(() => recorded.length === 1)
    expect(servers.arrivals[1]?.request.resumeAfter).to.equal(0)
    expect(recorded[0]?.output).to.equal('a\nb')
  })

  it('interrupts an item on a server that leaves, and starts nothing there', async () => {
    start([{ does: 'answer', pieces: [first], then: 'hang' }])
    submit('j', ['a'])
    await until(() => servers.arrivals.length === 1)
    server = recordOf('i-1', { phase: 'leaving' })
    changed.notify()
    await until(() => servers.arrivals[0]?.signal.aborted === true)
    submit('k', ['b'])
    await new Promise(resolve => setTimeout(resolve, 300))
    expect(servers.arrivals).to.have.length(1)
  })

  it('ends the run of an item whose job is ended, and starts no other', async () => {
    start([{ does: 'answer', pieces: [first], then: 'hang' }], 1)
    submit('j', ['a', 'b'])
    await until(() => servers.arrivals.length === 1)
    apply({ kind: CommandKind.EndSubmission, job: 'j' })
    await until(() => servers.arrivals[0]?.signal.aborted === true)
    await new Promise(resolve => setTimeout(resolve, 300))
    expect(servers.arrivals).to.have.length(1)
    expect(recorded).to.deep.equal([])
  })

  it('ends an item as failed after the attempts of its route, and at once when it can never be done', async () => {
    start([{ does: 'answer', status: 500, pieces: [] }, { does: 'answer', status: 500, pieces: [] }])
    submit('j', ['a'])
    await until(() => recorded.length === 1)
    expect([servers.arrivals.length, recorded[0]?.ending]).to.deep.equal([2, Ending.Failed])
    await lifecycle.close()
    start([{ does: 'answer', status: 422, pieces: [] }])
    submit('j', ['a'])
    await until(() => recorded.length === 1)
    expect([servers.arrivals.length, recorded[0]?.ending]).to.deep.equal([1, Ending.Failed])
  })

  it('does not take a run for whole that broke off or repeats an event', async () => {
    start([{ does: 'answer', pieces: [first], then: 'break' }, { does: 'answer', pieces: [first] }, { does: 'answer', pieces: [second] }], 1)
    submit('j', ['a'])
    await until(() => recorded.length === 1)
    expect(servers.arrivals.map(arrival => arrival.request.resumeAfter)).to.deep.equal([undefined, 0, 0])
    expect(recorded[0]?.output).to.equal('a\nb')
  })

  it('does not count a refusal or a lost connection as an attempt', async () => {
    start([{ does: 'refuse' }, { does: 'refuse' }, { does: 'fail', sent: true }, { does: 'answer', pieces: [first] }], 1)
    submit('j', ['a'])
    await until(() => recorded.length === 1)
    expect(recorded[0]?.ending).to.equal(Ending.Done)
  })

  // Failure: a server that answers 500 at once always had the most room, so every item used its attempts up there.
  it('sends no further item to a server right after a run failed there', async () => {
    start([{ does: 'answer', status: 500, pieces: [] }, { does: 'answer', pieces: [first] }, { does: 'answer', pieces: [first] }], 1)
    submit('j', ['a', 'b'])
    await until(() => servers.arrivals.length === 1)
    await new Promise(resolve => setTimeout(resolve, 400))
    expect(servers.arrivals).to.have.length(1)
    await until(() => recorded.length === 2)
    expect(recorded.map(result => result.ending)).to.deep.equal([Ending.Done, Ending.Done])
  })

  // Failure: beside live requests that come and go, an item was started and interrupted every 50 ms, each time for its
  // whole prompt and hardly an event.
  it('starts no item where one was just interrupted for live work', async () => {
    start([{ does: 'answer', pieces: [first], then: 'hang' }, { does: 'answer', pieces: [second] }], 1)
    submit('j', ['a'])
    await interruptForLiveWork()
    await new Promise(resolve => setTimeout(resolve, 200))
    expect(servers.arrivals).to.have.length(1)
    await until(() => recorded.length === 1)
  })

  // Failure: every item began again when its leader ended, so that jobs near their end were hardly ever done in time.
  it('saves the progress of an item, and goes on from it when it leads next', async () => {
    const events = Array.from({ length: 12 }, (_, id) => `id: ${id}\ndata: d${id}\n\n`)
    start([{ does: 'answer', pieces: events, then: 'hang' }, { does: 'answer', pieces: ['id: 12\ndata: end\n\n'] }], 1)
    submit('j', ['a'])
    await until(() => state.submissions.jobs.get('j')?.progress.has('a') === true)
    replicaState.term = 2
    changed.notify()
    await until(() => recorded.length === 1)
    expect(servers.arrivals.map(arrival => arrival.request.resumeAfter)).to.deep.equal([undefined, 11])
    expect(recorded[0]?.output).to.equal([...events.keys()].map(id => `d${id}`).join('\n') + '\nend')
    expect(state.submissions.jobs.get('j')?.progress.size).to.equal(0)
  })
})
