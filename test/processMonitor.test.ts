import { expect } from 'chai'
import { createReplicationMonitor } from '../src/connection/replicationMonitor.ts'
import { createMetrics, Counter } from '../src/process/program/metrics.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import type { LogFields } from '../src/process/program/logger.ts'
import { type LogEvent, LogEvents } from '../src/process/program/logEvents.ts'
import { runProcessMonitor } from '../src/process/program/processMonitor.ts'
import { Standing } from '../src/process/log/storage.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'

describe('monitoring of a process', () => {
  const member = { identity: 'b', address: '10.0.0.2:7000', availabilityZone: 'zone-a', standing: Standing.Voter }
  let clock: FakeClock
  let written: Array<{ event: LogEvent, fields: LogFields }>
  const logger = { write (event: LogEvent, fields: LogFields = {}) { written.push({ event, fields }) } }

  beforeEach(() => {
    clock = new FakeClock()
    written = []
  })

  function valuesOf (event: LogEvent): Array<number | undefined> {
    return written.filter(line => line.event === event).map(line => line.fields.value)
  }

  // Guards against a blocked event loop that leaves no trace, and against a line for every measurement.
  it('reports a delayed event loop with its delay, and the resources used at intervals', async () => {
    const controller = new AbortController()
    const monitor = runProcessMonitor({ clock, logger, metrics: createMetrics() }, controller.signal)
    await clock.advance(1_000)
    expect(valuesOf(LogEvents.eventLoopDelayed)).to.deep.equal([])
    clock.jump(500)
    await clock.advance(4_500)
    expect(valuesOf(LogEvents.eventLoopDelayed)).to.have.lengthOf(1)
    expect(valuesOf(LogEvents.eventLoopDelayed)[0]).to.be.within(300, 500)
    expect(valuesOf(LogEvents.resourcesUsed)).to.have.lengthOf(1)
    controller.abort()
    await runPendingTasks()
    await monitor
  })

  // Guards against an overloaded host whose log cannot tell which calls it serves and whether anyone still waits for the responses.
  it('names the kinds of work that were done since the last report', async () => {
    const controller = new AbortController()
    const metrics = createMetrics()
    metrics.count(Counter.Responses, 'control.read', 3)
    const monitor = runProcessMonitor({ clock, logger, metrics }, controller.signal)
    metrics.count(Counter.Responses, 'control.execute', 5)
    metrics.count(Counter.UnsentResponses, 'control.execute', 4)
    metrics.count(Counter.ReplacedConnections, 'batch', 2)
    metrics.count(Counter.BatchPlans, 'gateway', 7)
    await clock.advance(5_200)
    const inputs = written.find(line => line.event === LogEvents.resourcesUsed)?.fields.inputs ?? {}
    expect(inputs).to.include({ responses: 5, 'responses control.execute': 5, 'unsent control.execute': 4, 'replaced connections batch': 2, plans: 7 })
    expect(inputs).not.to.have.property('responses control.read')
    controller.abort()
    await runPendingTasks()
    await monitor
  })

  // Guards against a loss of leadership whose logs cannot tell a large request from a silent peer.
  it('reports requests to a replica that take long or fail, at most one for each interval', async () => {
    const metrics = createMetrics()
    const monitor = createReplicationMonitor(member, { clock, logger, metrics })
    const request = { sentAt: 0, entries: [], snapshotBytes: 70_000 }
    await clock.advance(100)
    monitor.record(request, undefined)
    expect(written).to.deep.equal([])
    await clock.advance(300)
    monitor.record(request, undefined)
    monitor.record(request, undefined)
    expect(valuesOf(LogEvents.replicationDelayed)).to.deep.equal([400])
    expect(written[0]?.fields.inputs?.['bytes']).to.be.at.least(70_000)
    await clock.advance(1_000)
    const failure = createFailure(FailureReason.Timeout, { step: Step.Append, peer: member.address }, 'no answer')
    monitor.record({ ...request, sentAt: clock.now() - 10 }, failure)
    expect(valuesOf(LogEvents.replicationDelayed)).to.deep.equal([400, 10])
    expect(metrics.read(Counter.ReplicationFailures, FailureReason.Timeout)).to.equal(1)
  })
})
