import { expect } from 'chai'
import { decodeServerLoad } from '../platform/serverLoad.ts'
import { createPaceSamples, decodePaceSample } from '../src/process/fleet/paceSamples.ts'
import { createRemoteLoads } from '../src/process/fleet/remoteLoads.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { chooseServer, type ServerCandidate } from '../src/request/placement/serverChoice.ts'
import { createServerPaces } from '../src/request/placement/serverPace.ts'
import { createStreamPace } from '../src/request/streamPace.ts'
import { FakeClock } from './support/fakeClock.ts'
import { recordOf } from './support/fakeFleet.ts'
import { Placement, replayLoad, replayMean } from './support/loadReplay.ts'

const seeds = [1, 2, 3, 4]

function candidateOf (id: string, load: number, pace?: number): ServerCandidate {
  return { server: recordOf(id), load, live: load, pace, isSuspect: false, isLimited: false, failureRate: 0, isSameZone: true, isSameRegion: true }
}

describe('reported load of a backend server', () => {
  // Guards against figures that a server can use to attract all requests or to break the arithmetic of the choice.
  it('reads the figures, and counts and ignores those that can be none', () => {
    const metrics = createMetrics()
    expect(decodeServerLoad('3,1,8,170', metrics)).to.deep.equal({ running: 3, waiting: 1, slots: 8, slowdown: 1.7 })
    expect(decodeServerLoad(' 3, 1, 8 ', metrics)).to.deep.equal({ running: 3, waiting: 1, slots: 8, slowdown: undefined })
    expect(decodeServerLoad('3,1,8,junk', metrics)?.slowdown).to.equal(undefined)
    for (const duration of ['0', '1', '999999999']) expect(decodeServerLoad(`3,1,8,${duration}`, metrics), duration).to.include({ running: 3, slowdown: undefined })
    for (const value of ['', '3', '3,1', '-1,0,8', 'NaN,0,8,100', '1e9,0,8', '99999999,0,8', 'x,y,z']) expect(decodeServerLoad(value, metrics), String(value)).to.equal(undefined)
    expect(decodeServerLoad(undefined, metrics)).to.equal(undefined)
    expect(metrics.read(Counter.ServerLoads, 'unreadable')).to.equal(8)
    expect(metrics.read(Counter.ServerLoads, 'implausible slowdown')).to.equal(3)
  })
})

describe('pace of backend servers', () => {
  // Failure: requests were spread evenly over servers of which some take more than twice as long as others.
  it('learns the lasting speed from streams, also where servers report only the slowdown against their own usual speed', () => {
    const paces = createServerPaces()
    for (let stream = 0; stream < 40; stream++) {
      for (const [id, eventMs] of [['fast', 20], ['usual', 30], ['slow', 55]] as const) paces.record(id, 's', { slowdown: 1, eventMs }, stream * 200)
    }
    expect(paces.get('fast', 8_000)).to.equal(0.6)
    expect(paces.get('usual', 8_000), 'a difference of less than a fifth').to.equal(1)
    expect(paces.get('slow', 8_000)).to.equal(1.6)
    expect([...paces.list(8_000).keys()]).to.deep.equal(['fast', 'slow'])
  })

  it('does not count a reported speed twice, and fades a spell but not the lasting speed', () => {
    const paces = createServerPaces()
    for (let stream = 0; stream < 60; stream++) {
      paces.record('fast', 's', { slowdown: 0.7, eventMs: 21 }, stream * 100)
      paces.record('slow', 's', { slowdown: 1.7, eventMs: 51 }, stream * 100)
    }
    expect(paces.get('slow', 6_000)).to.equal(1.7)
    for (let sample = 0; sample < 10; sample++) paces.record('fast', 's', { slowdown: 1.75, eventMs: undefined }, 6_000 + sample * 100)
    expect(paces.get('fast', 7_000)).to.be.above(1.3)
    expect(paces.get('fast', 20_000), 'a server that is avoided in a spell reports nothing afterwards').to.be.within(0.7, 1.2)
    expect(paces.get('slow', 60_000)).to.equal(1.7)
  })

  // Guards against a server that draws all requests, or none for good, by what it reports.
  it('bounds what single servers can report, and forgets removed ones', () => {
    const paces = createServerPaces()
    for (let sample = 0; sample < 50; sample++) {
      paces.record('liar', 's', { slowdown: 1e-9, eventMs: undefined }, sample * 100)
      paces.record('odd', 's', { slowdown: NaN, eventMs: Infinity }, sample * 100)
      paces.record('huge', 's', { slowdown: 1e12, eventMs: 1e12 }, sample * 100)
    }
    expect([paces.get('liar', 5_000), paces.get('odd', 5_000), paces.get('huge', 5_000)]).to.deep.equal([0.5, 1, 5])
    paces.retain(id => id === 'liar')
    expect(paces.list(5_000).size).to.equal(1)
  })

  it('reports a bounded number of servers at a time, as means, and reads reports of any shape', () => {
    const samples = createPaceSamples()
    for (let server = 0; server < 2_000; server++) samples.recordLoad({ id: `i-${server}`, service: 's' }, { running: 1, waiting: 0, slots: 8, slowdown: 1 })
    samples.recordLoad({ id: 'i-0', service: 's' }, { running: 1, waiting: 0, slots: 8, slowdown: 2 })
    samples.recordStream('i-0', 30)
    samples.recordLoad({ id: 'unmeasured', service: 't' }, { running: 1, waiting: 0, slots: 8, slowdown: undefined })
    expect([samples.isReported('s'), samples.isReported('t')]).to.deep.equal([true, false])
    const first = samples.take() ?? {}
    expect(Object.keys(first)).to.have.length(16)
    expect(decodePaceSample(first['i-0'])).to.deep.equal({ slowdown: 1.5, eventMs: 30 })
    let reports = 1
    while (samples.take() !== undefined) reports++
    expect(reports, '512 servers at most').to.equal(32)
    for (const odd of [undefined, null, 'x', [], [-1, 'a'], [NaN, Infinity]]) expect(decodePaceSample(odd)).to.deep.equal({ slowdown: undefined, eventMs: undefined })
  })

  // Guards against requests that avoid a server for good by what a lost leader said of it.
  it('fades at a host that hears nothing of the leader', () => {
    const clock = new FakeClock()
    const loads = createRemoteLoads(clock)
    loads.apply({ loads: { a: { live: 0, batch: 0, pace: 3 } }, suspects: [], intervalMs: 40 }, new Map(), () => 's')
    clock.jump(500)
    expect([loads.getPace('a'), loads.getPace('b')]).to.deep.equal([3, 1])
    clock.jump(30_000)
    expect(loads.getPace('a')).to.be.closeTo(1, 0.01)
  })

  // Failure: the pace of a caller that reads slowly counted as that of the server.
  it('measures a stream by its events after the first, unless the caller slowed it down', () => {
    const stream = createStreamPace()
    for (const at of [100, 130, 160, 190]) stream.recordEvents(1, at)
    expect(stream.getEventMs(), 'too few events').to.equal(undefined)
    stream.recordEvents(2, 250)
    expect(stream.getEventMs()).to.equal(30)
    stream.recordWrite(100)
    expect(stream.getEventMs()).to.equal(undefined)
  })
})

describe('choice by pace', () => {
  // Guards against another choice on services whose servers report no slowdown.
  it('is the choice by load where no pace differs, with the same random numbers', () => {
    const seed = 23
    const draws = createSeededRandom(seed)
    for (let round = 0; round < 500; round++) {
      const plain = Array.from({ length: 1 + draws.below(12) }, (_, index) => candidateOf(`s-${index}`, draws.next() * 12))
      const unseen = draws.below(3) * 5
      const [left, right] = [createSeededRandom(round), createSeededRandom(round)]
      const chosen = chooseServer(plain.map(candidate => ({ ...candidate, pace: 1 })), new Set(), () => left.next(), unseen)
      expect(chosen?.id, `seed ${seed}, round ${round}`).to.equal(chooseServer(plain, new Set(), () => right.next(), unseen)?.id)
      if (unseen === 0) {
        const lowest = Math.min(...plain.map(({ load }) => load))
        expect(plain.find(({ server }) => server === chosen)?.load, `seed ${seed}, round ${round}`).to.be.at.most(lowest + 0.125)
      }
    }
  })

  it('prefers the faster of two servers of equal load, and a free slot of a slow one to the queue of a fast one', () => {
    const choose = (...candidates: ServerCandidate[]): string | undefined => chooseServer(candidates, new Set(), () => 0.5)?.id
    expect(choose(candidateOf('slow', 2, 1.7), candidateOf('fast', 2, 0.7))).to.equal('fast')
    expect(choose(candidateOf('slow', 3, 1.7), candidateOf('fast', 9, 0.7))).to.equal('slow')
    expect(choose(candidateOf('slow', 9, 4), candidateOf('fast', 10))).to.equal('fast')
  })
})

describe('choice by idle connections', () => {
  // Failure: three of five requests opened a new connection, while the host had idle ones to servers that were as good.
  it('prefers a server with one among about equal ones, and no other', () => {
    const choose = (...candidates: ServerCandidate[]): string | undefined => chooseServer(candidates, new Set(), () => 0.5)?.id
    const connected = (load: number): ServerCandidate => ({ ...candidateOf('connected', load), hasConnection: true })
    expect(choose(candidateOf('other', 2), connected(2.2))).to.equal('connected')
    expect(choose(candidateOf('other', 2), connected(3))).to.equal('other')
    expect(choose({ ...candidateOf('first', 2), hasConnection: true }, connected(1.9))).to.equal('connected')
  })
})

describe('placement on servers that differ in speed', () => {
  const load = { durationMs: 30_000, waves: [0.377, 1.84], waveMs: 3_500, placement: Placement.Estimated, plansByMean: true }
  const uneven = { speeds: [0.7, 0.7, 1.7], spellFactor: 2.5, spellMs: 1_500, calmMs: 6_000, unseenShare: 0.4 }

  for (const size of [
    { hosts: 12, servers: 8, liveRate: 38, itemRate: 4 },
    { hosts: 80, servers: 40, liveRate: 186, itemRate: 19 },
    { hosts: 200, servers: 52, liveRate: 242, itemRate: 25 }
  ]) {
    // Failure: the first events of the slowest requests waited in the queues of slow servers while fast ones had room.
    it(`shortens the longest waits for the first event, and completes no fewer items in time, at ${size.hosts} hosts`, function () {
      this.timeout(60_000)
      const byPace = replayMean({ ...load, ...size, speeds: uneven, usesPace: true }, seeds)
      const byLoad = replayMean({ ...load, ...size, speeds: uneven, usesPace: false }, seeds)
      const text = JSON.stringify({ byPace, byLoad, seeds })
      expect(byPace.firstOutputMs99, text).to.be.below(byLoad.firstOutputMs99)
      expect(byPace.liveInTime, text).to.be.above(byLoad.liveInTime)
      expect(byPace.itemsInTime, text).to.be.at.least(byLoad.itemsInTime - 0.02)
    })

    it(`changes nothing where servers are even, at ${size.hosts} hosts`, () => {
      const even = { speeds: [1], spellFactor: 1, spellMs: 0, calmMs: 1e9, unseenShare: 0 }
      const settings = { ...load, ...size, durationMs: 15_000, speeds: even, seed: 5 }
      expect(replayLoad({ ...settings, usesPace: true })).to.deep.equal(replayLoad({ ...settings, usesPace: false }))
    })
  }
})
