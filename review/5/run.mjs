/**
 * Sends a request that crashes each worker which begins to run it, again and again, and kills the leading control host between
 * its crashes. Counts the copies that reach workers after the third crash.
 * @module
 */
import { fileURLToPath } from 'node:url'
import { createRecord, sleep, startFleet } from '../support/fleet.mjs'
import { createCrashes, publish, sendLive, sendSoundRequests, startWorkers } from '../support/platform.mjs'

/** Whether the leader is killed. */
const hasTrouble = process.env.TROUBLE !== '0'

/** `contact_ms` of the sheet. */
const contactMs = 4_000

/** Retries that may reach workers later than `contactMs` after the third crash. */
const allowedRetries = 3

/** Time between two copies of the request, in milliseconds. */
const intervalMs = 5_000

/** Crashes after which the leader is killed, and the time from the crash to the kill, in milliseconds. */
const crashesBeforeKill = 2
const killDelayMs = 2_000

/** Time until the killed process is started again, in milliseconds. */
const restartMs = 1_000

const durationMs = 72_000
const marker = 'this body crashes the worker'
const path = '/visit-confirm/school-12'

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)))
const crashes = createCrashes({ marker, record, isCrashing: true })

async function killLeader (fleet) {
  const leader = fleet.findLeader()
  if (leader === undefined) return record.add('no leader to kill')
  record.add('leader killed', { host: leader.name })
  await leader.end('SIGKILL')
  await sleep(restartMs)
  leader.start()
}

const fleet = await startFleet(record)
const sound = { isEnded: false, statuses: new Map() }
let workers = []
let code = 2
try {
  workers = await startWorkers({ count: 6, controlAddresses: fleet.controlAddresses, record, handle: crashes.handle })
  if (await publish(fleet.controlAddresses, record)) {
    await sleep(contactMs)
    const addresses = fleet.gatewayAddresses
    sendSoundRequests(addresses, sound).catch(() => {})
    const endAt = performance.now() + durationMs
    let isKilled = !hasTrouble
    for (let copy = 0; performance.now() < endAt; copy++) {
      const { id, status, isComplete } = await sendLive({ address: addresses[copy % addresses.length], body: marker, ownPart: 'e4402b7d:250', path })
      record.add('request answered', { id, status, isComplete })
      const nextAt = performance.now() + intervalMs
      if (!isKilled && crashes.times.length >= crashesBeforeKill) {
        isKilled = true
        await sleep(killDelayMs)
        await killLeader(fleet)
      }
      await sleep(nextAt - performance.now())
    }
    const late = crashes.countArrivalsAfter((crashes.times[2] ?? Infinity) + contactMs)
    record.add('ended', { reached: crashes.arrivals.length, crashes: crashes.times.length, reachedLate: late, soundAnswers: Object.fromEntries(sound.statuses) })
    code = late > allowedRetries ? 1 : crashes.times.length > 2 ? 0 : 2
  }
} catch (error) {
  record.add('could not run', { error: String(error) })
} finally {
  sound.isEnded = true
  for (const worker of workers) if (worker.isUp) worker.stop()
  await fleet.close()
  record.save()
}
process.exit(code)
