import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

const timeoutMs = 15_000

/** Slots of each server. */
const slots = 2

function jobBodyOf (count: number): string {
  const items = Array.from({ length: count }, (_, index) => (
    { id: `item-${index}`, path: '/batch/x', headers: { 'X-Model': 'm' }, body: Buffer.from(`body ${index}`).toString('base64'), tokens: 50 }))
  return JSON.stringify({ items })
}

interface ResultPage {
  readonly total: number
  readonly next: number
  readonly results: ReadonlyArray<{ readonly id: string, readonly state: string, readonly output: string }>
}

describe('fleet of processes', () => {
  let fleet: Fleet
  before(async () => { fleet = await startFleet() })
  after(() => fleet.close())

  async function readAllResults (job: string, count: number): Promise<ResultPage> {
    return await eventually(`${count} results of ${job}`, timeoutMs, async () => {
      const response = await fleet.call('GET', `/v1/lots/${job}?after=0`, { 'x-wait-ms': '500' })
      const page = response.status === 200 ? JSON.parse(response.text) as ResultPage : undefined
      return page?.results.length === count ? page : undefined
    })
  }

  // Guards against a gateway that reports "no route" while it has no tables, or that does not apply the first ones.
  it('responds 503 before the first configuration, and serves a stream after it', async () => {
    expect((await fleet.call('POST', '/live/1', { 'x-request-id': 'early' })).status).to.equal(503)
    expect(await fleet.publish(3)).to.equal(200)
    // Checked at each gateway: the tests below need both, and one that has just started on a busy machine takes longer.
    for (const gateway of [0, 1]) {
      const response = await eventually('a complete stream', timeoutMs, async () => {
        const result = await fleet.call('POST', '/live/1', { 'x-request-id': `q-1${gateway}`, 'x-deadline-ms': '4000' }, undefined, gateway)
        return result.status === 200 ? result : undefined
      })
      expect(response.text).to.equal('id: 0\ndata: e0\n\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n')
    }
    expect((await fleet.call('POST', '/nowhere/1', { 'x-request-id': 'q-2' })).status).to.equal(404)
  })

  // Guards against an older version replacing a newer one, and against two documents under one version.
  it('accepts repeated and older versions, refuses other content under the version in force, and reads back the document', async () => {
    expect(await fleet.publish(3)).to.equal(200)
    expect(await fleet.publish(9)).to.equal(200)
    expect(await fleet.publish(5)).to.equal(200)
    const readBack = await fleet.callControl('GET', '/v1/config')
    expect((JSON.parse(readBack.text) as { version: number }).version).to.equal(9)
    expect((await fleet.callControl('PUT', '/v1/config', { ...JSON.parse(readBack.text), routes: [] })).status).to.equal(409)
  })

  // Guards against items that run twice for a repeated submission, and against gateways that disagree on the results.
  it('returns the same results of a job at every gateway, and accepts its repeated submission', async () => {
    for (const gateway of [0, 1]) expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'job-1' }, jobBodyOf(6), gateway)).status).to.equal(202)
    const page = await readAllResults('job-1', 6)
    expect(page.total).to.equal(6)
    for (const { state, output } of page.results) expect([state, output]).to.deep.equal(['completed', 'e0\ne1\ne2\ne3\ne4'])
    expect(new Set(page.results.map(result => result.id)).size).to.equal(6)
    const other = await fleet.call('GET', '/v1/lots/job-1?after=2', {}, undefined, 1)
    expect((JSON.parse(other.text) as ResultPage).results).to.deep.equal(page.results.slice(2))
    expect((await fleet.call('GET', '/v1/lots/unknown')).status).to.equal(404)
  })

  // Guards against a refused job that is stored and run anyway.
  it('refuses a job that exceeds the waiting tokens of its route, and does not store it', async () => {
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'large' }, jobBodyOf(30))).status).to.equal(429)
    expect((await fleet.call('GET', '/v1/lots/large')).status).to.equal(404)
  })

  // Guards against items that run after the end of their job was acknowledged.
  it('returns the body of an item without a result, and runs no item of a job that was ended', async () => {
    const countRuns = (): number => fleet.servers.flatMap(server => server.ran).length
    const ranAtFirst = countRuns()
    for (const server of fleet.servers) server.events = 500
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'ended' }, jobBodyOf(8))).status).to.equal(202)
    // Runs that are on their way when the job ends may still arrive, so it ends once all slots are taken. Half of its items wait then.
    await eventually('a run in each slot', timeoutMs, async () => countRuns() - ranAtFirst === fleet.servers.length * slots ? true : undefined)
    expect((await fleet.call('GET', '/v1/items/ended?id=item-7')).text).to.equal('body 7')
    for (const gateway of [0, 1]) expect((await fleet.call('DELETE', '/v1/lots/ended', {}, undefined, gateway)).status).to.equal(200)
    for (const server of fleet.servers) server.events = 5
    const ranBefore = countRuns()
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'after' }, jobBodyOf(2))).status).to.equal(202)
    await readAllResults('after', 2)
    expect(countRuns() - ranBefore).to.equal(2)
  })

  // Failure: after the leader was killed, acknowledged jobs or tables were lost or read in an older state.
  it('keeps tables, jobs and results when the leader is killed, and serves requests meanwhile', async () => {
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'kept' }, jobBodyOf(4))).status).to.equal(202)
    const resultsBefore = await readAllResults('kept', 4)
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'open' }, jobBodyOf(8))).status).to.equal(202)
    const leader = [...fleet.controlPrograms].find(([, program]) => program.errors().includes('"event":204'))
    const [ip, program] = leader ?? expect.fail('no leader was elected')
    await program.end('SIGKILL')
    expect((await fleet.call('POST', '/live/1', { 'x-request-id': 'q-3' })).status).to.equal(200)
    const resultsAfter = await readAllResults('kept', 4)
    expect(resultsAfter.results).to.deep.equal(resultsBefore.results)
    await readAllResults('open', 8)
    expect(await fleet.publish(12)).to.equal(200)
    await fleet.startControlHost(ip)
    const readBack = await fleet.callControl('GET', '/v1/config')
    expect((JSON.parse(readBack.text) as { version: number }).version).to.equal(12)
  })
})
