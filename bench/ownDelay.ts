/**
 * Measures the delay that jaychute itself adds to the first token, compared with direct calls to the same stand-in backend
 * server. Direct calls and calls through jaychute alternate, so that other load of the machine affects both alike. Writes
 * bench/results/ownDelay.json.
 *
 * Usage: npx tsx bench/ownDelay.ts
 * @module
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { cpus } from 'node:os'
import { Worker } from 'node:worker_threads'
import * as hdr from 'hdr-histogram-js'
import { Agent } from 'undici'

const calls = 2_000
const warmUpCalls = 300
const maxTokens = 2
const microsecondsPerMillisecond = 1000
const percentiles = [50, 90, 99, 99.9] as const
// From docs/design.md, section 11.
const targets = { p50Ms: 1, p99Ms: 3 } as const

/** Times from the start of a call, in milliseconds. */
interface CallTimes {
  readonly firstTokenMs: number
  readonly totalMs: number
}

const agent = new Agent({ pipelining: 1 })

async function call (origin: string, path: string, body: object): Promise<CallTimes> {
  const startedAt = performance.now()
  let firstAt: number | undefined
  const response = await agent.request({
    origin: `http://${origin}`,
    path,
    method: 'POST',
    headers: { 'content-type': 'application/json', 'jaychute-account': 'bench' },
    body: JSON.stringify(body)
  })
  for await (const chunk of response.body) {
    if (chunk.length > 0) firstAt ??= performance.now()
  }
  if (response.statusCode !== 200 || firstAt === undefined) throw new Error(`status ${response.statusCode}`)
  return { firstTokenMs: firstAt - startedAt, totalMs: performance.now() - startedAt }
}

function summarise (times: readonly number[]): Record<string, number> {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 })
  for (const time of times) histogram.recordValue(Math.round(time * microsecondsPerMillisecond))
  const summary: Record<string, number> = {}
  for (const percentile of percentiles) summary[`p${percentile}Ms`] = histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
  return summary
}

function subtract (left: Record<string, number>, right: Record<string, number>): Record<string, number> {
  const result: Record<string, number> = {}
  for (const [name, value] of Object.entries(left)) result[name] = Math.round((value - (right[name] ?? 0)) * 1000) / 1000
  return result
}

/** Starts jaychute in a worker thread, or a stand-in that announces itself to `entryHost`, and returns its address. */
function startThread (entryHost?: string): Promise<string> {
  const worker = new Worker(new URL('./ownDelayThread.mjs', import.meta.url), { workerData: { entryHost } })
  return new Promise<string>((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
}

const callerAddress = await startThread()
const standInAddress = await startThread(callerAddress)

const direct: CallTimes[] = []
const through: CallTimes[] = []
for (let number = 0; number < calls + warmUpCalls; number++) {
  const input = `question ${number} ${'x'.repeat(80)}`
  const directCall = await call(standInAddress, '/v1/generate', { requestId: `direct-${number}`, prompt: input, maxTokens, offset: 0, partial: '' })
  const throughCall = await call(callerAddress, '/v1/routes/assist/requests', { input, maxTokens, stream: true })
  if (number < warmUpCalls) continue
  direct.push(directCall)
  through.push(throughCall)
}

const firstToken = { direct: summarise(direct.map(times => times.firstTokenMs)), through: summarise(through.map(times => times.firstTokenMs)) }
const whole = { direct: summarise(direct.map(times => times.totalMs)), through: summarise(through.map(times => times.totalMs)) }
const figures = {
  command: 'npx tsx bench/ownDelay.ts',
  at: new Date().toISOString(),
  node: process.version,
  processors: cpus().length,
  calls,
  maxTokens,
  targets,
  firstToken: { ...firstToken, added: subtract(firstToken.through, firstToken.direct) },
  whole: { ...whole, added: subtract(whole.through, whole.direct) },
  raw: {
    directFirstTokenMs: direct.map(times => Number(times.firstTokenMs.toFixed(3))),
    throughFirstTokenMs: through.map(times => Number(times.firstTokenMs.toFixed(3)))
  }
}
await mkdir(new URL('./results/', import.meta.url), { recursive: true })
await writeFile(new URL('./results/ownDelay.json', import.meta.url), JSON.stringify(figures) + '\n')
console.log(JSON.stringify({ ...figures, raw: undefined }, undefined, 2))
await agent.close()
process.exit(0)
