/**
 * Holds processes to a share of a core: a process that has used up its quota of a period is stopped until the next period.
 * Runs in a thread of its own, whose event loop is not delayed by load.
 * @module
 */
import { readdirSync, readFileSync } from 'node:fs'
import { parentPort, workerData } from 'node:worker_threads'

const periodMs = 100
const checkIntervalMs = 4
const nanosecondsPerMillisecond = 1e6

/** Processes by id, with the time used at the start of the period. */
const processes = new Map()
const quotaMs = workerData.share * periodMs

function readUsedMs (pid) {
  let used = 0
  for (const task of readdirSync(`/proc/${pid}/task`)) {
    used += Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0])
  }
  return used / nanosecondsPerMillisecond
}

function check (pid, record, isNewPeriod) {
  try {
    const used = readUsedMs(pid)
    if (isNewPeriod) {
      // What a period was exceeded by is taken from the next one.
      record.allowedMs = Math.max(used, Math.min(record.allowedMs, used)) + quotaMs - Math.max(0, Math.min(quotaMs, used - record.allowedMs))
      if (record.isStopped) process.kill(pid, 'SIGCONT')
      record.isStopped = false
    }
    if (!record.isStopped && used >= record.allowedMs) {
      record.isStopped = true
      process.kill(pid, 'SIGSTOP')
    }
  } catch {
    // The process has ended.
    processes.delete(pid)
  }
}

parentPort.on('message', pids => {
  for (const [pid, record] of processes) if (record.isStopped) try { process.kill(pid, 'SIGCONT') } catch {}
  processes.clear()
  for (const pid of pids) processes.set(pid, { allowedMs: Infinity, isStopped: false })
})

let periodStart = performance.now()
setInterval(() => {
  const now = performance.now()
  const isNewPeriod = now - periodStart >= periodMs
  if (isNewPeriod) periodStart += Math.floor((now - periodStart) / periodMs) * periodMs
  for (const [pid, record] of processes) check(pid, record, isNewPeriod)
}, checkIntervalMs)
