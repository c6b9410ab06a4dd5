import { expect } from 'chai'
import { createBackendServerRegistry, type Heartbeat, ServerPhase } from '../src/process/fleet/backendServerRegistry.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { findHeartbeatProblem, type HeartbeatContext } from '../src/process/fleet/heartbeatValidation.ts'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { createLeavingServers, maxLeavingServers } from '../src/process/fleet/leavingServers.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { planBatch, orderByUrgency } from '../src/request/placement/batchPlan.ts'
import { createEventSplitter } from '../src/request/eventStream.ts'
import { chooseServer } from '../src/request/placement/serverChoice.ts'
import { chooseGateways } from '../src/request/gatewayChoice.ts'
import { chooseTarget, createRouteIndex, matchRoute, validateGatewayTables } from '../src/version/gatewayTables.ts'
import type { FleetHost } from '../src/process/fleet/fleetMessages.ts'
import { fleetUpdateOf, recordOf, routeOf, tablesOf } from './support/fakeFleet.ts'

const heartbeatTimeoutMs = 1_000

function heartbeatOf (overrides: Partial<Heartbeat> = {}): Heartbeat {
  return { id: 'i-1', service: 's', address: '10.0.0.1:80', availabilityZone: 'z1', slots: 8, leaving: false, startedAt: 100, sequence: 1, ...overrides }
}

describe('backend server registry', () => {
  // Guards against a leaving server that a late heartbeat makes ready again.
  it('ignores a heartbeat with an older sequence number', () => {
    const registry = createBackendServerRegistry(() => heartbeatTimeoutMs)
    registry.receive(heartbeatOf({ sequence: 5, leaving: true }), 0)
    expect(registry.receive(heartbeatOf({ sequence: 4 }), 1)).to.equal(false)
    expect(registry.find('i-1')?.phase).to.equal(ServerPhase.Leaving)
  })

  // Failure: a heartbeat delayed by a partition listed a crashed server again at an address that another server now has.
  it('assigns an address to the server that started last', () => {
    const registry = createBackendServerRegistry(() => heartbeatTimeoutMs)
    registry.receive(heartbeatOf({ id: 'old', startedAt: 100 }), 0)
    registry.receive(heartbeatOf({ id: 'new', startedAt: 200 }), 1)
    expect(registry.receive(heartbeatOf({ id: 'old', startedAt: 100, sequence: 9 }), 2)).to.equal(false)
    expect(registry.find('old')?.phase).to.equal(ServerPhase.Gone)
    expect(registry.find('new')?.phase).to.equal(ServerPhase.Ready)
  })

  // Guards against a withdrawn server that a late heartbeat makes ready again, and against one that can't return after a restart.
  it('keeps a withdrawn server leaving until it restarts', () => {
    const registry = createBackendServerRegistry(() => heartbeatTimeoutMs)
    registry.receive(heartbeatOf(), 0)
    registry.withdraw(registry.find('i-1') ?? expect.fail('no record'), 1)
    expect(registry.receive(heartbeatOf({ sequence: 50 }), 2)).to.equal(false)
    expect(registry.find('i-1')?.phase).to.equal(ServerPhase.Leaving)
    expect(registry.receive(heartbeatOf({ startedAt: 300, sequence: 1 }), 3)).to.equal(true)
    expect(registry.find('i-1')?.phase).to.equal(ServerPhase.Ready)
  })

  // Failure: a heartbeat of another writer with the id of a server and another address or service replaced the record of the server,
  // whose own heartbeats then looked old.
  it('ignores a heartbeat with another address or service until the server restarts or is gone', () => {
    const registry = createBackendServerRegistry(() => heartbeatTimeoutMs)
    registry.receive(heartbeatOf(), 0)
    expect(registry.receive(heartbeatOf({ sequence: 9_000, address: '10.0.0.2:80' }), 1)).to.equal(false)
    expect(registry.receive(heartbeatOf({ sequence: 9_000, service: 'other' }), 1)).to.equal(false)
    expect(registry.find('i-1')).to.include({ address: '10.0.0.1:80', service: 's', sequence: 1 })
    expect(registry.receive(heartbeatOf({ sequence: 2, slots: 9 }), 2)).to.equal(true)
    expect(registry.receive(heartbeatOf({ startedAt: 300, address: '10.0.0.2:80', service: 'other' }), 3)).to.equal(true)
    registry.expire(2_000)
    expect(registry.receive(heartbeatOf({ startedAt: 300, sequence: 2, address: '10.0.0.3:80' }), 2_001)).to.equal(true)
  })

  // Guards against an update to every host for each heartbeat.
  it('lists changed records only, and none for a heartbeat that changes nothing', () => {
    const registry = createBackendServerRegistry(() => heartbeatTimeoutMs)
    registry.receive(heartbeatOf(), 0)
    const { revision } = registry
    registry.receive(heartbeatOf({ sequence: 2 }), 500)
    expect(registry.listChangesSince(revision)).to.deep.equal([])
    expect(registry.expire(1_400)).to.deep.equal([])
    expect(registry.expire(1_501).map(record => record.id)).to.deep.equal(['i-1'])
    expect(registry.listChangesSince(revision).map(record => record.phase)).to.deep.equal([ServerPhase.Gone])
  })
})

describe('leaving servers of a host', () => {
  // Guards against memory that grows with each server that ever left, and against forgetting one that may still run.
  it('are remembered until many others have left after them', () => {
    const leavingServers = createLeavingServers(createSystemClock(), createSilentLogger())
    for (let count = 0; count <= maxLeavingServers; count++) leavingServers.record({ id: `i-${count}`, startedAt: 1 }, true)
    expect(leavingServers.has({ id: 'i-0', startedAt: 1 })).to.equal(false)
    expect(leavingServers.has({ id: 'i-1', startedAt: 1 })).to.equal(true)
    expect(leavingServers.has({ id: 'i-1', startedAt: 2 })).to.equal(false)
  })
})

describe('heartbeat validation', () => {
  const wallTime = 1_800_000_000_000
  const context: HeartbeatContext = { wallTime, services: [{ name: 's', slots: 8 }], servers: [recordOf('i-1', { address: '10.0.0.1:80' })] }
  const minuteMs = 60_000

  // Guards against the rejection of servers that don't report their start, have run for long, or have a clock that is slightly ahead.
  it('accepts heartbeats of servers', () => {
    const accepted: Array<Partial<Heartbeat>> = [
      {}, { startedAt: 0, sequence: 0 }, { startedAt: wallTime - 1_000 * minuteMs, sequence: 5_000_000 }, { startedAt: wallTime + minuteMs, sequence: 1 }, { slots: 0 }, { slots: 4_096 },
      { id: 'i-2', service: 'new', address: '10.0.0.2:80' }
    ]
    for (const fields of accepted) expect(findHeartbeatProblem(heartbeatOf(fields), context), JSON.stringify(fields)).to.equal(undefined)
    expect(findHeartbeatProblem(heartbeatOf({ service: 'new' }), { ...context, services: undefined })).to.equal(undefined)
  })

  // Failure: such a heartbeat with the id of a server was taken as its latest one, so that the true ones after it looked old.
  it('rejects numbers that no server reports', () => {
    const rejected: Array<Partial<Heartbeat>> = [
      { sequence: 1e308 }, { sequence: Infinity }, { sequence: NaN }, { sequence: 1.5 }, { sequence: -1 }, { sequence: 2 ** 53 }, { sequence: 9_000_000_000_000 },
      { startedAt: wallTime - minuteMs, sequence: 100 * minuteMs }, { startedAt: wallTime + 100 * minuteMs }, { startedAt: 9e15 }, { startedAt: -1 }, { slots: 1e9 }, { slots: 2 ** 53 - 1 }
    ]
    for (const fields of rejected) expect(findHeartbeatProblem(heartbeatOf(fields), context), JSON.stringify(fields)).to.be.a('string')
  })

  // Guards against ids that no request to the server can carry, and names that fill the memory of every host.
  it('rejects ids that can\'t be sent in a header, and names that are too long', () => {
    for (const id of ['', ' ', 'a\nb', '\u0000', '\ud83d\ude00', 'x'.repeat(5_000)]) expect(findHeartbeatProblem(heartbeatOf({ id }), context), JSON.stringify(id)).to.be.a('string')
    for (const fields of [{ service: 's'.repeat(5_000) }, { availabilityZone: 'z'.repeat(5_000) }]) expect(findHeartbeatProblem(heartbeatOf(fields), context)).to.be.a('string')
  })

  // Failure: a heartbeat of a service without a route replaced the record of a server with the same id or address.
  it('rejects a heartbeat of an unknown service that has the id or the address of a server', () => {
    const sameId = heartbeatOf({ service: 'nobody', address: '10.0.0.2:80', sequence: 50 })
    const sameAddress = heartbeatOf({ id: 'i-2', service: 'nobody', startedAt: 500 })
    for (const heartbeat of [sameId, sameAddress]) {
      expect(findHeartbeatProblem(heartbeat, context)).to.be.a('string')
      expect(findHeartbeatProblem(heartbeat, { ...context, servers: [recordOf('i-1', { address: '10.0.0.1:80', phase: ServerPhase.Gone })] })).to.equal(undefined)
    }
  })
})

describe('fleet view of a host', () => {
  const createView = () => createFleetView(createSystemClock(), createSilentLogger(), () => [])

  // Failure: an update of a new leader that had not received a server's heartbeat yet removed the server at the gateways.
  it('keeps its servers until the update of a new leader is complete', () => {
    const fleet = createView()
    fleet.applyUpdate(fleetUpdateOf())
    fleet.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [], isComplete: false }))
    expect(fleet.listReadyServers('s')).to.have.length(3)
    fleet.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-2')], isComplete: true }))
    expect(fleet.listReadyServers('s').map(record => record.id)).to.deep.equal(['i-2'])
  })

  // Failure: after a server had been removed with a high sequence number, the same leader listed it as ready again, and the host
  // ignored that until the next leader.
  it('takes over a server that a leader which knows all servers lists as ready again', () => {
    const view = createView()
    view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1', { phase: ServerPhase.Gone, sequence: 50_000 })] }))
    view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [recordOf('i-1', { sequence: 10, revision: 2 })] }))
    expect(view.listReadyServers('s').map(server => server.id)).to.deep.equal(['i-1'])
  })

  // Failure: a new leader that had only an older heartbeat of a leaving server made it ready again.
  it('keeps a server leaving when a new leader sends an older record of it', () => {
    const fleet = createView()
    fleet.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1', { phase: ServerPhase.Leaving, sequence: 9 })] }))
    fleet.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-1', { sequence: 8 })], isComplete: false }))
    expect(fleet.listReadyServers('s')).to.deep.equal([])
  })

  // Failure (trial T9): a new leader with an older record turned a ready server back to its earlier start and version, and a stream of that
  // version went on at it.
  it('keeps the later start of a server when a new leader sends the record of an earlier one', () => {
    for (const phase of [ServerPhase.Ready, ServerPhase.Gone]) {
      const view = createView()
      view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1', { startedAt: 2, softwareVersion: 'v2' })] }))
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-1', { phase })], isComplete: false }))
      expect(view.findServer('i-1')).to.include({ startedAt: 2, softwareVersion: 'v2', phase: ServerPhase.Ready })
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 2, servers: [recordOf('i-1', { startedAt: 2, sequence: 2, softwareVersion: 'v2' })] }))
      expect(view.findServer('i-1')).to.include({ startedAt: 2, sequence: 2, phase: ServerPhase.Ready })
    }
  })

  // Guards against a server that has stopped and stays listed, since the leader knows only its earlier start.
  it('removes a server when the complete list of a new leader has only an earlier start of it', () => {
    const view = createView()
    view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1', { startedAt: 2, softwareVersion: 'v2' })] }))
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-1')], isComplete: false }))
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 2, servers: [] }))
    expect(view.findServer('i-1')).to.equal(undefined)
  })

  // Failure it guards against: a new leader whose record is from a host of an earlier version removed the known software version of a server.
  it('keeps the software version of a start when a new leader names none', () => {
    const view = createView()
    view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1')] }))
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-1', { sequence: 2, softwareVersion: undefined })], isComplete: false }))
    expect(view.findServer('i-1')).to.include({ sequence: 2, softwareVersion: 'v1' })
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 2, servers: [recordOf('i-1', { startedAt: 2, softwareVersion: undefined })], isComplete: false }))
    expect(view.findServer('i-1')).to.include({ startedAt: 2, softwareVersion: undefined })
  })

  // Guards against a server without a reported start that returns to the version of an older heartbeat.
  it('keeps a newer heartbeat of a ready server, and takes over that it is gone', () => {
    const view = createView()
    view.applyUpdate(fleetUpdateOf({ servers: [recordOf('i-1', { startedAt: 0, sequence: 9, softwareVersion: 'v2' })] }))
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', servers: [recordOf('i-1', { startedAt: 0, sequence: 8 })], isComplete: false }))
    expect(view.findServer('i-1')).to.include({ sequence: 9, softwareVersion: 'v2' })
    view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', serversRevision: 2, servers: [recordOf('i-1', { startedAt: 0, sequence: 8, phase: ServerPhase.Gone })], isComplete: false }))
    expect(view.findServer('i-1')?.phase).to.equal(ServerPhase.Gone)
  })

  // Guards against a new leader with older tables replacing newer ones at a host.
  it('never returns to an older version of the tables', () => {
    const fleet = createView()
    fleet.applyUpdate(fleetUpdateOf({ tables: tablesOf(5, []) }))
    fleet.applyUpdate(fleetUpdateOf({ leadership: 'b/2', tables: tablesOf(4, []) }))
    expect(fleet.tables?.version).to.equal(5)
  })
})

describe('gateway routing', () => {
  // Guards against a shorter prefix or the query determining the route, and against comparing host names by case.
  it('matches the route of a host with the longest path prefix', () => {
    const index = createRouteIndex(tablesOf(1, [routeOf({ name: 'short' }), routeOf({ name: 'long', pathPrefix: '/p/q/' })]))
    expect(matchRoute(index, 'A.example', '/p/q/1')?.name).to.equal('long')
    expect(matchRoute(index, 'a.example', '/p/1?x=/p/q/')?.name).to.equal('short')
    expect(matchRoute(index, 'a.example', '/p')).to.equal(undefined)
    expect(matchRoute(index, 'b.example', '/p/1')).to.equal(undefined)
  })

  // Guards against a comparison with each route of a host: a plan of batch items matches every waiting item, on tables with over
  // a thousand routes.
  it('matches a path with a number of comparisons that does not depend on the number of routes', () => {
    const routes = Array.from({ length: 1_300 }, (_, number) => routeOf({ name: `r-${number}`, pathPrefix: `/${String(number).padStart(4, '0')}/` }))
    const index = createRouteIndex(tablesOf(1, [...routes, routeOf({ name: 'all', pathPrefix: '/' })]))
    let comparisons = 0
    class CountedPath extends String {
      override slice (...range: [number, number]): string {
        comparisons++
        return super.slice(...range)
      }

      override startsWith (prefix: string): boolean {
        comparisons++
        return super.startsWith(prefix)
      }
    }
    const match = (path: string): string | undefined => matchRoute(index, 'a.example', new CountedPath(path) as string)?.name
    expect([match('/0000/x'), match('/1299/x'), match('/1300/x'), match('/x')]).to.deep.equal(['r-0', 'r-1299', 'all', 'all'])
    expect(comparisons).to.be.at.most(8)
  })

  // Guards against tables that name unknown services, route one path twice, or leave a route without target or timeout.
  it('reports each kind of invalid table', () => {
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

  // Guards against requests to a service that has been drained by a weight of 0.
  it('splits requests by weight, and sends none to a weight of 0', () => {
    const route = routeOf({ targets: [{ service: 'a', weight: 1 }, { service: 'b', weight: 0 }, { service: 'c', weight: 3 }] })
    expect([0, 0.24, 0.26, 0.99].map(draw => chooseTarget(route, draw))).to.deep.equal(['a', 'a', 'c', 'c'])
  })

  // Guards against requests to a distant, loaded, suspected or failing server while a better one is ready.
  it('chooses the least loaded server, the nearest among equals, and a suspect only as the last resort', () => {
    const near = { server: recordOf('near'), load: 4, live: 4, isSuspect: false, isLimited: false, failureRate: 0, isSameZone: true, isSameRegion: true }
    const far = { ...near, server: recordOf('far'), isSameZone: false, isSameRegion: false }
    const choose = (...candidates: ReadonlyArray<typeof near>) => chooseServer(candidates, new Set(), () => 0.5)?.id
    expect(choose(near, far)).to.equal('near')
    expect(choose({ ...near, load: 7 }, far)).to.equal('far')
    expect(choose({ ...near, isSuspect: true }, { ...far, load: 9 })).to.equal('far')
    expect(choose({ ...near, isSuspect: true })).to.equal('near')
    // Failure: a server that fails part of its runs quickly has the lowest load, and so received the most requests.
    expect(choose({ ...near, load: 0, failureRate: 0.4 }, far)).to.equal('far')
    expect(choose({ ...near, load: 0, failureRate: 0.05 }, far)).to.equal('near')
    expect(chooseServer([near], new Set(['near']), () => 0.5)).to.equal(undefined)
  })

  // Guards against callers that receive too few gateways to fail over to, or one that is not ready.
  it('lists the ready gateways of the caller\'s availability zone, and all ready ones where there are too few', () => {
    const hosts: FleetHost[] = [['a', 'z1', true], ['b', 'z1', true], ['c', 'z2', true], ['d', 'z2', false]].map(([name, zone, ready]) => ({
      name: String(name), holder: String(name), role: 'gateway', availabilityZone: String(zone), region: 'r', callerAddress: `${String(name)}:1`, ready: ready === true
    }))
    expect(chooseGateways(hosts, 'z1', 'r')).to.deep.equal(['a:1', 'b:1'])
    expect(chooseGateways(hosts, 'z2', 'r')).to.deep.equal(['a:1', 'b:1', 'c:1'])
    expect(chooseGateways([], 'z1', 'r')).to.deep.equal([])
  })
})

describe('batch plan', () => {
  const server = { id: 'x', slots: 4, live: 0, items: [] as string[], canStartItems: true, maxStarts: Infinity }

  // Guards against batch items that take the slots of live requests, or accumulate on one server.
  it('fills the slots that live work leaves, starting with the server that has the most free slots', () => {
    const plan = planBatch([{ ...server, live: 2 }, { ...server, id: 'y', live: 1 }], ['a', 'b', 'c', 'd', 'e', 'f'])
    expect(plan.starts.map(start => start.server).sort()).to.deep.equal(['x', 'x', 'y', 'y', 'y'])
    expect(plan.interruptions).to.deep.equal([])
  })

  // Guards against live requests that wait for batch items, and against interrupting urgent items first.
  it('interrupts the least urgent items when live work needs their slots', () => {
    expect(planBatch([{ ...server, live: 3, items: ['first', 'second', 'third'] }], ['new'])).to.deep.equal({ starts: [], interruptions: ['second', 'third'] })
    expect(planBatch([{ ...server, live: 9, items: ['first'] }], []).interruptions).to.deep.equal(['first'])
  })

  // Failure: under overload, items that were already too late ran first and made every later job late too.
  it('orders items that can still meet their due time before those that can\'t', () => {
    const order = orderByUrgency([
      { key: 'late', dueInMs: 1_000, remainingMs: 4_000 },
      { key: 'next', dueInMs: 9_000, remainingMs: 4_000 },
      { key: 'soon', dueInMs: 5_000, remainingMs: 4_000 }
    ])
    expect(order.map(item => item.key)).to.deep.equal(['soon', 'next', 'late'])
  })
})

describe('event splitter', () => {
  // Guards against events that are lost, joined or cut where a chunk ends.
  it('returns complete events however the stream is divided into chunks', () => {
    const text = 'id: 0\ndata: a\n\nx-weight-versions: 2\nid: 1\ndata: b\ndata: c\n\nid: 2'
    const splitter = createEventSplitter()
    const events = [...text].flatMap(character => splitter.push(Buffer.from(character)))
    expect(events.map(({ id, data }) => [id, data])).to.deep.equal([[0, 'a'], [1, 'b\nc']])
    expect(Buffer.concat(events.map(event => event.bytes)).toString() + 'id: 2').to.equal(text)
    expect(splitter.pendingBytes).to.equal(5)
  })
})
