import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'
import type { FleetClient } from '../src/connection/controlClient.ts'
import { runFleetWatch } from '../src/connection/fleetWatch.ts'
import type { FleetHost, FleetUpdate } from '../src/process/fleet/fleetMessages.ts'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { createFailure, type Failure, FailureReason, Step } from '../src/process/program/failure.ts'
import type { LogFields } from '../src/process/program/logger.ts'
import { type LogEvent, LogEvents } from '../src/process/program/logEvents.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { fleetUpdateOf } from './support/fakeFleet.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'

describe('polls of a host', () => {
  // Guards against a host that is without contact for seconds and whose log cannot tell timeouts from refusals.
  it('reports the time without contact and the failed polls by reason when the leader is reached again', async () => {
    const clock = new FakeClock()
    const metrics = createMetrics()
    const controller = new AbortController()
    const written: Array<{ event: LogEvent, fields: LogFields }> = []
    const logger = { write (event: LogEvent, fields: LogFields = {}) { written.push({ event, fields }) } }
    const fail = (reason: FailureReason): Result<FleetUpdate, Failure> => err(createFailure(reason, { step: Step.Watch }, 'no answer'))
    const results = [ok(fleetUpdateOf()), fail(FailureReason.Timeout), fail(FailureReason.NotLeader), fail(FailureReason.NotLeader), ok(fleetUpdateOf())]
    const client = {
      async watchFleet () {
        await clock.sleep(100)
        const result = results.shift()
        if (result !== undefined) return result
        controller.abort()
        return fail(FailureReason.Timeout)
      }
    } as unknown as FleetClient
    const host: FleetHost = { name: 'g-1', holder: 'g-1', role: 'gateway', availabilityZone: 'z1', region: 'r1', callerAddress: undefined, ready: true }
    const view = createFleetView(clock, logger, () => [])
    const watch = runFleetWatch({ view, client, describe: () => host, clock, random: createSeededRandom(1), logger, metrics }, controller.signal)
    await clock.advance(2_000)
    await runPendingTasks()
    await watch
    const reached = written.filter(line => line.event === LogEvents.leaderReached)
    expect(reached.map(line => line.fields.inputs)).to.deep.equal([{ timeout: 1, 'not leader': 2 }])
    expect(reached[0]?.fields.value).to.be.at.least(400)
    expect(written.filter(line => line.event === LogEvents.leaderUnreachable)).to.have.lengthOf(1)
    expect(['answered', 'timeout', 'not leader'].map(label => metrics.read(Counter.FleetPolls, label))).to.deep.equal([2, 1, 2])
  })
})
