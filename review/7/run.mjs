/**
 * Workers restart under their ids while a control host is frozen, which reads their DELETE only after it has woken.
 * @module
 */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { bounds, sleep, startFleet } from '../support-2/fleet.mjs'
import { call, createConfiguration, order, submitJob, readJob, Worker } from '../support-2/platform.mjs'

const hasTrouble = process.env.TROUBLE !== '0'

/** Time for which the control host is frozen, in milliseconds: as long as `node_freeze` on the core of the small deployments. */
const frozenMs = 6_000

/** Bound `finish_s` of the small deployments, and the span at its end that has to be calm, in milliseconds. */
const finishMs = 18_000
const calmMs = 5_000

const lines = []
const startedAt = performance.now()
const record = text => { lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`) }

// A worker that never reports that it drains: it says first that it goes, serves on for as long, exits, and starts again under its id.
async function replace (worker, addresses) {
  worker.isBeating = false
  const removed = await order(addresses, { method: 'DELETE', path: `/v1/instances/${worker.id}` }, { firstNode: worker.nextNode })
  if (removed?.status !== 200) return false
  record(`DELETE of ${worker.id} (born ${worker.born}) acknowledged, attempt ${removed.attempts}`)
  worker.nextNode += removed.attempts - 1
  await sleep(bounds.drainMs)
  worker.exit()
  await sleep(200)
  await worker.start()
  record(`${worker.id} has started again, born ${worker.born}`)
  return true
}

async function play (fleet, workers) {
  if ((await order(fleet.operatorAddresses, { method: 'PUT', path: '/v1/config', body: createConfiguration(1) }))?.status !== 200) return undefined
  for (const worker of workers) await worker.start()
  await sleep(4_000)
  const first = await submitJob(fleet.callerAddresses, 'job-before', 10)
  if (first !== 202 || !await isFinished(fleet, 'job-before', 10_000)) return undefined
  record('job-before: accepted and completed')
  const [, , frozen] = fleet.control
  if (hasTrouble) {
    frozen.signal('SIGSTOP')
    record(`${frozen.settings.host} is frozen`)
  }
  const frozenAt = performance.now()
  const replaced = await Promise.all(workers.map(worker => replace(worker, fleet.operatorAddresses)))
  if (replaced.includes(false)) return undefined
  await sleep(frozenAt + frozenMs - performance.now())
  if (hasTrouble) {
    frozen.signal('SIGCONT')
    record(`${frozen.settings.host} wakes`)
  }
  await sleep(bounds.contactMs + 1_000)
  const status = await submitJob(fleet.callerAddresses, 'job-after', 10)
  record(`job-after: ${status}`)
  if (status !== 202) return undefined
  const live = await call({ address: fleet.callerAddresses[0], method: 'POST', path: '/safe/1', headers: { host: 'a.example', 'x-request-id': 'q-1', 'x-deadline-ms': '4000' }, body: 'q', timeoutMs: 5_000 })
  record(`a safe request: ${live.status} ${live.text.slice(0, 60)}`)
  const ranBefore = countItems(workers)
  await sleep(finishMs - calmMs)
  const ranAtCalm = countItems(workers)
  await sleep(calmMs)
  const page = await readJob(fleet.callerAddresses, 'job-after')
  record(`job-after, ${finishMs} ms later: ${page?.results.length} of ${page?.total} items listed; runs of items: ${countItems(workers) - ranBefore}, in the last ${calmMs} ms: ${countItems(workers) - ranAtCalm}`)
  for (const worker of workers) record(`${worker.id}: ${worker.ran.length} runs, heartbeat ${worker.sequence} acknowledged ${worker.lastStatus}, running ${worker.running}`)
  if (page === undefined) return undefined
  return page.results.length === page.total || countItems(workers) > ranAtCalm
}

function countItems (workers) {
  let items = 0
  for (const { ran } of workers) items += ran.filter(({ id }) => id.startsWith('item-')).length
  return items
}

async function isFinished (fleet, job, timeoutMs) {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    const page = await readJob(fleet.callerAddresses, job)
    if (page !== undefined && page.results.length === page.total) return true
    await sleep(500)
  }
  return false
}

const fleet = await startFleet({ gateways: 2, executors: 1, record })
const workers = [1, 2].map(number => new Worker({ id: `i-${number}`, zone: 'zone-c', controlAddresses: fleet.operatorAddresses, firstNode: 2, workMs: 200, record }))
let holds
try {
  holds = await play(fleet, workers)
} finally {
  for (const worker of workers) worker.exit()
  await fleet.close()
}
record(holds === undefined ? 'not judged' : holds ? 'the rule held' : 'the rule was broken')
writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`)
process.exit(holds === undefined ? 2 : holds ? 0 : 1)
