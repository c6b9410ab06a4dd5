/**
 * Kills the leading control host while executors report failed runs of items, and checks that no item is listed as errored
 * before `max_attempts` answers of 500.
 * @module
 */
import { fileURLToPath } from 'node:url'
import { createRecord, sleep, startFleet } from '../support/fleet.mjs'
import { createItems, publish, readResults, startWorkers, streamEvents, submitJob } from '../support/platform.mjs'

/** Whether the leader is killed. */
const hasTrouble = process.env.TROUBLE !== '0'

/** `max_attempts` of the route. */
const maxAttempts = 3

/** Rounds: each has one job that can never be done among twenty, and one kill. */
const rounds = 7

/** Time between the starts of two rounds, in milliseconds; longer than `catchup_s` after the killed process is back. */
const roundMs = 11_000

/** Time until a killed process is started again, in milliseconds. */
const restartMs = 1_000

const itemsPerJob = 24
const soundJobs = 19
const soundEvents = 10
const eventIntervalMs = 5

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)))
const failedRuns = new Map()
let onFailure = () => {}

function handle (run) {
  const { id, path, response, worker, body } = run
  if (body.toString() !== 'undoable') return streamEvents(run, soundEvents, eventIntervalMs)
  setTimeout(() => {
    if (response.destroyed) return
    failedRuns.set(id, (failedRuns.get(id) ?? 0) + 1)
    record.add('500 answered', { item: id, path, worker: worker.id, count: failedRuns.get(id) })
    response.writeHead(500, { 'content-length': 0 })
    response.end()
    onFailure()
  }, 100 + Math.random() * 200)
}

async function killLeader (fleet) {
  const leader = fleet.findLeader()
  if (leader === undefined) return record.add('no leader to kill')
  leader.child.kill('SIGKILL')
  record.add('leader killed', { host: leader.name })
  leader.isLeader = false
  await sleep(restartMs)
  leader.start()
}

async function runRound (round, fleet) {
  const { gatewayAddresses } = fleet
  const undoable = `undoable-${round}`
  const killAt = 1 + Math.floor(Math.random() * (itemsPerJob - 2))
  let failures = 0
  onFailure = () => {
    failures++
    if (hasTrouble && failures === killAt) setTimeout(() => { killLeader(fleet).catch(() => {}) }, Math.random() * 8)
  }
  await submitJob({ id: undoable, items: createItems(undoable, itemsPerJob, 'undoable'), gatewayAddresses, record })
  for (let job = 0; job < soundJobs; job++) {
    const id = `sound-${round}-${job}`
    await submitJob({ id, items: createItems(id, itemsPerJob, 'sound'), gatewayAddresses, record })
  }
}

// Returns the number of items that are listed as errored too early.
async function countBroken (fleet, listed) {
  let broken = 0
  for (let round = 0; round < rounds; round++) {
    const page = await readResults({ id: `undoable-${round}`, gatewayAddresses: fleet.gatewayAddresses })
    for (const { id, state } of page?.results ?? []) {
      if (listed.has(id)) continue
      listed.set(id, state)
      const count = failedRuns.get(id) ?? 0
      record.add('result listed', { item: id, state, answersOf500: count })
      if (state !== 'errored' || count < maxAttempts) broken++
    }
  }
  return broken
}

const fleet = await startFleet(record)
let workers = []
let code = 2
try {
  workers = await startWorkers({ count: 6, controlAddresses: fleet.controlAddresses, record, handle })
  if (await publish(fleet.controlAddresses, record)) {
    await sleep(3_000)
    const listed = new Map()
    let broken = 0
    for (let round = 0; round < rounds && broken === 0; round++) {
      const nextAt = performance.now() + roundMs
      await runRound(round, fleet)
      while (performance.now() < nextAt && broken === 0) {
        await sleep(300)
        broken += await countBroken(fleet, listed)
      }
    }
    record.add('ended', { listed: listed.size, broken })
    code = broken > 0 ? 1 : listed.size > 0 ? 0 : 2
  }
} catch (error) {
  record.add('could not run', { error: String(error) })
} finally {
  for (const worker of workers) worker.stop()
  await fleet.close()
  record.save()
}
process.exit(code)
