import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

const timeoutMs = 15_000

interface ForeignItem {
  readonly headers: unknown
}

function jobBodyOf ({ headers }: ForeignItem): string {
  return JSON.stringify({ items: [{ id: 'x', path: '/batch/x', headers, body: '', tokens: 50 }] })
}

describe('fleet of processes with other writers', () => {
  let fleet: Fleet
  before(async () => {
    fleet = await startFleet()
    expect(await fleet.publish(1)).to.equal(200)
    await eventually('a complete stream', timeoutMs, async () => (await fleet.call('POST', '/live/1', { 'x-request-id': 'first' })).status === 200 ? true : undefined)
  })
  after(() => fleet.close())

  function listEndedHosts (): string[] {
    return [...fleet.controlPrograms.values()].filter(({ child }) => child.exitCode !== null).map(({ name, errors }) => `${name}: ${errors().split('\n').find(line => line.includes('"event":103')) ?? ''}`)
  }

  async function waitForBeats (): Promise<void> {
    // More than the time without an accepted heartbeat after which a server is removed.
    await new Promise(resolve => setTimeout(resolve, 3_000))
  }

  // Failure: one heartbeat of another writer with the id of a server made all later heartbeats of the server look old; the server
  // was removed, although it sent heartbeats, and requests found no server.
  for (const [name, fields] of [
    ['an enormous sequence number', { seq: 1e300 }],
    ['a start in the far future', { seq: 1, born: 9_000_000_000_000 }],
    ['a service without a route', { service: 'nobody', seq: 100_000 }],
    ['another address and a later number', { addr: '127.0.0.9:9', seq: 100_000 }]
  ] as const) {
    it(`keeps its servers after heartbeats of another writer with ${name}`, async () => {
      for (const server of fleet.servers) {
        const heartbeat = { service: 's', addr: server.address, zone: 'z1', version: 'v1', slots: 2, state: 'ready', born: 1 + server.crashes, ...fields }
        expect((await fleet.callControl('PUT', `/v1/instances/${server.id}`, heartbeat)).status).to.equal(200)
      }
      await waitForBeats()
      expect((await fleet.call('POST', '/live/1', { 'x-request-id': 'after' })).status).to.equal(200)
    })
  }

  // Failure: the timer of a read overflowed and ended it after 1 ms; the read was repeated without end, and each time the connection
  // to a control host was closed under the reads of other callers.
  for (const wait of ['1e10', '1e300', '1e999']) {
    it(`answers a read of results that may wait for ${wait} ms`, async () => {
      const answer = fleet.call('GET', '/v1/lots/unknown', { 'x-wait-ms': wait })
      const status = await Promise.race([answer.then(response => response.status), new Promise(resolve => setTimeout(resolve, 5_000, 'no answer'))])
      expect(status).to.equal(404)
    })
  }

  // Failure: an item with prompt parts that were no text ended every leader that planned it, one after the other, as long as
  // requests that crash backend servers were known.
  it('keeps its leader when a job holds an item whose headers are not text', async () => {
    for (const server of fleet.servers) server.crashingPart = 'dead'
    await fleet.call('POST', '/live/1', { 'x-request-id': 'crashing', 'x-prefix-hash': 'dead:5,own:3' })
    for (const server of fleet.servers) server.crashingPart = undefined
    expect(fleet.servers.some(server => server.crashes > 0)).to.equal(true)
    const refused = await fleet.call('POST', '/batch/j', { 'x-request-id': 'foreign' }, jobBodyOf({ headers: { 'X-Prefix-Hash': 5 } }))
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'valid' }, jobBodyOf({ headers: { 'X-Model': 'm' } }))).status).to.equal(202)
    await eventually('the result of the valid job', timeoutMs, async () => (await fleet.call('GET', '/v1/lots/valid')).text.includes('completed') ? true : undefined).catch(() => {})
    expect(listEndedHosts()).to.deep.equal([])
    expect(refused.status).to.equal(400)
    expect((await fleet.call('GET', '/v1/lots/valid')).text).to.include('completed')
  })
})
