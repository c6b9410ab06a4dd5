import { expect } from 'chai'
import { ok } from 'neverthrow'
import { type ExecutorLink, runRunPolls, runRunReports } from '../src/connection/executorLink.ts'
import type { BackendServerRecord } from '../src/process/fleet/backendServerRegistry.ts'
import { type BatchRunner, createBatchRunner } from '../src/process/fleet/batchRunner.ts'
import type { FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { createItemExecutor } from '../src/process/fleet/itemExecutor.ts'
import { readOutput } from '../src/process/jobs/storedOutput.ts'
import type { SavedProgress } from '../src/process/jobs/submission.ts'
import type { Replica } from '../src/process/log/replica.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics, type Metrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'
import { type Command, CommandKind } from '../src/process/state/commands.ts'
import { applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { RouteKind } from '../src/version/gatewayTables.ts'
import { recordOf, routeOf, type Script, ScriptedServers, tablesOf } from './support/fakeFleet.ts'

const waitTimeoutMs = 6_000
const slots = 2

/** Longest wait for a server of the version of the saved events, in milliseconds. */
const maxVersionWaitMs = 2_000

/** Time for a plan, a poll and a start beside other tests, in milliseconds. */
const toleranceMs = 1_000

function eventsOf (name: string, count: number, from = 0): string[] {
  return Array.from({ length: count }, (_, index) => `id: ${from + index}\ndata: ${name}${from + index}\n\n`)
}

function outputOf (name: string, count: number): string {
  return Array.from({ length: count }, (_, index) => `${name}${index}`).join('\n')
}

// What two software versions write does not fit together: these tests guard against an output whose events are of two versions, and against
// an item that is left lying for lack of a server of its version.
describe('software versions of the runs of items', () => {
  const changed = createCondition()
  let lifecycle: Lifecycle
  let state: ControlState
  let runner: BatchRunner
  let metrics: Metrics
  let client: ScriptedServers
  let servers: BackendServerRecord[]
  let live: Map<string, number>
  let replicaState: { term: number, commitIndex: number, termStartIndex: number, appliedIndex: number }
  let executors: Lifecycle[]
  /** Continues the proposals that are not applied yet; undefined while proposals are applied at once. */
  let held: Array<() => void> | undefined

  function startExecutor (name: string): void {
    const executorLifecycle = createLifecycle()
    const clock = createSystemClock()
    const logger = createSilentLogger()
    const view = createFleetView(clock, logger, () => [])
    const executor = createItemExecutor({ client, view, clock, logger, metrics: createMetrics(), lifecycle: executorLifecycle })
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
    executors.push(executorLifecycle)
  }

  function startRunner (scripts: readonly Script[], saved?: SavedProgress): void {
    lifecycle = createLifecycle()
    state = createControlState()
    metrics = createMetrics()
    client = new ScriptedServers(scripts)
    servers = [recordOf('i-1', { slots })]
    live = new Map()
    executors = []
    replicaState = { term: 1, commitIndex: 5, termStartIndex: 5, appliedIndex: 5 }
    const fleet = {
      changed,
      batch: new Map<string, number>(),
      isLeading: () => true,
      getLeadership: () => `a/${replicaState.term}`,
      listReadyServers: () => servers,
      findServer: (id: string) => servers.find(server => server.id === id),
      reportIntervalMs: 40,
      getLoad: (id: string) => ({ live: live.get(id) ?? 0, batch: 0 }),
      isSuspect: () => false,
      getPace: () => 1,
      quarantine: { isEmpty: true, isBlocked: () => false, recordOutputs () {}, acquireTrial: () => true },
      permits: { countItemPermits: () => Infinity, takeItemPermit () {} }
    } as unknown as FleetLeader
    held = undefined
    const replica = {
      state: replicaState,
      async propose (command: Command) {
        if (held === undefined) return ok(apply(command))
        await new Promise<void>(resolve => { held?.push(resolve) })
        return ok(apply(command))
      }
    } as unknown as Replica
    runner = createBatchRunner({
      fleet, replica, state, listSharedPromptParts: () => [], knownExecutors: () => [], getRegion: () => 'r1', clock: createSystemClock(), random: createSystemRandom(), logger: createSilentLogger(), metrics, lifecycle, keepMs: 60_000
    })
    startExecutor('e-1')
    apply({ kind: CommandKind.Publish, publication: { tables: tablesOf(1, [routeOf({ kind: RouteKind.Batch, attempts: 2, dueMs: 10_000 })]), document: '', digest: '' } })
    const items = [{ id: 'a', path: '/p/1', headers: {}, body: Buffer.from('body'), tokens: 100 }]
    apply({ kind: CommandKind.Submit, submission: { id: 'j', host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items }, tokenLimit: 0, giveUpMs: 0, time: Date.now() })
    if (saved !== undefined) apply({ kind: CommandKind.SaveProgress, pieces: [{ job: 'j', item: 'a', from: 0, ...saved }] })
  }

  function apply (command: Command): unknown {
    const outcome = applyCommand(state, command)
    replicaState.appliedIndex++
    runner.applied.notify()
    return outcome
  }

  function releaseProposals (): void {
    for (const proceed of held ?? []) proceed()
    held = undefined
  }

  async function waitUntil (check: () => boolean): Promise<void> {
    const deadline = performance.now() + waitTimeoutMs
    while (!check()) {
      if (performance.now() > deadline) throw new Error('condition not met before the timeout')
      await new Promise(resolve => setTimeout(resolve, 2))
    }
  }

  function getSaved (): SavedProgress | undefined {
    return state.submissions.jobs.get('j')?.progress.get('a')
  }

  async function waitForOutput (): Promise<string> {
    const results = state.submissions.jobs.get('j')?.results ?? []
    await waitUntil(() => results.length > 0)
    return readOutput(results[0]?.output ?? '')
  }

  function listArrivals (): Array<readonly [string, number | undefined]> {
    return client.arrivals.map(({ server, request }) => [server, request.resumeAfter] as const)
  }

  function setServers (...records: BackendServerRecord[]): void {
    servers = records
    changed.notify()
  }

  const interrupted: Script = { does: 'answer', pieces: eventsOf('old', 12), then: 'hang' }

  afterEach(async () => {
    releaseProposals()
    await lifecycle.close()
  })

  it('begins an interrupted item anew when only a server of another version has room', async () => {
    startRunner([interrupted, { does: 'answer', pieces: eventsOf('new', 3) }])
    await waitUntil(() => getSaved() !== undefined)
    const saved = getSaved()
    setServers(recordOf('i-2', { slots, softwareVersion: 'v2' }))
    await waitUntil(() => client.arrivals.length === 2)
    expect(listArrivals()).to.deep.equal([['i-1', undefined], ['i-2', undefined]])
    expect(await waitForOutput()).to.equal(outputOf('new', 3))
    expect(saved?.softwareVersion).to.equal('v1')
    expect(metrics.sum(Counter.RestartedItems)).to.equal(1)
  })

  it('resumes an interrupted item at the version of its saved events, even if another server has more free slots', async () => {
    startRunner([interrupted, { does: 'answer', pieces: eventsOf('old', 2, 12) }])
    await waitUntil(() => getSaved() !== undefined)
    setServers(recordOf('i-2', { slots: 8, softwareVersion: 'v2' }), recordOf('i-3', { slots }))
    expect(await waitForOutput()).to.equal(outputOf('old', 14))
    expect(listArrivals()).to.deep.equal([['i-1', undefined], ['i-3', 11]])
    expect(metrics.sum(Counter.RestartedItems)).to.equal(0)
  })

  it('waits for a free slot at the version of the saved events, and resumes there', async () => {
    startRunner([interrupted, { does: 'answer', pieces: eventsOf('old', 2, 12) }])
    await waitUntil(() => getSaved() !== undefined)
    live.set('i-1', slots)
    setServers(recordOf('i-1', { slots }), recordOf('i-2', { slots, softwareVersion: 'v2' }))
    await waitUntil(() => client.arrivals[0]?.signal.aborted === true)
    await new Promise(resolve => setTimeout(resolve, maxVersionWaitMs / 2))
    expect(client.arrivals).to.have.length(1)
    live.set('i-1', 0)
    changed.notify()
    expect(await waitForOutput()).to.equal(outputOf('old', 14))
    expect(listArrivals()).to.deep.equal([['i-1', undefined], ['i-1', 11]])
  })

  it('waits no longer than 2 s for a free slot at the version of the saved events', async () => {
    startRunner([interrupted, { does: 'answer', pieces: eventsOf('new', 3) }])
    await waitUntil(() => getSaved() !== undefined)
    live.set('i-1', slots)
    setServers(recordOf('i-1', { slots }), recordOf('i-2', { slots, softwareVersion: 'v2' }))
    await waitUntil(() => client.arrivals[0]?.signal.aborted === true)
    const interruptedAt = performance.now()
    await waitUntil(() => client.arrivals.length === 2)
    expect(performance.now() - interruptedAt).to.be.within(maxVersionWaitMs - 100, maxVersionWaitMs + toleranceMs)
    expect(await waitForOutput()).to.equal(outputOf('new', 3))
  })

  it('begins an item anew whose saved events name no version, or whose server names none', async () => {
    startRunner([{ does: 'answer', pieces: eventsOf('new', 3) }], { data: ['x0', 'x1'], lastEvent: 1, run: 'b/1/1' })
    expect(await waitForOutput()).to.equal(outputOf('new', 3))
    expect(listArrivals()).to.deep.equal([['i-1', undefined]])
    await lifecycle.close()
    startRunner([{ does: 'answer', pieces: eventsOf('new', 3) }], { data: ['x0', 'x1'], lastEvent: 1, run: 'b/1/1', softwareVersion: 'v1' })
    setServers(recordOf('i-1', { slots, softwareVersion: undefined }))
    expect(await waitForOutput()).to.equal(outputOf('new', 3))
    expect(listArrivals()).to.deep.equal([['i-1', undefined]])
  })

  // An end without events replaced no saved events, so that the result did not count and the item was run again and again.
  it('records the end of an item that began anew and has no output', async () => {
    startRunner([{ does: 'answer', pieces: [] }, { does: 'hang' }], { data: ['x0', 'x1'], lastEvent: 1, run: 'b/1/1', softwareVersion: 'v0' })
    expect(await waitForOutput()).to.equal('')
    expect(client.arrivals).to.have.length(1)
  })

  it('keeps the version over a change of leader during the run', async () => {
    startRunner([{ does: 'answer', pieces: eventsOf('old', 12), endMs: 2_500, then: 'break' }, { does: 'answer', pieces: eventsOf('old', 2, 12) }])
    await waitUntil(() => client.arrivals.length === 1)
    replicaState.term = 2
    changed.notify()
    await waitUntil(() => getSaved() !== undefined)
    expect(getSaved()?.softwareVersion, 'progress of an adopted run').to.equal('v1')
    setServers(recordOf('i-2', { slots: 8, softwareVersion: 'v2' }), recordOf('i-3', { slots }))
    expect(await waitForOutput()).to.equal(outputOf('old', 14))
    expect(listArrivals()).to.deep.equal([['i-1', undefined], ['i-3', 11]])
  })

  it('begins an item anew while the events of a lost run that replace the saved ones are not applied yet', async () => {
    startRunner([interrupted, { does: 'answer', pieces: eventsOf('new', 12), then: 'hang' }, { does: 'answer', pieces: eventsOf('old', 3), headMs: 300 }])
    await waitUntil(() => getSaved() !== undefined)
    const proposals: Array<() => void> = []
    held = proposals
    setServers(recordOf('i-2', { slots, softwareVersion: 'v2' }))
    await waitUntil(() => client.arrivals.length === 2 && proposals.length > 0)
    // Its end waits for the proposal.
    const closed = executors[0]?.close()
    setServers(recordOf('i-3', { slots }))
    startExecutor('e-2')
    await waitUntil(() => client.arrivals.length === 3)
    releaseProposals()
    await closed
    expect(listArrivals()).to.deep.equal([['i-1', undefined], ['i-2', undefined], ['i-3', undefined]])
    expect(await waitForOutput()).to.equal(outputOf('old', 3))
  })

  it('begins an item anew under the next leader when its version is gone', async () => {
    startRunner([interrupted, { does: 'answer', pieces: eventsOf('new', 12), then: 'hang' }, { does: 'answer', pieces: eventsOf('new', 1, 12) }])
    await waitUntil(() => getSaved() !== undefined)
    await executors[0]?.close()
    replicaState.term = 2
    setServers(recordOf('i-2', { slots, softwareVersion: 'v2' }))
    startExecutor('e-2')
    await waitUntil(() => client.arrivals.length === 2)
    expect(client.arrivals[1]?.request.resumeAfter).to.equal(undefined)
    await waitUntil(() => getSaved()?.softwareVersion === 'v2')
    expect(getSaved()?.data).to.deep.equal(outputOf('new', 12).split('\n'))
    setServers(recordOf('i-4', { slots, softwareVersion: 'v2' }))
    expect(await waitForOutput()).to.equal(outputOf('new', 13))
    expect(listArrivals()).to.deep.equal([['i-1', undefined], ['i-2', undefined], ['i-4', 11]])
  })
})
