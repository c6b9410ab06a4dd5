import { expect } from 'chai'
import { mkdtemp, rename, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { eventually } from '../scripts/processes.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { type FleetSettings, readFleetSettings } from '../src/process/fleet/fleetSettings.ts'
import { runSettingsReload, settingsCheckIntervalMs } from '../src/process/fleet/settingsReload.ts'
import { LogEvents } from '../src/process/program/logEvents.ts'
import type { LogFields } from '../src/process/program/logger.ts'

const initialSettings = {
  role: 'gateway',
  host: 'host-a',
  availabilityZone: 'zone-a',
  region: 'region-a',
  seeds: '127.0.0.1:7000',
  controlPort: 7100,
  callerAddress: '127.0.0.1:7001',
  graceSeconds: 8
}

describe('settings reload', () => {
  let folder: string
  let path: string
  let settings: FleetSettings
  let loggedEvents: Array<{ readonly number: number, readonly subject: LogFields | undefined }>
  const requested = createCondition()
  let reloadAbort: AbortController
  let reloadTask: Promise<void>

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'jaychute-'))
    path = join(folder, 'settings.json')
    await writeFile(path, JSON.stringify(initialSettings))
    settings = readFleetSettings(path, {})._unsafeUnwrap()
    loggedEvents = []
    reloadAbort = new AbortController()
    const logger = { write: (event: { readonly number: number }, subject?: LogFields) => { loggedEvents.push({ number: event.number, subject }) } }
    reloadTask = runSettingsReload({ path, flags: {}, settings, requested, logger }, reloadAbort.signal)
    // Leaves time for the first check of the file, which later checks are compared with.
    await new Promise(resolve => setTimeout(resolve, 100))
  })

  afterEach(async () => {
    reloadAbort.abort()
    await reloadTask
    await rm(folder, { recursive: true })
  })

  async function replaceFile (change: object): Promise<void> {
    await writeFile(`${path}.next`, JSON.stringify({ ...initialSettings, ...change }))
    await rename(`${path}.next`, path)
  }

  // Failure: a changed file was not read without a signal, and with a signal it was only validated.
  it('applies the reloadable settings of a file that is replaced without a signal', async () => {
    await replaceFile({ graceSeconds: 20, seeds: '127.0.0.1:7500', host: 'host-b' })
    await eventually('the new settings', settingsCheckIntervalMs * 2, () => settings.graceSeconds === 20 ? true : undefined)
    expect(settings.seeds).to.deep.equal(['127.0.0.1:7500'])
    expect(settings.host).to.equal('host-a')
    expect(loggedEvents).to.deep.equal([{ number: LogEvents.settingsReloaded.number, subject: { inputs: { applied: 'seeds graceSeconds', fromNextStart: 'host' } } }])
  })

  // Guards against a signal that has no effect before the next periodic check.
  it('reads the file at once on request', async () => {
    await replaceFile({ graceSeconds: 20 })
    requested.notify()
    await eventually('the new settings', settingsCheckIntervalMs / 2, () => settings.graceSeconds === 20 ? true : undefined)
  })

  // Guards against an invalid file that stops the host or replaces valid settings without a log event.
  it('keeps its settings when the new file is invalid, and logs why', async () => {
    await replaceFile({ graceSeconds: 'soon' })
    requested.notify()
    await eventually('the log line', settingsCheckIntervalMs / 2, () => loggedEvents.length > 0 ? true : undefined)
    expect(settings.graceSeconds).to.equal(8)
    expect(loggedEvents[0]?.number).to.equal(LogEvents.settingsRefused.number)
    expect(loggedEvents[0]?.subject?.detail).to.include('graceSeconds')
  })
})
