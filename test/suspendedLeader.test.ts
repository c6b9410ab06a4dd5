import { expect } from 'chai'
import { createCondition } from '../src/process/program/condition.ts'
import { createControlState } from '../src/process/state/controlState.ts'
import { createFleetLeader, type FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import type { FleetHost, FleetUpdate, FleetWatchRequest } from '../src/process/fleet/fleetMessages.ts'
import { sessionTimeoutMs } from '../src/process/fleet/hostSessions.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { type LogEvent, LogEvents } from '../src/process/program/logEvents.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { type Replica, ReplicaRole } from '../src/process/log/replica.ts'
import { FakeClock } from './support/fakeClock.ts'

const suspensionMs = sessionTimeoutMs + 500
const host: FleetHost = { name: 'g-1', holder: 'g-1', role: 'gateway', availabilityZone: 'z1', region: 'r1', callerAddress: 'g-1:1', ready: true }

describe('a leader that was suspended', () => {
  let lifecycle: Lifecycle
  let clock: FakeClock
  let fleet: FleetLeader
  let events: LogEvent[]

  beforeEach(() => {
    lifecycle = createLifecycle()
    clock = new FakeClock()
    events = []
    const state = { identity: 'a', address: '10.0.0.9:1', leaderAddress: undefined, members: [], changed: createCondition(clock), role: ReplicaRole.Leader, term: 1, commitIndex: 5, termStartIndex: 5 }
    fleet = createFleetLeader({
      replica: { state } as unknown as Replica,
      state: createControlState(),
      clock,
      logger: { write (event: LogEvent) { events.push(event) } },
      metrics: createMetrics(),
      lifecycle,
      knownServers: () => [],
      getRegion: () => undefined,
      heartbeatTimeoutMs: 5_000,
      settleMs: 0
    })
  })

  afterEach(async () => {
    const closed = lifecycle.close()
    await clock.advance(5_000, 100)
    await closed
  })

  async function poll (update?: FleetUpdate): Promise<FleetUpdate> {
    const request: FleetWatchRequest = { host, leadership: update?.leadership ?? '', tablesVersion: 0, serversRevision: update?.serversRevision ?? 0, hostsRevision: -1, isSettled: false }
    const response = fleet.watch(request)
    await clock.advance(50)
    return (await response)._unsafeUnwrap()
  }

  // Guards against a leader that takes its own suspension for the silence of all hosts: their polls wait in its sockets, which are read after
  // the timers have run.
  it('keeps the sessions of hosts whose polls arrived meanwhile', async () => {
    const update = await poll()
    clock.jump(suspensionMs)
    await clock.advance(10)
    await poll(update)
    await clock.advance(500)
    expect(events).to.include(LogEvents.hostJoined)
    expect(events).not.to.include(LogEvents.hostLost)
  })

  // Guards against sessions of lost hosts that are kept.
  it('ends the session of a host that has not polled by the next check', async () => {
    await poll()
    clock.jump(suspensionMs)
    await clock.advance(600)
    expect(events).to.include(LogEvents.hostLost)
  })
})
