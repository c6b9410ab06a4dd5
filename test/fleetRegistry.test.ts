import { expect } from 'chai'
import { createBackendServerRegistry, type Heartbeat, ServerPhase } from '../src/process/fleet/backendServerRegistry.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { planBatch, orderByUrgency } from '../src/request/batchPlan.ts'
import { createEventSplitter } from '../src/request/eventStream.ts'
import { chooseServer } from '../src/request/serverChoice.ts'
import { chooseGateways } from '../src/request/gatewayChoice.ts'
import { chooseTarget, createRouteIndex, matchRoute, validateGatewayTables } from '../src/version/gatewayTables.ts'
import type { FleetHost } from '../src/process/fleet/fleetMessages.ts'
import { newsOf, recordOf, routeOf, tablesOf } from './support/fakeFleet.ts'

const silenceMs = 1_000

function beat (given: Partial<Heartbeat> = {}): Heartbeat {
  return { id: 'i-1', service: 's', address: '10.0.0.1:80', availabilityZone: 'z1', slots: 8, leaving: false, startedAt: 100, sequence: 1, ...given }
}

describe('the registry of backend servers', () => {
  it('ignores a heartbeat that is late', () => {
    const registry = createBackendServerRegistry(() => silenceMs)
    registry.receive(beat({ sequence: 5, leaving: true }), 0)
    expect(registry.receive(beat({ sequence: 4 }), 1)).to.equal(false)
    expect(registry.find('i-1')?.phase).to.equal(ServerPhase.Leaving)
  })

  // Failure: a heartbeat held up by a partition put a crashed server back at an address that another one has by now.
  it('gives an address to the server that started last', () => {
    const registry = createBackendServerRegistry(() => silenceMs)
    registry.receive(beat({ id: 'old', startedAt: 100 }), 0)
    registry.receive(beat({ id: 'new', startedAt: 200 }), 1)
    expect(registry.receive(beat({ id: 'old', startedAt: 100, sequence: 9 }), 2)).to.equal(false)
    expect(registry.find('old')?.phase).to.equal(ServerPhase.Gone)
    expect(registry.find('new')?.phase).to.equal(ServerPhase.Ready)
  })

  it('does not bring a server back that has withdrawn, unless it starts again', () => {
    const registry = createBackendServerRegistry(() => silenceMs)
    registry.receive(beat(), 0)
    registry.withdraw('i-1', 1)
    expect(registry.receive(beat({ sequence: 50 }), 2)).to.equal(false)
    expect(registry.find('i-1')?.phase).to.equal(ServerPhase.Leaving)
    expect(registry.receive(beat({ startedAt: 300, sequence: 1 }), 3)).to.equal(true)
    expect(registry.find('i-1')?.phase).to.equal(ServerPhase.Ready)
  })

  it('tells only what changed, and no plain renewal', () => {
    const registry = createBackendServerRegistry(() => silenceMs)
    registry.receive(beat(), 0)
    const { revision } = registry
    registry.receive(beat({ sequence: 2 }), 500)
    expect(registry.listChangesSince(revision)).to.deep.equal([])
    expect(registry.expire(1_400)).to.deep.equal([])
    expect(registry.expire(1_501).map(record => record.id)).to.deep.equal(['i-1'])
    expect(registry.listChangesSince(revision).map(record => record.phase)).to.deep.equal([ServerPhase.Gone])
  })
})

describe('what a host knows of the fleet', () => {
  const view = () => createFleetView(createSystemClock(), createSilentLogger(), () => [])

  // Failure: a new leader that had not heard from a server yet made the gateways forget it.
  it('keeps servers until a new leader has heard from everyone', () => {
    const fleet = view()
    fleet.applyUpdate(newsOf())
    fleet.applyUpdate(newsOf({ leadership: 'b/2', servers: [], isComplete: false }))
    expect(fleet.listReadyServers('s')).to.have.length(3)
    fleet.applyUpdate(newsOf({ leadership: 'b/2', servers: [recordOf('i-2')], isComplete: true }))
    expect(fleet.listReadyServers('s').map(record => record.id)).to.deep.equal(['i-2'])
  })

  // Failure: a new leader that was told of a server only by an older heartbeat made a leaving server ready again.
  it('does not take a leaving server for ready by an older word of a new leader', () => {
    const fleet = view()
    fleet.applyUpdate(newsOf({ servers: [recordOf('i-1', { phase: ServerPhase.Leaving, sequence: 9 })] }))
    fleet.applyUpdate(newsOf({ leadership: 'b/2', servers: [recordOf('i-1', { sequence: 8 })], isComplete: false }))
    expect(fleet.listReadyServers('s')).to.deep.equal([])
  })

  it('never goes back to an older version of the tables', () => {
    const fleet = view()
    fleet.applyUpdate(newsOf({ tables: tablesOf(5, []) }))
    fleet.applyUpdate(newsOf({ leadership: 'b/2', tables: tablesOf(4, []) }))
    expect(fleet.tables?.version).to.equal(5)
  })
})

describe('decisions of the gateway', () => {
  it('finds the route with the longest path of a host', () => {
    const index = createRouteIndex(tablesOf(1, [routeOf({ name: 'short' }), routeOf({ name: 'long', pathPrefix: '/p/q/' })]))
    expect(matchRoute(index, 'A.example', '/p/q/1')?.name).to.equal('long')
    expect(matchRoute(index, 'a.example', '/p/1?x=/p/q/')?.name).to.equal('short')
    expect(matchRoute(index, 'a.example', '/p')).to.equal(undefined)
    expect(matchRoute(index, 'b.example', '/p/1')).to.equal(undefined)
  })

  it('finds each thing that makes tables invalid', () => {
    const invalid = [
      [routeOf({ targets: [{ service: 'unknown', weight: 1 }] })],
      [routeOf(), routeOf({ name: 'again' })],
      [routeOf({ targets: [{ service: 's', weight: 0 }] })],
      [routeOf({ targets: [] })],
      [routeOf({ timeoutMs: 0 })]
    ]
    for (const routes of invalid) expect(validateGatewayTables(tablesOf(1, routes))).to.have.length(1)
    expect(validateGatewayTables(tablesOf(1, [routeOf()]))).to.deep.equal([])
  })

  it('divides requests by weight and gives nothing to a weight of 0', () => {
    const route = routeOf({ targets: [{ service: 'a', weight: 1 }, { service: 'b', weight: 0 }, { service: 'c', weight: 3 }] })
    expect([0, 0.24, 0.26, 0.99].map(draw => chooseTarget(route, draw))).to.deep.equal(['a', 'a', 'c', 'c'])
  })

  it('chooses the server with the lowest load, the near one among equals, and a suspect last', () => {
    const near = { server: recordOf('near'), load: 4, isSuspect: false, failureRate: 0, isSameZone: true, isSameRegion: true }
    const far = { ...near, server: recordOf('far'), isSameZone: false, isSameRegion: false }
    const choose = (...candidates: ReadonlyArray<typeof near>) => chooseServer(candidates, new Set(), () => 0.5)?.id
    expect(choose(near, far)).to.equal('near')
    expect(choose({ ...near, load: 7 }, far)).to.equal('far')
    expect(choose({ ...near, isSuspect: true }, { ...far, load: 9 })).to.equal('far')
    expect(choose({ ...near, isSuspect: true })).to.equal('near')
    // Failure: a server that fails part of its runs quickly looks idle and drew the most requests.
    expect(choose({ ...near, load: 0, failureRate: 0.4 }, far)).to.equal('far')
    expect(choose({ ...near, load: 0, failureRate: 0.05 }, far)).to.equal('near')
    expect(chooseServer([near], new Set(['near']), () => 0.5)).to.equal(undefined)
  })

  it('tells a caller the ready gateways near it, and all where there are too few', () => {
    const hosts: FleetHost[] = [['a', 'z1', true], ['b', 'z1', true], ['c', 'z2', true], ['d', 'z2', false]].map(([name, zone, ready]) => ({
      name: String(name), holder: String(name), role: 'gateway', availabilityZone: String(zone), region: 'r', callerAddress: `${String(name)}:1`, ready: ready === true
    }))
    expect(chooseGateways(hosts, 'z1', 'r')).to.deep.equal(['a:1', 'b:1'])
    expect(chooseGateways(hosts, 'z2', 'r')).to.deep.equal(['a:1', 'b:1', 'c:1'])
    expect(chooseGateways([], 'z1', 'r')).to.deep.equal([])
  })
})

describe('the plan for batch items', () => {
  const server = { id: 'x', slots: 4, live: 0, items: [] as string[], canStartItems: true }

  it('fills the slots that live work leaves, the freest server first', () => {
    const plan = planBatch([{ ...server, live: 2 }, { ...server, id: 'y', live: 1 }], ['a', 'b', 'c', 'd', 'e', 'f'])
    expect(plan.starts.map(start => start.server).sort()).to.deep.equal(['x', 'x', 'y', 'y', 'y'])
    expect(plan.interruptions).to.deep.equal([])
  })

  it('interrupts the least urgent items when live work needs their slots', () => {
    expect(planBatch([{ ...server, live: 3, items: ['first', 'second', 'third'] }], ['new'])).to.deep.equal({ starts: [], interruptions: ['second', 'third'] })
    expect(planBatch([{ ...server, live: 9, items: ['first'] }], []).interruptions).to.deep.equal(['first'])
  })

  // Failure: under overload items that were late anyway went first, and every later job became late too.
  it('puts items that can be on time before those that can not', () => {
    const order = orderByUrgency([
      { key: 'late', dueInMs: 1_000, remainingMs: 4_000 },
      { key: 'next', dueInMs: 9_000, remainingMs: 4_000 },
      { key: 'soon', dueInMs: 5_000, remainingMs: 4_000 }
    ])
    expect(order.map(item => item.key)).to.deep.equal(['soon', 'next', 'late'])
  })
})

describe('the splitter of events', () => {
  it('finds whole events in whatever pieces they arrive', () => {
    const text = 'id: 0\ndata: a\n\nx-weight-versions: 2\nid: 1\ndata: b\ndata: c\n\nid: 2'
    const splitter = createEventSplitter()
    const events = [...text].flatMap(character => splitter.push(Buffer.from(character)))
    expect(events.map(({ id, data }) => [id, data])).to.deep.equal([[0, 'a'], [1, 'b\nc']])
    expect(Buffer.concat(events.map(event => event.bytes)).toString() + 'id: 2').to.equal(text)
    expect(splitter.pendingBytes).to.equal(5)
  })
})
