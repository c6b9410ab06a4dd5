import { expect } from 'chai'
import type { FleetHost } from '../src/process/fleet/fleetMessages.ts'
import { createHostSessions } from '../src/process/fleet/hostSessions.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { runProcessMonitor } from '../src/process/program/processMonitor.ts'
import { chooseGateways } from '../src/request/gatewayChoice.ts'
import { createHostOverload } from '../src/request/placement/hostOverload.ts'
import { FakeClock } from './support/fakeClock.ts'

function hostOf (name: string, isOverloaded?: true): FleetHost {
  return { name, holder: name, role: 'gateway', availabilityZone: 'z1', region: 'r', callerAddress: `${name}:1`, ready: true, isOverloaded }
}

function choose (...hosts: FleetHost[]): string[] {
  return chooseGateways(hosts, 'z1', 'r')
}

describe('overloaded gateways', () => {
  // Failure: a third of the callers were sent to gateways with a third of the processor of the others, where each request waited.
  it('are left out of what callers are told while at least half of the gateways, and two, have room', () => {
    expect(choose(hostOf('a'), hostOf('b', true), hostOf('c'), hostOf('d'))).to.deep.equal(['a:1', 'c:1', 'd:1'])
    expect(choose(hostOf('a'), hostOf('b', true)), 'no second one to fail over to').to.deep.equal(['a:1', 'b:1'])
    expect(choose(hostOf('a'), hostOf('b'), hostOf('c', true), hostOf('d', true), hostOf('e', true)), 'the others could not take their load').to.have.length(5)
    expect(choose(hostOf('a', true), hostOf('b', true), hostOf('c', true)), 'all are alike').to.have.length(3)
  })

  // Guards against a gateway that is listed and left out by turns, and against one that is left out for a wave of traffic.
  it('are those that are busy for seconds, until they have been relieved for seconds', () => {
    const load = createHostOverload()
    const run = (busyShare: number, ms: number): boolean => {
      for (let elapsed = 0; elapsed < ms; elapsed += 200) load.record(busyShare, 200)
      return load.isOverloaded
    }
    expect(run(1, 3_000), 'a wave').to.equal(false)
    expect(run(0.2, 3_000)).to.equal(false)
    expect(run(1, 12_000)).to.equal(true)
    expect(run(0.6, 60_000), 'between both thresholds').to.equal(true)
    expect(run(0.1, 12_000)).to.equal(false)
    expect(run(0.6, 60_000)).to.equal(false)
    for (const odd of [NaN, Infinity, -1]) load.record(odd, odd)
    expect(run(1, 12_000)).to.equal(true)
  })

  it('reach the control hosts as a change of the hosts', () => {
    const sessions = createHostSessions()
    const renew = (host: FleetHost): number => {
      sessions.renew({ host, leadership: '', tablesVersion: 0, serversRevision: 0, hostsRevision: 0, isSettled: true }, 0, 0)
      return sessions.revision
    }
    const first = renew(hostOf('a'))
    expect(renew(hostOf('a'))).to.equal(first)
    expect(renew(hostOf('a', true))).to.be.above(first)
  })

  // A process that gets no processor time does not notice how long it was kept from running, except by its late timers.
  it('count as busy while their timers are late', async () => {
    const clock = new FakeClock()
    const controller = new AbortController()
    const measured: Array<readonly [number, number]> = []
    const monitor = runProcessMonitor({ clock, logger: createSilentLogger(), metrics: createMetrics() }, controller.signal, (...busy) => measured.push(busy))
    await clock.advance(200)
    clock.jump(1_800)
    await clock.advance(200)
    controller.abort()
    await clock.advance(400)
    await monitor
    const [share, durationMs] = measured.at(1) ?? expect.fail('not measured')
    expect(durationMs).to.be.at.least(1_800)
    expect(share).to.be.within(0.85, 1)
  })
})
