/**
 * A control host loses its disk, and loses it again as it rejoins. Seconds after it is back, another control host loses its disk.
 * Checks that the configuration and the job that were acknowledged can be read afterwards.
 * @module
 */
import { fileURLToPath } from 'node:url'
import { createRecord, sleep, startFleet } from '../support/fleet.mjs'
import { callControl, createItems, publish, readResults, startWorkers, streamEvents, submitJob } from '../support/platform.mjs'

/** Whether disks are lost. */
const hasTrouble = process.env.TROUBLE !== '0'

/** Time for which a host that loses its disk is down, in milliseconds; the sheet names 3 s. */
const downMs = 1_000

/** Time from the return of a host to the next loss, in milliseconds; longer than `catchup_s`, 4.6 s. */
const catchUpMs = 7_000

/** `recover_s` of the sheet, in milliseconds. */
const recoverMs = 12_000

/** Time for which reads are tried at the end, in milliseconds; longer than `contact_ms`. */
const readMs = 8_000

/** Rounds of two losses of one host, until the second one comes as the host is about to be a full member again. */
const rounds = 4

const job = 'briefings-of-today'
const items = 10
const events = 20
const eventIntervalMs = 5

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)))

// Resolves once the leader has added a host that returned with an empty disk to its group, as a member that doesn't vote yet.
function waitForLearner (leader, host) {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, 10_000)
    leader.onMembers = detail => {
      if (!detail.includes(`${host.ip}:`) || !/ learner/.test(detail)) return
      clearTimeout(timer)
      leader.onMembers = undefined
      resolve()
    }
  })
}

// Returns whether the leader made the host a voter after it had lost its disk again.
async function loseDiskTwice (leader, host) {
  let isPromoted = false
  const added = waitForLearner(leader, host)
  await host.loseDisk(downMs)
  await added
  leader.onMembers = detail => {
    record.add('members', { leader: leader.name, detail })
    if (!detail.includes('learner')) isPromoted = true
  }
  await sleep(40 + Math.random() * 80)
  const wasPromoted = isPromoted
  await host.loseDisk(downMs)
  return !wasPromoted && isPromoted
}

async function readAll (fleet) {
  const { status, text } = await callControl(fleet.controlAddresses, { method: 'GET', path: '/v1/config' })
  const page = await readResults({ id: job, gatewayAddresses: fleet.gatewayAddresses })
  record.add('read', { configuration: status, results: page?.results.length })
  return { hasConfiguration: status === 200 && JSON.parse(text).version === 7, hasResults: page?.results.length === items }
}

async function waitForResults (fleet, timeoutMs) {
  const deadline = performance.now() + timeoutMs
  const seen = { hasConfiguration: false, hasResults: false }
  while (performance.now() < deadline && !(seen.hasConfiguration && seen.hasResults)) {
    const { hasConfiguration, hasResults } = await readAll(fleet)
    seen.hasConfiguration ||= hasConfiguration
    seen.hasResults ||= hasResults
    await sleep(300)
  }
  return seen.hasConfiguration && seen.hasResults
}

async function loseDisks (fleet) {
  for (let round = 0; round < rounds; round++) {
    const leader = fleet.findLeader()
    const [host, other] = fleet.controls.filter(control => control !== leader)
    if (leader === undefined) return
    const isHit = await loseDiskTwice(leader, host)
    await sleep(catchUpMs)
    if (!isHit) continue
    await other.loseDisk(downMs)
    return
  }
}

const fleet = await startFleet(record)
let workers = []
let code = 2
try {
  workers = await startWorkers({ count: 6, controlAddresses: fleet.controlAddresses, record, handle: run => streamEvents(run, events, eventIntervalMs) })
  const isPublished = await publish(fleet.controlAddresses, record)
  await sleep(2_000)
  const isAccepted = isPublished && await submitJob({ id: job, items: createItems(job, items, 'sound'), gatewayAddresses: fleet.gatewayAddresses, record })
  if (isAccepted && await waitForResults(fleet, 15_000)) {
    record.add('read before the losses')
    if (hasTrouble) await loseDisks(fleet)
    await sleep(recoverMs)
    const isReadable = await waitForResults(fleet, readMs)
    record.add('ended', { isReadable })
    code = isReadable ? 0 : 1
  }
} catch (error) {
  record.add('could not run', { error: String(error) })
} finally {
  for (const worker of workers) worker.stop()
  await fleet.close()
  record.save()
}
process.exit(code)
