import { expect } from 'chai'
import { createFleetView, type FleetView } from '../src/process/fleet/fleetView.ts'
import { createItemExecutor, type ItemExecutor } from '../src/process/fleet/itemExecutor.ts'
import type { RunAssignment, RunReport } from '../src/process/fleet/runMessages.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { RunEnd } from '../src/request/submittedItemRun.ts'
import { eventually } from '../scripts/processes.ts'
import { fleetUpdateOf, recordOf, type Script, ScriptedServers, ScriptGate } from './support/fakeFleet.ts'

const waitTimeoutMs = 3_000
const thirdEvent = 'id: 2\ndata: c\n\n'
const saved = { savedEvents: 2, savedCharacters: 2, lastEvent: 1 }

describe('run of an item at a server that restarts under its id', () => {
  let lifecycle: Lifecycle
  let servers: ScriptedServers
  let view: FleetView
  let executor: ItemExecutor

  function start (scripts: readonly Script[]): void {
    lifecycle = createLifecycle()
    const clock = createSystemClock()
    const logger = createSilentLogger()
    servers = new ScriptedServers(scripts)
    view = createFleetView(clock, logger, () => [])
    executor = createItemExecutor({ client: servers, view, clock, logger, metrics: createMetrics(), lifecycle })
  }
  afterEach(() => lifecycle.close())

  function assign (overrides: Partial<RunAssignment> = {}): void {
    executor.start({
      run: 'r-1',
      job: 'j',
      item: { id: 'a', path: '/p/1', headers: {}, body: Buffer.from('body'), tokens: 100 },
      host: 'a.example',
      target: { address: '10.0.0.1:3', id: 'i-1' },
      startedAt: 1,
      softwareVersion: 'v1',
      ...saved,
      ...overrides
    })
  }

  async function waitForEnd (): Promise<RunReport> {
    return await eventually('the end of the run', waitTimeoutMs, async () => executor.createReports().find(({ end }) => end !== undefined))
  }

  // Failure (trial T10): an item went to a server of which this host knew another start and version than the leader had assigned it to, and its
  // output was stored as that of the assigned version.
  for (const [name, record] of [
    ['a later start of another version', { startedAt: 2, softwareVersion: 'v2' }],
    ['a later start of the same version', { startedAt: 2 }],
    ['another version of a server that names no start', { startedAt: 0, softwareVersion: 'v2' }]
  ] as const) {
    it(`is not sent when this host lists ${name}`, async () => {
      start([{ does: 'answer', pieces: [thirdEvent] }])
      view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1', record)] }))
      assign({ startedAt: Math.min(1, record.startedAt) })
      expect(await waitForEnd()).to.deep.include({ end: RunEnd.NotRun, data: [], from: 2 })
      expect(servers.arrivals).to.have.length(0)
    })
  }

  // Guards against an item that waits until this host has learned of the start that the leader knows already.
  it('is sent when this host lists an earlier start than the leader', async () => {
    start([{ does: 'answer', pieces: [thirdEvent] }])
    view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1')] }))
    assign({ startedAt: 2, softwareVersion: 'v2' })
    expect(await waitForEnd()).to.deep.include({ end: RunEnd.Complete, data: ['c'], from: 2 })
  })

  // Failure it guards against: the output of another version was stored as that of the assignment, since the restart was found during the run.
  for (const [name, pieces] of [['output', [thirdEvent]], ['confirmed end', []]] as const) {
    it(`stores no ${name} when the restart is found during the run`, async () => {
      const endGate = new ScriptGate()
      start([{ does: 'answer', pieces, endGate }])
      view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1')] }))
      assign()
      await endGate.reached
      view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-1', { startedAt: 2, softwareVersion: 'v2' })] }))
      endGate.open()
      expect(await waitForEnd()).to.deep.include({ end: RunEnd.Interrupted, data: [], from: 2, lastEvent: 1, isExcessive: pieces.length > 0 })
    })
  }

  // Guards against the loss of an output whose server has only restarted with the same version.
  it('stores the output when the server has restarted with the same version', async () => {
    const endGate = new ScriptGate()
    start([{ does: 'answer', pieces: [thirdEvent], endGate }])
    view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1')] }))
    assign()
    await endGate.reached
    view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-1', { startedAt: 2 })] }))
    endGate.open()
    expect(await waitForEnd()).to.deep.include({ end: RunEnd.Complete, data: ['c'] })
  })
})
