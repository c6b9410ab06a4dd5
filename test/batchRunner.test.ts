import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { createSystemClock } from '../src/process/program/clock.ts'
import { type Command, CommandKind, Ending, type FinishedItem } from '../src/process/state/commands.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { type ExecutorLink, runRunPolls, runRunReports } from '../src/connection/executorLink.ts'
import { type BatchRunner, createBatchRunner } from '../src/process/fleet/batchRunner.ts'
import type { BackendServerRecord } from '../src/process/fleet/backendServerRegistry.ts'
import type { FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { createItemExecutor } from '../src/process/fleet/itemExecutor.ts'
import { countOutputBytes, maxOutputBytes } from '../src/process/jobs/outputSpace.ts'
import { readOutput } from '../src/process/jobs/storedOutput.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'
import type { Replica } from '../src/process/log/replica.ts'
import { RunEnd } from '../src/request/submittedItemRun.ts'
import { RouteKind } from '../src/version/gatewayTables.ts'
import { recordOf, routeOf, type Script, ScriptedServers, tablesOf } from './support/fakeFleet.ts'

const firstEvent = 'id: 0\ndata: a\n\n'
const secondEvent = 'id: 1\ndata: b\n\n'
const waitTimeoutMs = 5_000

describe('batch runner', () => {
  let lifecycle: Lifecycle
  let state: ControlState
  let runner: BatchRunner
  let servers: ScriptedServers
  let server: BackendServerRecord
  /** Further servers, with a longer id than `server`. */
  let otherServers: BackendServerRecord[]
  let recordedResults: FinishedItem[]
  let proposalFailuresLeft: number
  /** Number of recorded failures whose outcome is lost with the leadership. */
  let lostOutcomesLeft: number
  let live: number
  const blocked = new Set<string>()
  let replicaState: { term: number, commitIndex: number, termStartIndex: number, appliedIndex: number }
  const changed = createCondition()
  const executors: Lifecycle[] = []

  /** Starts an executor whose calls reach the runner without a network. Its life cycle ends it like a crash: without a last report. */
  function startExecutor (name: string): Lifecycle {
    const executorLifecycle = createLifecycle()
    const clock = createSystemClock()
    const logger = createSilentLogger()
    const view = createFleetView(clock, logger, () => [])
    const executor = createItemExecutor({ client: servers, view, clock, logger, metrics: createMetrics(), lifecycle: executorLifecycle })
    const link: ExecutorLink = {
      executor,
      client: { pollRuns: poll => runner.poll(poll), reportRuns: reports => runner.report(reports) },
      describe: () => ({ holder: `${name}-1`, name, availabilityZone: 'z1', isFallback: false, isDraining: false }),
      clock,
      random: createSystemRandom(),
      logger
    }
    executorLifecycle.run(signal => runRunPolls(link, signal))
    executorLifecycle.run(signal => runRunReports(link, signal))
    lifecycle.addCleanup(() => executorLifecycle.close())
    return executorLifecycle
  }

  function startRunner (scripts: readonly Script[], slots = 2): void {
    lifecycle = createLifecycle()
    state = createControlState()
    servers = new ScriptedServers(scripts)
    executors.length = 0
    server = recordOf('i-1', { slots })
    otherServers = []
    recordedResults = []
    proposalFailuresLeft = 0
    lostOutcomesLeft = 0
    live = 0
    blocked.clear()
    const fleet = {
      changed,
      batch: new Map<string, number>(),
      isLeading: () => true,
      getLeadership: () => `a/${replicaState.term}`,
      listReadyServers: () => [server, ...otherServers].filter(({ phase }) => phase === 'ready'),
      findServer: (id: string) => otherServers.find(other => other.id === id) ?? server,
      reportIntervalMs: 40,
      getLoad: () => ({ live, batch: 0 }),
      isSuspect: () => false,
      getPace: () => 1,
      quarantine: { isEmpty: false, isBlocked: (traits: readonly string[]) => traits.some(trait => blocked.has(trait)), recordOutputs () {}, acquireTrial: () => true },
      permits: { countItemPermits: () => Infinity, takeItemPermit () {} }
    } as unknown as FleetLeader
    replicaState = { term: 1, commitIndex: 5, termStartIndex: 5, appliedIndex: 5 }
    const replica = {
      state: replicaState,
      async propose (command: Command) {
        if (command.kind === CommandKind.FinishItems && proposalFailuresLeft-- > 0) {
          return err(createFailure(FailureReason.Unknown, { step: Step.Propose }, 'leadership lost'))
        }
        const outcome = apply(command)
        if (command.kind === CommandKind.FinishItems) {
          for (const { job, item, ending } of command.results) {
            const output = readOutput(state.submissions.jobs.get(job)?.results.find(result => result.item === item)?.output ?? 'not recorded')
            recordedResults.push({ job, item, ending, output })
          }
        }
        if (command.kind === CommandKind.RecordFailures && lostOutcomesLeft-- > 0) {
          replicaState.term++
          changed.notify()
          return err(createFailure(FailureReason.Unknown, { step: Step.Propose }, 'leadership lost'))
        }
        return ok(outcome)
      }
    } as unknown as Replica
    runner = createBatchRunner({
      fleet, replica, state, listSharedPromptParts: item => (item.headers['X-Parts'] ?? '').split(' '), knownExecutors: () => [], getRegion: () => 'r1', clock: createSystemClock(), random: createSystemRandom(), logger: createSilentLogger(), metrics: createMetrics(), lifecycle, keepMs: 60_000
    })
    executors.push(startExecutor('e-1'))
    apply({ kind: CommandKind.Publish, publication: { tables: tablesOf(1, [routeOf({ kind: RouteKind.Batch, attempts: 2, dueMs: 10_000 })]), document: '', digest: '' } })
  }

  function apply (command: Command): unknown {
    const outcome = applyCommand(state, command)
    replicaState.appliedIndex++
    runner.applied.notify()
    return outcome
  }

  function submit (job: string, ids: readonly string[], headers: Readonly<Record<string, string>> = { 'X-Model': 'm' }): void {
    const items = ids.map(id => ({ id, path: '/p/1', headers, body: Buffer.from('body'), tokens: 100 }))
    const submission = { id: job, host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items }
    apply({ kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: Date.now() })
  }

  async function waitUntil (check: () => boolean): Promise<void> {
    const deadline = performance.now() + waitTimeoutMs
    while (!check()) {
      if (performance.now() > deadline) throw new Error('condition not met before the timeout')
      await new Promise(resolve => setTimeout(resolve, 2))
    }
  }

  /** Reports a live request while the first item runs, and its end once the item's run is aborted. */
  async function interruptForLiveWork (): Promise<void> {
    await waitUntil(() => servers.arrivals.length === 1)
    live = 1
    changed.notify()
    await waitUntil(() => servers.arrivals[0]?.signal.aborted === true)
    live = 0
    changed.notify()
  }

  afterEach(() => lifecycle.close())

  // Guards against altered requests, and against an output that lacks events.
  it('sends an item as it was submitted, and records its complete output', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent, secondEvent] }])
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals[0]?.request).to.include({ id: 'a', host: 'a.example', method: 'POST', path: '/p/1', resumeAfter: undefined, timeLeftMs: undefined })
    expect(servers.arrivals[0]?.request.headers).to.deep.equal(['X-Model', 'm'])
    expect(recordedResults).to.deep.equal([{ job: 'j', item: 'a', ending: Ending.Done, output: 'a\nb' }])
  })

  // Failure: when proposing the ends of items failed, they were retried once for each item with the same id in any job, and
  // their items ran again.
  it('proposes the end of an item again after a failed proposal, without running the item again', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent] }, { does: 'answer', pieces: [firstEvent] }])
    proposalFailuresLeft = 2
    submit('j', ['same'])
    submit('k', ['same'])
    await waitUntil(() => recordedResults.length >= 2)
    await new Promise(resolve => setTimeout(resolve, 400))
    expect(recordedResults.map(result => result.job).sort()).to.deep.equal(['j', 'k'])
    expect(servers.arrivals).to.have.length(2)
  })

  // Guards against an interrupted item that starts over, or whose output lacks or repeats events after it resumed.
  it('interrupts an item for live work, and resumes it after its last event', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }, { does: 'answer', pieces: [secondEvent] }], 1)
    submit('j', ['a'])
    await interruptForLiveWork()
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals[1]?.request.resumeAfter).to.equal(0)
    expect(recordedResults[0]?.output).to.equal('a\nb')
  })

  // Guards against an item that crashes servers although its prompt part is known to, and against one that is never run again.
  it('starts no item with a blocked prompt part, and starts it when the part is released', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent] }, { does: 'answer', pieces: [firstEvent] }])
    blocked.add('part dead')
    submit('j', ['a'], { 'X-Parts': 'first dead' })
    submit('k', ['b'], { 'X-Parts': 'first' })
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals.map(arrival => arrival.request.id)).to.deep.equal(['b'])
    blocked.clear()
    changed.notify()
    await waitUntil(() => recordedResults.length === 2)
    expect(recordedResults[1]).to.include({ item: 'a', ending: 'done' })
  })

  // Guards against items that are sent to, or keep running on, a server that is about to shut down.
  it('interrupts an item on a leaving server, and starts no other item there', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }])
    submit('j', ['a'])
    await waitUntil(() => servers.arrivals.length === 1)
    server = recordOf('i-1', { phase: 'leaving' })
    changed.notify()
    await waitUntil(() => servers.arrivals[0]?.signal.aborted === true)
    submit('k', ['b'])
    await new Promise(resolve => setTimeout(resolve, 300))
    expect(servers.arrivals).to.have.length(1)
  })

  // Guards against work for a job that its caller has ended.
  it('cancels the run of an item whose job is ended, and starts no other item of the job', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }], 1)
    submit('j', ['a', 'b'])
    await waitUntil(() => servers.arrivals.length === 1)
    apply({ kind: CommandKind.EndSubmission, job: 'j' })
    await waitUntil(() => servers.arrivals[0]?.signal.aborted === true)
    await new Promise(resolve => setTimeout(resolve, 300))
    expect(servers.arrivals).to.have.length(1)
    expect(recordedResults).to.deep.equal([])
  })

  // Guards against retries without end, and against retrying a request that the server rejects as invalid.
  it('fails an item after the attempts of its route, and at once after a response that no retry can change', async () => {
    startRunner([{ does: 'answer', status: 500, pieces: [] }, { does: 'answer', status: 500, pieces: [] }])
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect([servers.arrivals.length, recordedResults[0]?.ending]).to.deep.equal([2, Ending.Failed])
    await lifecycle.close()
    startRunner([{ does: 'answer', status: 422, pieces: [] }])
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect([servers.arrivals.length, recordedResults[0]?.ending]).to.deep.equal([1, Ending.Failed])
  })

  // Guards against recording the events of a truncated run, or of one that repeated an event after resuming, as the output.
  it('does not complete an item from a run that was truncated or repeated an event', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'break' }, { does: 'answer', pieces: [firstEvent] }, { does: 'answer', pieces: [secondEvent] }], 1)
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals.map(arrival => arrival.request.resumeAfter)).to.deep.equal([undefined, 0, 0])
    expect(recordedResults[0]?.output).to.equal('a\nb')
  })

  // Guards against an item that fails because its servers were busy or unreachable, not because its request failed.
  it('does not count a refusal or a lost connection as an attempt', async () => {
    startRunner([{ does: 'refuse' }, { does: 'refuse' }, { does: 'fail', sent: true }, { does: 'answer', pieces: [firstEvent] }], 1)
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect(recordedResults[0]?.ending).to.equal(Ending.Done)
  })

  // Failure: a server that responds 500 at once always has the most free slots, so every item used up its attempts there.
  it('pauses a server for items after a failed run', async () => {
    startRunner([{ does: 'answer', status: 500, pieces: [] }, { does: 'answer', pieces: [firstEvent] }, { does: 'answer', pieces: [firstEvent] }], 1)
    submit('j', ['a', 'b'])
    await waitUntil(() => servers.arrivals.length === 1)
    await new Promise(resolve => setTimeout(resolve, 400))
    expect(servers.arrivals).to.have.length(1)
    await waitUntil(() => recordedResults.length === 2)
    expect(recordedResults.map(result => result.ending)).to.deep.equal([Ending.Done, Ending.Done])
  })

  // Failure (LOST): a server that refuses every item, or breaks its connection before the first event, always has the most free slots, so the last waiting
  // items were sent to it again and again, though other servers had free slots.
  for (const script of [{ does: 'refuse' }, { does: 'fail', sent: true }] as const) {
    it(`sends an item elsewhere when the server with the most free slots does not run it: ${script.does}`, async () => {
      startRunner([script, script, script, { does: 'answer', pieces: [firstEvent] }, { does: 'answer', pieces: [firstEvent] }], 4)
      otherServers = [recordOf('i-22', { slots: 2 })]
      submit('j', ['a'])
      await waitUntil(() => servers.arrivals.length === 4)
      expect(servers.arrivals[0]?.server).to.equal('i-1')
      expect(servers.arrivals.map(arrival => arrival.server)).to.include('i-22')
    })
  }

  // Guards against a sound server that gets no items for a while, because it refused one when it was full, or broke off one that had delivered events.
  it('sends further items to a server that refused one, or broke one off after events that were reported before', async () => {
    const events = Array.from({ length: 12 }, (_, id) => `id: ${id}\ndata: d${id}\n\n`)
    startRunner([{ does: 'refuse' }, { does: 'answer', pieces: events, endMs: 1_900, then: 'break' }, { does: 'answer', pieces: ['id: 12\ndata: end\n\n'] }], 4)
    otherServers = [recordOf('i-22', { slots: 2 })]
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals.map(arrival => arrival.server)).to.deep.equal(['i-1', 'i-1', 'i-1'])
  })

  // Failure: under intermittent live requests an item was started and interrupted every 50 ms, each time processing its
  // whole prompt for hardly any event.
  it('pauses a server for items after one was interrupted there for live work', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }, { does: 'answer', pieces: [secondEvent] }], 1)
    submit('j', ['a'])
    await interruptForLiveWork()
    await new Promise(resolve => setTimeout(resolve, 200))
    expect(servers.arrivals).to.have.length(1)
    await waitUntil(() => recordedResults.length === 1)
  })

  // Failure (BUDGET): the failed runs were counted in the leader's memory, so an item that fails at each run got all attempts of
  // its route from each leader.
  it('counts the failed runs of an item under all leaders together', async () => {
    startRunner(Array.from({ length: 4 }, () => ({ does: 'answer', status: 500, pieces: [] })), 1)
    submit('j', ['a'])
    await waitUntil(() => servers.arrivals.length === 1 && state.submissions.jobs.get('j')?.failures.get('a') === 1)
    replicaState.term = 2
    changed.notify()
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals).to.have.length(2)
    expect(recordedResults[0]?.ending).to.equal(Ending.Failed)
  })

  // Failure (MIXED): a failed run was reported again to the next leader, whose log had it already, and used up two attempts.
  it('counts a failed run once when it is reported to two leaders', async () => {
    startRunner(Array.from({ length: 3 }, () => ({ does: 'answer', status: 500, pieces: [] })), 1)
    lostOutcomesLeft = 1
    submit('j', ['a'])
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals).to.have.length(2)
  })

  // Failure: every item started over after a change of leader, so that jobs near their due time were rarely done in time.
  it('adopts the runs of an executor in the next term, and does not start their items again', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent, secondEvent], endMs: 600 }, { does: 'answer', pieces: [firstEvent] }], 1)
    submit('j', ['a'])
    await waitUntil(() => servers.arrivals.length === 1)
    replicaState.term = 2
    changed.notify()
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals).to.have.length(1)
    expect(recordedResults[0]?.output).to.equal('a\nb')
  })

  // Failure (soak, seed 11): a run ended while its executor described its runs to a new leader. The report arrived first and was
  // accepted without effect; then the run was adopted, and the item waited for its end for ever.
  it('accepts no report of an executor before it has described its runs', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }], 1)
    submit('j', ['a'])
    await waitUntil(() => servers.arrivals.length === 1)
    const end = { run: 'a/1/1', job: 'j', item: 'a', from: 0, data: [], lastEvent: -1, end: RunEnd.Interrupted, isUnreachable: false, durationMs: 1 }
    expect((await runner.report({ holder: 'e-2-1', reports: [end] })).isErr()).to.equal(true)
    expect((await runner.report({ holder: 'e-1-1', reports: [end] })).isOk()).to.equal(true)
  })

  // Guards against an overloaded leader that appends the events of a run to the log again for each repetition of a slow report.
  it('appends a report to the log once when it is repeated while the first one is being recorded', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }], 1)
    submit('j', ['a'])
    await waitUntil(() => servers.arrivals.length === 1)
    const entriesBefore = replicaState.appliedIndex
    const report = { run: 'a/1/1', job: 'j', item: 'a', from: 0, data: ['x', 'y'], lastEvent: 1, end: undefined, isUnreachable: false, durationMs: 1 }
    const more = { ...report, data: ['x', 'y', 'z'], lastEvent: 2 }
    const results = await Promise.all([report, report, more, more].map(async repeated => await runner.report({ holder: 'e-1-1', reports: [repeated] })))
    expect(results.map(result => result.isOk())).to.deep.equal([true, true, true, true])
    expect(state.submissions.jobs.get('j')?.progress.get('a')?.data).to.deep.equal(['x', 'y', 'z'])
    expect(replicaState.appliedIndex - entriesBefore).to.equal(2)
  })

  // Guards against output of a faulty server that stays in the result of an item, because it was saved before it was too much.
  it('discards the saved progress of a run that had more output than the item can have', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent], then: 'hang' }, { does: 'answer', pieces: [firstEvent, secondEvent] }], 1)
    submit('j', ['a'])
    await waitUntil(() => servers.arrivals.length === 1)
    const report = { run: 'a/1/1', job: 'j', item: 'a', from: 0, isUnreachable: false, durationMs: 1 }
    expect((await runner.report({ holder: 'e-1-1', reports: [{ ...report, data: ['x', 'y'], lastEvent: 1, end: undefined }] })).isOk()).to.equal(true)
    expect(state.submissions.jobs.get('j')?.progress.get('a')?.data).to.deep.equal(['x', 'y'])
    await runner.report({ holder: 'e-1-1', reports: [{ ...report, data: [], lastEvent: -1, end: RunEnd.Interrupted, isExcessive: true }] })
    expect(countOutputBytes(state.submissions)).to.equal(0)
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals[1]?.request.resumeAfter).to.equal(undefined)
    expect(recordedResults[0]?.output).to.equal('a\nb')
  })

  // Guards against control hosts that run out of memory or disk space with the results of many jobs.
  it('starts no item while results and saved progress have their maximum size', async () => {
    startRunner([{ does: 'answer', pieces: [firstEvent] }], 1)
    state.submissions.resultBytes = maxOutputBytes
    submit('j', ['a'])
    await new Promise(resolve => setTimeout(resolve, 400))
    expect(servers.arrivals).to.have.length(0)
    state.submissions.resultBytes = 0
    changed.notify()
    await waitUntil(() => recordedResults.length === 1)
  })

  // Failure (LOST): at the maximum no item was started at all, so that interrupted items kept the space of their progress, and none ended.
  it('completes the items with saved progress while results and saved progress have their maximum size', async () => {
    startRunner([{ does: 'answer', pieces: [secondEvent] }], 1)
    submit('j', ['new', 'a'])
    apply({ kind: CommandKind.SaveProgress, pieces: [{ job: 'j', item: 'a', from: 0, data: ['a'], lastEvent: 0, run: 'r', softwareVersion: 'v1' }] })
    state.submissions.resultBytes = maxOutputBytes
    await waitUntil(() => recordedResults.length === 1)
    expect(recordedResults).to.deep.equal([{ job: 'j', item: 'a', ending: Ending.Done, output: 'a\nb' }])
    expect(servers.arrivals).to.have.length(1)
  })

  // Failure: every item of a lost executor started over.
  it('saves the progress of an item, and resumes from it on another executor when the first is lost', async () => {
    const events = Array.from({ length: 12 }, (_, id) => `id: ${id}\ndata: d${id}\n\n`)
    startRunner([{ does: 'answer', pieces: events, then: 'hang' }, { does: 'answer', pieces: ['id: 12\ndata: end\n\n'] }], 1)
    submit('j', ['a'])
    await waitUntil(() => state.submissions.jobs.get('j')?.progress.has('a') === true)
    await executors[0]?.close()
    startExecutor('e-2')
    await waitUntil(() => recordedResults.length === 1)
    expect(servers.arrivals.map(arrival => arrival.request.resumeAfter)).to.deep.equal([undefined, 11])
    expect(recordedResults[0]?.output).to.equal([...events.keys()].map(id => `d${id}`).join('\n') + '\nend')
    expect(state.submissions.jobs.get('j')?.progress.size).to.equal(0)
  })
})
