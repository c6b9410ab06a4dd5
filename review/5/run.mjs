/**
 * Sends a request with a long body that crashes each worker which begins to run it, again and again, and counts the copies that
 * reach workers after the third crash.
 * @module
 */
import { fileURLToPath } from 'node:url'
import { createRecord, sleep, startFleet } from '../support/fleet.mjs'
import { createCrashes, publish, sendLive, sendSoundRequests, startWorkers } from '../support/platform.mjs'

/** Whether the request crashes workers. */
const hasTrouble = process.env.TROUBLE !== '0'

/** Length of the body, in bytes; below `max_body_bytes`, 4,194,304. A short body shows that the same request is held back then. */
const bodyBytes = Number(process.env.BODY_BYTES ?? 270_000)

/** `contact_ms` of the sheet. */
const contactMs = 4_000

/** Retries that may reach workers later than `contactMs` after the third crash. */
const allowedRetries = 3

/** Time between two copies of the request, in milliseconds. */
const intervalMs = 1_500

const durationMs = 45_000
const marker = 'this body crashes the worker'
const path = '/site-check/school-7'

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)))
const crashes = createCrashes({ marker, record, isCrashing: hasTrouble })
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
    const body = marker.padEnd(bodyBytes, '.')
    const endAt = performance.now() + durationMs
    for (let copy = 0; performance.now() < endAt; copy++) {
      const { id, status, isComplete } = await sendLive({ address: addresses[copy % addresses.length], body, ownPart: 'e4402b7d:250', path })
      record.add('request answered', { id, status, isComplete })
      await sleep(intervalMs)
    }
    const late = crashes.countArrivalsAfter((crashes.times[2] ?? Infinity) + contactMs)
    record.add('ended', { reached: crashes.arrivals.length, crashes: crashes.times.length, reachedLate: late, soundAnswers: Object.fromEntries(sound.statuses) })
    code = late > allowedRetries ? 1 : crashes.arrivals.length > 0 ? 0 : 2
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
