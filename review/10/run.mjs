/**
 * A worker leaves while the core restarts, and a heartbeat that it sent before arrives late.
 * @module
 */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { bounds, sleep, startFleet } from '../support-2/fleet.mjs'
import { call, createConfiguration, order, Worker } from '../support-2/platform.mjs'

const hasTrouble = process.env.TROUBLE !== '0'

/** Time for which the core is down, in milliseconds. */
const downMs = 700

/** Time for which the worker serves after `drain_ms`, in milliseconds. */
const extraServiceMs = 3_500

const lines = []
const startedAt = performance.now()
const record = text => { lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`) }

async function play (fleet, workers) {
  const [leaving] = workers
  if ((await order(fleet.operatorAddresses, { method: 'PUT', path: '/v1/config', body: createConfiguration(1) }))?.status !== 200) return undefined
  for (const worker of workers) await worker.start()
  await sleep(4_000)
  const traffic = startTraffic(fleet)
  await sleep(3_000)
  if (!leaving.ran.length) return undefined

  // The last heartbeat before the worker leaves; it is held in the network.
  leaving.isBeating = false
  const held = leaving.describe()
  record(`${leaving.id} sends heartbeat ${held.seq}, which is held in the network`)
  if (hasTrouble) {
    record('all control hosts are killed')
    await Promise.all(fleet.control.map(host => host.kill()))
    await sleep(downMs)
    for (const host of fleet.control) host.restart()
    record('all control hosts are started again')
  }
  const calmAt = performance.now() + bounds.contactMs
  const removed = await order(fleet.operatorAddresses, { method: 'DELETE', path: `/v1/instances/${leaving.id}` }, { firstPauseMs: 1_000, pauseFactor: 3 })
  if (removed?.status !== 200) return undefined
  record(`DELETE of ${leaving.id} acknowledged, attempt ${removed.attempts}, ${hasTrouble ? `${Math.round(removed.at - calmAt + bounds.contactMs)} ms after the core's start` : 'in calm'}`)
  if (hasTrouble && removed.at < calmAt) record('the core had not been stable for contact_ms: not judged')
  await sleep(300)
  const late = await leaving.sendBeat(held, fleet.operatorAddresses[0])
  record(`heartbeat ${held.seq} of ${leaving.id} arrives late: answered ${late.status}`)
  await sleep(removed.at + bounds.drainMs + extraServiceMs - performance.now())
  const inFlight = leaving.running
  leaving.exit()
  record(`${leaving.id} exits with ${inFlight} requests in flight`)
  await sleep(1_000)
  const responses = await traffic.stop()
  const lateRuns = leaving.ran.filter(run => run.at > removed.at + bounds.drainMs)
  for (const { id, at } of lateRuns) record(`${leaving.id} ran ${id} ${Math.round(at - removed.at)} ms after the acknowledgement`)
  const cut = responses.filter(({ status, isComplete }) => status === 502 || !isComplete)
  for (const response of cut) record(`client: ${response.id} ended with ${response.status} complete=${response.isComplete} ${response.error ?? ''}`)
  const byStatus = {}
  for (const { status } of responses) byStatus[status] = (byStatus[status] ?? 0) + 1
  record(`responses by status: ${JSON.stringify(byStatus)}`)
  record(`runs at ${leaving.id} later than ${bounds.drainMs} ms after the acknowledgement: ${lateRuns.length}`)
  if (hasTrouble && removed.at < calmAt) return undefined
  return lateRuns.length === 0
}

function startTraffic (fleet) {
  const stopped = new AbortController()
  let number = 0
  const open = []
  const responses = []
  const run = (async () => {
    while (!stopped.signal.aborted) {
      const id = `q-${++number}`
      const address = fleet.callerAddresses[number % fleet.callerAddresses.length]
      const path = number % 2 === 0 ? '/safe/' : '/once/'
      open.push(call({ address, method: 'POST', path: `${path}${number}`, headers: { host: 'a.example', 'x-request-id': id, 'x-deadline-ms': '4000' }, body: id, timeoutMs: 5_000 })
        .then(response => responses.push({ id, path, ...response })))
      await sleep(40)
    }
  })()
  return {
    async stop () {
      stopped.abort()
      await run
      await Promise.all(open)
      return responses
    }
  }
}

const fleet = await startFleet({ gateways: 2, executors: 1, record })
const workers = ['zone-a', 'zone-b', 'zone-c'].map((zone, index) => new Worker({ id: `i-${index + 1}`, zone, controlAddresses: fleet.operatorAddresses, workMs: 400, record }))
let holds
try {
  holds = await play(fleet, workers)
} finally {
  for (const worker of workers) if (worker.server?.listening) worker.exit()
  await fleet.close()
}
record(holds === undefined ? 'not judged' : holds ? 'the rule held' : 'the rule was broken')
writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`)
process.exit(holds === undefined ? 2 : holds ? 0 : 1)
