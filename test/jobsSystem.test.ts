import { expect } from 'chai'
import { request } from 'undici'
import { eventually } from '../scripts/processes.ts'
import type { StandIn } from './standIn/standIn.ts'
import { startSystem, type TestSystem } from './support/system.ts'

describe('jobs in a running system', () => {
  let system: TestSystem
  let standIn: StandIn
  before(async () => {
    system = await startSystem()
    await system.apply([{ name: 'assist', pool: 'assist' }], [{ name: 'assist', batchConcurrency: 4 }])
    standIn = await system.startStandIn()
  })
  after(() => system.close())

  async function call (method: 'GET' | 'PUT' | 'DELETE', path: string, body?: string): Promise<any> {
    const headers = { 'content-type': 'application/x-ndjson', 'jaychute-account': 'habimana' }
    const response = await request(`http://${system.callerAddress}/v1/jobs${path}`, { method, headers, body: body ?? null })
    return { status: response.statusCode, ...await response.body.json() as object }
  }

  // The caller relies on the response to the cancellation: items that run afterwards produce results for cancelled work, and
  // crews are sent out for it.
  it('sends no item of a job after its cancellation was answered, and keeps the results of finished items', async () => {
    const createItemLine = (name: string, maxTokens: number): string => JSON.stringify({ name, input: name, maxTokens })
    const lines = Array.from({ length: 30 }, (_, number) => createItemLine(`old ${number}`, number < 3 ? 1 : 50_000))
    const { job } = await call('PUT', '/old?route=assist', lines.join('\n'))
    await eventually('three finished items and four streams', 10_000, async () => {
      const status = await call('GET', `/${job}`)
      return status.done === 3 && standIn.running === 4 ? true : undefined
    })
    expect(await call('DELETE', `/${job}`)).to.include({ status: 200, cancelled: true })
    const sentBefore = standIn.runs.filter(run => run.prompt.startsWith('old')).length
    await eventually('the end of all streams', 2_000, () => standIn.running === 0 ? true : undefined)
    const next = await call('PUT', '/new?route=assist', Array.from({ length: 20 }, (_, number) => createItemLine(`new ${number}`, 1)).join('\n'))
    await eventually('the next job', 10_000, async () => (await call('GET', `/${next.job}`)).phase === 'finished' ? true : undefined)
    expect(standIn.runs.filter(run => run.prompt.startsWith('old')).length).to.equal(sentBefore)
    expect((await call('GET', `/${job}/results`)).results).to.have.length(3)
    expect(await call('PUT', '/old?route=assist', lines.join('\n')), 'the repeated submission').to.deep.include({ job })
  })
})
