/**
 * Kills a gateway while it passes on a stream that its worker sends without a length and without chunks, and checks that no
 * client gets the beginning of the stream as a complete answer.
 * @module
 */
import { randomBytes } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { createRecord, sleep, startFleet } from '../support/fleet.mjs'
import { publish, routeHost, send, startWorkers, streamEvents } from '../support/platform.mjs'

/** Whether the gateway is killed. */
const hasTrouble = process.env.TROUBLE !== '0'

/** Rounds, each with one kill. */
const rounds = 6

/** Time until the killed process is started again, and between two rounds, in milliseconds. */
const restartMs = 1_000
const roundMs = 4_000

/** Events of an answer, time between two of them in milliseconds, and events after which the gateway is killed. */
const events = 34
const eventIntervalMs = 30
const eventsBeforeKill = 10

/** Streams that a round has under way. */
const streams = 4

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)))

// The end of the connection ends the answer, which carries neither a length nor chunks.
function handle (run) {
  run.response.useChunkedEncodingByDefault = false
  run.response.removeHeader('keep-alive')
  run.response.setHeader('connection', 'close')
  run.response.once('close', () => record.add('run ended', { id: run.id, worker: run.worker.id }))
  streamEvents(run, events, eventIntervalMs)
}

function countEvents (text) {
  return text.split('\n').filter(line => line.startsWith('data: ')).length
}

async function kill (gateway) {
  record.add('gateway killed', { host: gateway.name })
  await gateway.end('SIGKILL')
  await sleep(restartMs)
  gateway.start()
}

// Returns the number of answers that end early and look complete.
async function runRound (address, gateway) {
  let received = ''
  let isKilled = !hasTrouble
  const answers = Array.from({ length: streams }, async (_, stream) => {
    const id = randomBytes(8).toString('hex')
    const answer = await send({
      address,
      method: 'POST',
      path: '/permit-confirm/school-12',
      headers: { host: routeHost, 'x-request-id': id, 'x-deadline-ms': '5000', 'x-model': 'm', 'x-token-usage': '450,40', 'content-length': 6 },
      body: 'prompt',
      timeoutMs: 6_000,
      onData (chunk) {
        if (stream === 0) received += chunk.toString()
        if (isKilled || countEvents(received) < eventsBeforeKill) return
        isKilled = true
        kill(gateway).catch(() => {})
      }
    })
    const { status, headers, text, isComplete } = answer
    const count = countEvents(text)
    record.add('request answered', { id, status, isComplete, events: count, length: headers['content-length'], encoding: headers['transfer-encoding'] })
    return status === 200 && isComplete && count < events
  })
  return (await Promise.all(answers)).filter(Boolean).length
}

const fleet = await startFleet(record)
let workers = []
let code = 2
try {
  workers = await startWorkers({ count: 6, controlAddresses: fleet.controlAddresses, record, handle })
  if (await publish(fleet.controlAddresses, record)) {
    await sleep(3_000)
    let broken = 0
    for (let round = 0; round < rounds; round++) {
      const nextAt = performance.now() + roundMs
      const index = round % fleet.gateways.length
      broken += await runRound(fleet.gatewayAddresses[index], fleet.gateways[index])
      await sleep(nextAt - performance.now())
    }
    record.add('ended', { broken })
    code = broken > 0 ? 1 : 0
  }
} catch (error) {
  record.add('could not run', { error: String(error) })
} finally {
  for (const worker of workers) worker.stop()
  await fleet.close()
  record.save()
}
process.exit(code)
