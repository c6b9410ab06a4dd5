/**
 * Loaded into each program under measurement before its own modules: the signal SIGUSR2 starts a processor profile, the next
 * one ends it and writes it. Unlike a profile of the whole process it survives a later SIGKILL.
 * @module
 */
import { writeFileSync } from 'node:fs'
import { Session } from 'node:inspector'
import { join } from 'node:path'

const folder = process.env['PROFILE_FOLDER'] ?? '.'
const name = process.env['PROFILE_NAME'] ?? String(process.pid)
let session
let usageAtStart
let count = 0

process.on('SIGUSR2', () => {
  if (session === undefined) {
    session = new Session()
    session.connect()
    session.post('Profiler.enable')
    session.post('Profiler.start')
    usageAtStart = process.cpuUsage()
    return
  }
  const ended = session
  const usage = process.cpuUsage(usageAtStart)
  session = undefined
  ended.post('Profiler.stop', (error, result) => {
    if (error === null) writeFileSync(join(folder, `${name}.${count++}.${process.pid}.cpuprofile`), JSON.stringify({ ...result.profile, usage }))
    ended.disconnect()
  })
})
