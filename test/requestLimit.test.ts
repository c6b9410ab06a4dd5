import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { type Fleet, startFleet, type StreamServer } from './support/fleetProcesses.ts'

const timeoutMs = 15_000

/** Requests per second that the limited servers name. */
const limitPerSecond = 2

/** Window in which requests are counted, in milliseconds. */
const windowMs = 4_000

/** Requests in a window that are allowed: one and a half times the limit, and five. */
const maxRequests = limitPerSecond * windowMs / 1_000 * 1.5 + 5

/** Time in which every host learns of a limit, in milliseconds. */
const learnMs = 4_000

/** Time during which requests are sent, in milliseconds. */
const loadMs = 10_000

/** Interval between two requests of a caller, in milliseconds. */
const requestIntervalMs = 60

function countMostInWindow (arrivals: readonly number[], from: number): number {
  const counted = arrivals.filter(at => at >= from)
  let most = 0
  for (const start of counted) most = Math.max(most, counted.filter(at => at >= start && at < start + windowMs).length)
  return most
}

describe('a backend server that names a request limit', () => {
  let fleet: Fleet
  let limited: readonly StreamServer[]
  before(async () => {
    fleet = await startFleet(3)
    expect(await fleet.publish(1)).to.equal(200)
    for (const gateway of [0, 1]) await eventually('a complete stream', timeoutMs, async () => (await send(`warm-up-${gateway}`, gateway)).status === 200 ? true : undefined)
    limited = fleet.servers.slice(0, 2)
  })
  after(() => fleet.close())

  async function send (id: string, gateway: number): Promise<{ readonly status: number, readonly text: string }> {
    return await fleet.call('POST', `/live/${id}`, { 'x-request-id': id, 'x-deadline-ms': '4000' }, undefined, gateway)
  }

  async function submitJob (job: string): Promise<void> {
    const items = Array.from({ length: 6 }, (_, index) => ({ id: `${job}-${index}`, path: '/batch/x', headers: {}, body: '', tokens: 50 }))
    await fleet.call('POST', '/batch/j', { 'x-request-id': job }, JSON.stringify({ items }))
  }

  // Sends live requests to both gateways, and jobs, until the time is over; returns the number of requests that were answered.
  async function applyLoad (): Promise<number> {
    let answered = 0
    const requests: Array<Promise<void>> = []
    const end = performance.now() + loadMs
    for (let count = 0; performance.now() < end; count++) {
      requests.push(send(`q-${count}`, count % 2).then(response => { if (response.status === 200) answered++ }))
      if (count % 10 === 0) requests.push(submitJob(`job-${count}`))
      await new Promise(resolve => setTimeout(resolve, requestIntervalMs))
    }
    await Promise.all(requests)
    return answered
  }

  // Failure (LIMIT): servers got as many requests as before they named a limit, from gateways and executors together.
  it('gets no more live requests and items than the limit allows, summed over all hosts', async () => {
    for (const server of limited) server.requestLimit = limitPerSecond
    const startedAt = performance.now()
    const answered = await applyLoad()
    for (const server of limited) {
      expect(countMostInWindow(server.arrivals, startedAt + learnMs), `requests to ${server.id} in ${windowMs} ms`).to.be.at.most(maxRequests)
      expect(server.arrivals.filter(at => at >= startedAt + learnMs), `requests to ${server.id}`).not.to.have.length(0)
    }
    expect(answered).to.be.above(0)
  })
})
