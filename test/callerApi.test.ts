import { expect } from 'chai'
import { request } from 'undici'
import { eventually } from '../scripts/processes.ts'
import { bodyLimitBytes } from '../src/request/callerApi.ts'
import { startSystem, type TestSystem } from './support/system.ts'
import { responseText, type StandIn } from './standIn/standIn.ts'

// Guards against responses that lose or repeat output, and against refusals that do not state whether the request ran.
describe('caller API', () => {
  let system: TestSystem
  let standIn: StandIn

  before(async () => {
    system = await startSystem()
    await system.apply([{ name: 'assist', pool: 'assist' }], [{ name: 'assist' }])
    standIn = await system.startStandIn()
  })

  after(() => system.close())

  it('returns the complete output of a request and echoes its request id', async () => {
    const response = await system.sendRequest('assist', { input: 'site note', maxTokens: 5 }, { 'jaychute-request-id': 'r-1' })
    expect(response.status).to.equal(200)
    expect(response.json()).to.deep.equal({ requestId: 'r-1', text: responseText('site note', 5), tokens: 5 })
    expect(response.headers['jaychute-request-id']).to.equal('r-1')
  })

  it('streams every token once and in order, then the end event', async () => {
    const response = await system.sendRequest('assist', { input: 'permit', maxTokens: 4, stream: true })
    const events = response.text.split('\n').filter(line => line.startsWith('event:'))
    expect(events).to.deep.equal(['event: token', 'event: token', 'event: token', 'event: token', 'event: done'])
  })

  it('refuses a request over the size limit as not run', async () => {
    const response = await system.sendRequest('assist', { input: 'x'.repeat(bodyLimitBytes) })
    expect(response.status).to.equal(413)
    expect(response.json().error).to.include({ reason: 'too large', execution: 'not run' })
  })

  it('refuses malformed JSON as not run', async () => {
    const response = await system.sendRequest('assist', '{"input": ')
    expect(response.status).to.equal(400)
    expect(response.json().error).to.include({ reason: 'invalid request', execution: 'not run' })
  })

  it('refuses an unknown route as not run', async () => {
    const response = await system.sendRequest('nowhere', { input: 'x' })
    expect(response.status).to.equal(404)
    expect(response.json().error).to.include({ reason: 'unknown route', execution: 'not run' })
  })

  it('refuses a wrong content type as not run', async () => {
    const response = await system.sendRequest('assist', { input: 'x' }, { 'content-type': 'text/plain' })
    expect(response.status).to.equal(415)
    expect(response.json().error).to.include({ reason: 'unsupported content type', execution: 'not run' })
  })

  it('refuses tables whose route names an unknown pool, and reports the problem', async () => {
    const response = await request(`http://${system.administrationAddress}/v1/configuration`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ operation: 'bad', expected: 1, tables: { routes: [{ name: 'a', pool: 'missing' }], pools: [] } })
    })
    expect(response.statusCode).to.equal(422)
    expect(await response.body.json()).to.deep.equal({ kind: 'invalid', problems: [{ place: 'routes[0].pool', text: 'there is no pool "missing"' }] })
  })

  // Guards against a backend server that keeps generating output after the caller's connection was closed.
  it('cancels the backend stream of a caller that disconnects', async () => {
    const controller = new AbortController()
    const response = await request(`http://${system.callerAddress}/v1/routes/assist/requests`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar' },
      body: JSON.stringify({ input: 'gone caller', maxTokens: 10_000, stream: true }),
      signal: controller.signal
    })
    const drained = response.body.once('data', () => controller.abort()).dump().catch(() => {})
    await drained
    await eventually('the cancelled stream', 5_000, () => standIn.runs.find(run => run.prompt === 'gone caller')?.cancelled === true ? true : undefined)
  })

  // Guards against items that are lost, or whose results are returned out of order.
  it('runs a job and returns its results in the order of its items', async () => {
    const lines = Array.from({ length: 30 }, (_, number) => JSON.stringify({ name: `item-${number}`, input: `sheet ${number}`, maxTokens: 2 }))
    const submitResponse = await request(`http://${system.callerAddress}/v1/jobs/evening?route=assist`, {
      method: 'PUT', headers: { 'content-type': 'application/x-ndjson', 'jaychute-account': 'rothar' }, body: lines.join('\n')
    })
    expect(submitResponse.statusCode).to.equal(201)
    const { job } = await submitResponse.body.json() as { job: string }
    const results = await eventually('all results', 20_000, async () => {
      const page = await request(`http://${system.callerAddress}/v1/jobs/${job}/results`, { headers: { 'jaychute-account': 'rothar' } })
      const { results, finished } = await page.body.json() as { results: Array<{ result: string }>, finished: boolean }
      return finished ? results : undefined
    })
    expect(results.map(result => result.result)).to.deep.equal(lines.map((_, number) => responseText(`sheet ${number}`, 2)))
  })
})
