import { expect } from 'chai'
import { createCondition } from '../src/process/program/condition.ts'
import { applyCommand, createControlState, type ControlState } from '../src/process/state/controlState.ts'
import { CommandKind } from '../src/process/state/commands.ts'
import type { FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import { determineResumption } from '../src/process/fleet/itemResumption.ts'
import { createOpenItems, type OpenItem, type OpenItems } from '../src/process/fleet/openItems.ts'
import { createRunAssignments, type RunAssignments } from '../src/process/fleet/runAssignments.ts'
import type { RunAssignment, RunPoll, RunReference, RunUpdate } from '../src/process/fleet/runMessages.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics, type Metrics } from '../src/process/program/metrics.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'
import { recordOf } from './support/fakeFleet.ts'

const longPollMs = 500
const regions: Readonly<Record<string, string>> = { z1: 'r1', z2: 'r1', z3: 'r2' }

describe('run assignments', () => {
  let clock: FakeClock
  let lifecycle: Lifecycle
  let state: ControlState
  let items: OpenItems
  let assignments: RunAssignments
  let batch: Map<string, number>
  let knownExecutors: string[]
  let metrics: Metrics
  const leadership = { isLeading: true }

  beforeEach(() => {
    clock = new FakeClock()
    lifecycle = createLifecycle()
    state = createControlState()
    items = createOpenItems()
    batch = new Map()
    knownExecutors = []
    metrics = createMetrics()
    leadership.isLeading = true
    const fleet = { changed: createCondition(clock), batch, isLeading: () => leadership.isLeading } as unknown as FleetLeader
    assignments = createRunAssignments({
      fleet, items, clock, logger: createSilentLogger(), metrics, lifecycle, knownExecutors: () => knownExecutors, getRegion: zone => regions[zone]
    })
    assignments.beginTerm('a/1')
  })

  afterEach(() => lifecycle.close())

  function submit (...ids: string[]): OpenItem[] {
    const submitted = ids.map(id => ({ id, path: '/p/1', headers: {}, body: Buffer.from('body'), tokens: 10 }))
    const submission = { id: 'j', host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items: submitted }
    applyCommand(state, { kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 })
    items.synchronize(state.submissions)
    return ids.map(id => items.find(`j ${id}`) as OpenItem)
  }

  function pollOf (name: string, changes: Partial<RunPoll> = {}): RunPoll {
    return { holder: `${name}-1`, name, availabilityZone: 'z1', isFallback: false, isDraining: false, leadership: 'a/1', runs: [], ending: [], references: [], ...changes }
  }

  /** Polls, advances the clock until the poll is answered, and returns the update. */
  async function poll (request: RunPoll): Promise<RunUpdate> {
    let update: RunUpdate | undefined
    assignments.poll(request).then(result => { update = result._unsafeUnwrap() }, () => {})
    await clock.advance(longPollMs + 50)
    return update as RunUpdate
  }

  async function connect (...requests: RunPoll[]): Promise<void> {
    for (const request of requests) assignments.poll(request).catch(() => {})
    await runPendingTasks()
  }

  // Guards against events that cross a region although an executor is closer, and against an executor that gets all runs.
  it('assigns a run to an executor close to the server, and among these to the one with the fewest runs', async () => {
    await connect(pollOf('near-1'), pollOf('near-2'), pollOf('region', { availabilityZone: 'z2' }), pollOf('far', { availabilityZone: 'z3' }))
    const entries = submit('a', 'b', 'c')
    for (const [index, zone] of ['z1', 'z1', 'z3'].entries()) assignments.start(entries[index] as OpenItem, recordOf('i-1', { availabilityZone: zone }))
    expect(entries.map(entry => entry.run?.executor)).to.deep.equal(['near-1-1', 'near-2-1', 'far-1'])
    expect(batch.get('i-1')).to.equal(3)
  })

  // Guards against batch work on control hosts beside executors, and against items that never run in a fleet without executors.
  it('uses a fallback executor only while there is no other one, and none that shuts down', async () => {
    await connect(pollOf('control', { isFallback: true }))
    const [first, second] = submit('a', 'b') as [OpenItem, OpenItem]
    assignments.start(first, recordOf('i-1'))
    expect(first.run?.executor).to.equal('control-1')
    await connect(pollOf('store', { availabilityZone: 'z3', isDraining: true }))
    assignments.start(second, recordOf('i-1'))
    expect(second.run).to.equal(undefined)
    await connect(pollOf('store', { availabilityZone: 'z3' }))
    assignments.start(second, recordOf('i-1'))
    expect(second.run?.executor).to.equal('store-1')
  })

  // A lost response must neither lose a run nor start it twice.
  it('sends a start until the executor lists the run, and a stop until it no longer runs it', async () => {
    await connect(pollOf('e'))
    const [entry] = submit('a') as [OpenItem]
    assignments.start(entry, recordOf('i-1'))
    const first = await poll(pollOf('e'))
    const repeated = await poll(pollOf('e'))
    const run = entry.run?.id ?? ''
    expect([first, repeated].map(update => update.starts.map(start => start.run))).to.deep.equal([[run], [run]])
    expect((await poll(pollOf('e', { runs: [run] }))).starts).to.deep.equal([])
    assignments.interrupt(entry)
    expect((await poll(pollOf('e', { runs: [run] }))).stops).to.deep.equal([run])
    expect(entry.run?.isInterrupted).to.equal(true)
    expect((await poll(pollOf('e', { ending: [run] }))).stops).to.deep.equal([])
  })

  // Guards against an item that waits for the report on a run that its executor never received.
  it('releases an interrupted run that the executor never received', async () => {
    await connect(pollOf('e'))
    const [unsent, lost] = submit('a', 'b') as [OpenItem, OpenItem]
    assignments.start(unsent, recordOf('i-1'))
    assignments.interrupt(unsent)
    expect(unsent.run).to.equal(undefined)
    assignments.start(lost, recordOf('i-1'))
    await poll(pollOf('e'))
    assignments.interrupt(lost)
    expect(lost.run?.isInterrupted).to.equal(true)
    await poll(pollOf('e'))
    expect(lost.run).to.equal(undefined)
    expect(batch.get('i-1')).to.equal(0)
  })

  // Guards against items that are never run again, and against a run that goes on beside its successor.
  it('releases the runs of an executor that stopped polling or restarted, and stops them if it returns', async () => {
    await connect(pollOf('e'))
    const [first, second] = submit('a', 'b') as [OpenItem, OpenItem]
    assignments.start(first, recordOf('i-1'))
    const run = first.run?.id ?? ''
    await clock.advance(3 * longPollMs + longPollMs + 100)
    assignments.removeLost(clock.now())
    expect(first.run).to.equal(undefined)
    const returned = await poll(pollOf('e', { runs: [run], references: [] }))
    expect(returned.stops).to.deep.equal([run])
    assignments.start(second, recordOf('i-1'))
    await connect(pollOf('e', { holder: 'e-2' }))
    expect(second.run).to.equal(undefined)
  })

  // Failure: a new leader started open items at once, also those that were still running under its predecessor.
  it('adopts the runs that executors describe, and starts none before each known executor has polled', async () => {
    knownExecutors = ['e', 'f']
    const [entry] = submit('a') as [OpenItem]
    const missing = await poll(pollOf('e', { leadership: 'b/7', references: undefined }))
    expect(missing).to.deep.equal({ leadership: 'a/1', starts: [], stops: [], needsReferences: true })
    const references = [{ run: 'b/7/3', job: 'j', item: 'a', server: 'i-1' }, { run: 'b/7/4', job: 'j', item: 'gone', server: 'i-1' }]
    const update = await poll(pollOf('e', { runs: ['b/7/3', 'b/7/4'], references }))
    expect(update.stops).to.deep.equal(['b/7/4'])
    expect([entry.run?.id, batch.get('i-1')]).to.deep.equal(['b/7/3', 1])
    assignments.beginTerm('a/2')
    await connect(pollOf('e', { leadership: 'a/2' }), pollOf('f', { references: undefined }))
    expect(assignments.canStart()).to.equal(false)
    await connect(pollOf('f', { leadership: 'a/2' }))
    expect(assignments.canStart()).to.equal(true)
    assignments.beginTerm('a/3')
    await clock.advance(3 * longPollMs)
    expect(assignments.canStart()).to.equal(true)
  })

  // Failure (LOST): an executor described a run to this leader while its predecessor accepted the end of the run. The leader adopted the
  // run, its executor never listed it again, and the item was neither run again nor ended.
  it('releases an adopted run that its executor no longer lists', async () => {
    const [kept, dropped] = submit('a', 'b') as [OpenItem, OpenItem]
    const references = [{ run: 'b/7/3', job: 'j', item: 'a', server: 'i-1' }, { run: 'b/7/4', job: 'j', item: 'b', server: 'i-1' }]
    await poll(pollOf('e', { runs: ['b/7/3'], ending: ['b/7/4'], references }))
    expect([kept.run?.id, dropped.run?.id]).to.deep.equal(['b/7/3', 'b/7/4'])
    await poll(pollOf('e', { runs: ['b/7/3'] }))
    expect([kept.run?.id, dropped.run?.id]).to.deep.equal(['b/7/3', undefined])
    expect(batch.get('i-1')).to.equal(1)
  })

  // A leader that was deposed must not stop the runs of its successor.
  it('answers no poll after the loss of the leadership', async () => {
    let failed: boolean | undefined
    assignments.poll(pollOf('e', { runs: ['b/2/1'] })).then(result => { failed = result.isErr() }, () => {})
    assignments.beginTerm('a/2')
    await clock.advance(longPollMs)
    expect(failed).to.equal(true)
    leadership.isLeading = false
    expect((await assignments.poll(pollOf('e', { leadership: 'a/2' }))).isErr()).to.equal(true)
  })

  describe('with several software versions', () => {
    function save (run: string, from: number, count: number, softwareVersion?: string): void {
      const data = Array.from({ length: count }, (_, index) => `${run} ${from + index}`)
      applyCommand(state, { kind: CommandKind.SaveProgress, pieces: [{ job: 'j', item: 'a', from, data, lastEvent: from + count - 1, run, softwareVersion }] })
    }

    /** Starts a run on a server of the version, and returns what the executor receives. */
    async function start (entry: OpenItem, softwareVersion: string | undefined): Promise<RunAssignment> {
      assignments.start(entry, recordOf('i-1', { softwareVersion }))
      const { starts } = await poll(pollOf('e'))
      return starts[0] as RunAssignment
    }

    function versionOf (entry: OpenItem): string | undefined {
      return determineResumption(entry, 0)?.softwareVersion
    }

    /** Returns whether a new leader adopts the run. */
    async function adopts (entry: OpenItem, reference: Partial<RunReference>, term: string): Promise<boolean> {
      assignments.beginTerm(term)
      const described = { run: 'b/7/3', job: 'j', item: 'a', server: 'i-1', ...reference }
      const update = await poll(pollOf('e', { leadership: term, runs: [described.run], references: [described] }))
      const isAdopted = entry.run?.id === described.run
      expect(update.stops, 'a run that is not adopted is stopped').to.deep.equal(isAdopted ? [] : [described.run])
      return isAdopted
    }

    // Guards against an output whose events are of two versions.
    it('resumes only at the version of the saved events', async () => {
      await connect(pollOf('e'))
      const [entry] = submit('a') as [OpenItem]
      save('b/1/1', 0, 5, 'v1')
      expect(await start(entry, 'v1')).to.include({ softwareVersion: 'v1', savedEvents: 5, savedCharacters: 35, lastEvent: 4 })
      expect(entry.run).to.include({ softwareVersion: 'v1', hasOutput: true })
      for (const softwareVersion of ['v2', undefined]) {
        assignments.release(entry)
        entry.currentRuns = undefined
        expect(await start(entry, softwareVersion)).to.include({ softwareVersion, savedEvents: 0, savedCharacters: 0, lastEvent: undefined })
        expect(entry.run).to.include({ softwareVersion, hasOutput: false })
      }
      expect([...metrics.list(Counter.RestartedItems)]).to.deep.equal([['other version', 1], ['unknown version', 1]])
    })

    // Guards against events that follow those of another version: a run begins anew and is lost while its first events are being recorded,
    // and the next run resumes after the events that they replace.
    it('does not resume after events that a lost run replaces', async () => {
      await connect(pollOf('e'))
      const [entry] = submit('a') as [OpenItem]
      save('b/1/1', 0, 5, 'v1')
      const { run } = await start(entry, 'v2')
      assignments.release(entry)
      expect(versionOf(entry)).to.equal(undefined)
      expect((await start(entry, 'v1')).savedEvents).to.equal(0)
      expect(metrics.read(Counter.RestartedItems, 'replaced')).to.equal(1)
      const second = entry.run?.id ?? ''
      assignments.release(entry)
      save(run, 0, 8, 'v2')
      expect((await start(entry, 'v2')).savedEvents, 'the second run may replace these').to.equal(0)
      assignments.release(entry)
      save(second, 0, 8, 'v1')
      expect((await start(entry, 'v1')).savedEvents, 'the third run may replace these').to.equal(0)
    })

    // Guards against progress that is dropped without need.
    it('resumes after the events of a run that began anew, and after those that remain when its excess is discarded', async () => {
      await connect(pollOf('e'))
      const [entry] = submit('a') as [OpenItem]
      save('b/1/1', 0, 5, 'v1')
      const { run } = await start(entry, 'v2')
      save(run, 0, 8, 'v2')
      assignments.release(entry)
      expect(versionOf(entry)).to.equal('v2')
      const resumed = await start(entry, 'v2')
      expect(resumed.savedEvents).to.equal(8)
      save(`${resumed.run} discarded`, 8, 0, 'v2')
      assignments.release(entry)
      expect((await start(entry, 'v2')).savedEvents).to.equal(8)
    })

    // Guards against events of an adopted run that follow those of another version, or are named after it.
    it('adopts a run only if its next events continue the saved ones', async () => {
      const [entry] = submit('a') as [OpenItem]
      expect(await adopts(entry, { softwareVersion: 'v1', from: 3 }, 'a/2')).to.equal(true)
      expect(entry.run?.softwareVersion).to.equal('v1')
      save('b/1/1', 0, 5, 'v1')
      for (const [reference, isAdopted, text] of [
        [{ softwareVersion: 'v1', from: 5 }, true, 'the same version'],
        [{ softwareVersion: 'v2', from: 5 }, false, 'another version'],
        [{ softwareVersion: 'v2', from: 0 }, true, 'a run that began anew'],
        [{}, false, 'an executor of an earlier version'],
        [{ run: 'b/1/1' }, true, 'an executor of an earlier version, with the run whose events are saved'],
        [{ run: 'b/1/1', softwareVersion: 'v1', from: 5 }, true, 'the run whose events are saved']
      ] as const) {
        items.clear()
        items.synchronize(state.submissions)
        const current = items.find('j a') as OpenItem
        expect(await adopts(current, reference, `a/${text}`), text).to.equal(isAdopted)
        if (isAdopted) expect(current.run?.softwareVersion, text).to.equal('softwareVersion' in reference ? reference.softwareVersion : undefined)
      }
      save('b/1/1', 0, 6)
      items.clear()
      items.synchronize(state.submissions)
      expect(await adopts(items.find('j a') as OpenItem, {}, 'a/9'), 'events and run of an earlier version').to.equal(true)
    })

    // Guards against a run that continues events which a later run has replaced.
    it('does not adopt a run again after a later one has begun anew', async () => {
      await connect(pollOf('e'))
      const [entry] = submit('a') as [OpenItem]
      save('b/1/1', 0, 5, 'v1')
      const { run } = await start(entry, 'v1')
      assignments.release(entry)
      await start(entry, 'v2')
      assignments.release(entry)
      const reference = { run, job: 'j', item: 'a', server: 'i-1', softwareVersion: 'v1', from: 5 }
      const update = await poll(pollOf('e', { holder: 'e-2', runs: [run], references: [reference] }))
      expect([entry.run, update.stops]).to.deep.equal([undefined, [run]])
    })
  })
})
