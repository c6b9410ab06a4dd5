import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

const timeoutMs = 15_000

const crashingPart = 'dead'

/** Crashes after which a prompt part must have been recognized. */
const maxCrashes = 5

/** A page of results of a job. */
interface ResultPage {
  readonly results: ReadonlyArray<{ readonly id: string, readonly state: string }>
}

function jobBodyOf (partsByItem: Readonly<Record<string, string>>): string {
  const items = Object.entries(partsByItem).map(([id, parts]) => ({ id, path: '/batch/x', headers: { 'X-Prefix-Hash': parts }, body: Buffer.from(id).toString('base64'), tokens: 50 }))
  return JSON.stringify({ items })
}

function countCrashes (fleet: Fleet): number {
  let crashes = 0
  for (const server of fleet.servers) crashes += server.crashes
  return crashes
}

describe('a prompt part that crashes backend servers', () => {
  let fleet: Fleet
  let requests = 0
  before(async () => {
    fleet = await startFleet(8)
    expect(await fleet.publish(1)).to.equal(200)
    for (const gateway of [0, 1]) {
      await eventually('a complete stream', timeoutMs, async () => (await send('warm-up:1,own:1', gateway)).status === 200 ? true : undefined)
    }
    for (const server of fleet.servers) server.crashingPart = crashingPart
  })
  after(() => fleet.close())

  async function send (parts: string, gateway: number): Promise<{ readonly status: number, readonly text: string }> {
    requests++
    return await fleet.call('POST', `/live/${requests}`, { 'x-request-id': `q-${requests}`, 'x-deadline-ms': '4000', 'x-prefix-hash': parts }, undefined, gateway)
  }

  // Failure (BUDGET, LOST): requests with one prompt part kept crashing servers at every gateway, and sound requests that
  // share their other parts were refused meanwhile.
  it('stops sending requests with the part by the fifth crash, and answers those that share their other parts', async () => {
    for (let round = 0; round < 10; round++) {
      const gateway = round % 2
      await send(`first:10,second:10,${crashingPart}:5,own-${round}:3`, gateway)
      expect(countCrashes(fleet), `crashes after ${round + 1} requests with the part`).to.be.at.most(maxCrashes)
      await send(`first:10,own-sound-${round}:3`, gateway)
    }
    const refused = await send(`${crashingPart}:5,own:3`, 0)
    expect(refused.status).to.equal(503)
    for (const gateway of [0, 1, 0, 1]) {
      expect((await send('first:10,second:10,own-later:3', gateway)).status).to.equal(200)
    }
  })

  // Guards against items that crash servers although live requests have shown that their part does, and against sound items
  // that wait with them.
  it('runs no item with a blocked part, and completes those that share their other parts', async () => {
    const crashesBefore = countCrashes(fleet)
    const items = { crashing: `first:10,${crashingPart}:5,own-1:3`, 'sound-1': 'first:10,own-2:3', 'sound-2': 'second:10,own-3:3' }
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'job' }, jobBodyOf(items))).status).to.equal(202)
    const completed = await eventually('results of the sound items', timeoutMs, async () => {
      const response = await fleet.call('GET', '/v1/lots/job?after=0', { 'x-wait-ms': '500' })
      const { results } = JSON.parse(response.text) as ResultPage
      return results.length === 2 ? results.map(({ id, state }) => `${id} ${state}`).sort() : undefined
    })
    expect(completed).to.deep.equal(['sound-1 completed', 'sound-2 completed'])
    // A trial of the part may fall due meanwhile.
    expect(countCrashes(fleet) - crashesBefore).to.be.at.most(1)
  })
})
