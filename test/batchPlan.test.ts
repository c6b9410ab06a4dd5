import { expect } from 'chai'
import { type PlannedServer, planBatch, type Resumption } from '../src/request/placement/batchPlan.ts'

function serverOf (id: string, softwareVersion: string | undefined, overrides: Partial<PlannedServer> = {}): PlannedServer {
  return { id, slots: 4, live: 0, items: [], canStartItems: true, maxStarts: Infinity, softwareVersion, ...overrides }
}

function startsOf (servers: readonly PlannedServer[], waiting: readonly string[], resumptions: Readonly<Record<string, Resumption>>): string[] {
  return planBatch(servers, waiting, new Map(Object.entries(resumptions))).starts.map(({ server, item }) => `${item} at ${server}`)
}

const waits: Resumption = { softwareVersion: 'v1', canWait: true }
const waited: Resumption = { softwareVersion: 'v1', canWait: false }
const full = { live: 4 }

describe('batch plan with several software versions', () => {
  // Guards against progress that is dropped although a server of its version has room.
  it('places an item with saved events on a server of their version, the one with the most free slots', () => {
    const servers = [serverOf('a', 'v2'), serverOf('b', 'v1', { live: 3 }), serverOf('c', 'v1', { live: 2 }), serverOf('d', undefined)]
    expect(startsOf(servers, ['r', 's', 't', 'n'], { r: waits, s: waited, t: waits })).to.deep.equal(['r at c', 's at b', 't at c', 'n at a'])
  })

  // Guards against an item that waits for a version that no server has any more.
  it('places it on any server if none of its version is ready', () => {
    expect(startsOf([serverOf('a', 'v2', { live: 3 }), serverOf('b', undefined)], ['r'], { r: waits })).to.deep.equal(['r at b'])
  })

  // Guards against an item that holds up the items behind it, and against one that is left lying.
  it('lets it wait for a free slot of its version for a limited time, and starts the items behind it', () => {
    const servers = [serverOf('a', 'v2', { live: 2 }), serverOf('b', 'v1', full)]
    expect(startsOf(servers, ['r', 'n'], { r: waits })).to.deep.equal(['n at a'])
    expect(startsOf(servers, ['r', 'n'], { r: waited })).to.deep.equal(['r at a', 'n at a'])
  })

  // Guards against progress that is dropped since its server gets no item for some hundred milliseconds after an interruption.
  it('lets it wait for a server of its version that gets no items for a while', () => {
    const servers = [serverOf('a', 'v2'), serverOf('b', 'v1', { canStartItems: false })]
    expect(startsOf(servers, ['r'], { r: waits })).to.deep.equal([])
    expect(startsOf(servers, ['r'], { r: waited })).to.deep.equal(['r at a'])
  })

  // Guards against more starts than slots where items of a version and others share servers.
  it('never starts more items on a server than it has free slots', () => {
    const servers = [serverOf('a', 'v1', { live: 2 }), serverOf('b', 'v2', { maxStarts: 1 })]
    expect(startsOf(servers, ['n', 'r', 's', 'm', 'o'], { r: waits, s: waits })).to.deep.equal(['n at a', 'r at a', 'm at b'])
  })
})
