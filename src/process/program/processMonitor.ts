/**
 * Measures how late the event loop runs its timers, and reports the CPU time and memory that the process uses.
 * @module
 */
import { LogEvents } from './logEvents.ts'
import { Counter, Latency, type Metrics, microsecondsPerMillisecond } from './metrics.ts'
import type { ProcessServices } from './processServices.ts'
import { bytesPerMebibyte } from './units.ts'

/** Interval between two measurements, in milliseconds. */
const measurementIntervalMs = 200

/** Delay from which the event loop counts as delayed, in milliseconds; a follower waits 700 ms for a heartbeat. */
const reportedDelayMs = 150

/** Interval between two reports of the resources used, in milliseconds. */
const resourceReportIntervalMs = 5_000

/**
 * Monitors the process until the signal aborts.
 * @param services - services of the process
 * @param signal - ends the task
 * @param recordBusy - called with the share of the time for which the process was busy, and with the time in milliseconds
 * @returns a promise that resolves when the task has ended
 */
export async function runProcessMonitor ({ clock, logger, metrics }: Omit<ProcessServices, 'lifecycle' | 'random'>, signal: AbortSignal, recordBusy: (busyShare: number, durationMs: number) => void = () => {}): Promise<void> {
  let utilization = performance.eventLoopUtilization()
  let reportedAt = clock.now()
  let longestDelayMs = 0
  let cpuAtReport = process.cpuUsage()
  let work = readWork(metrics)
  while (!signal.aborted) {
    const dueAt = clock.now() + measurementIntervalMs
    await clock.sleep(measurementIntervalMs, signal)
    if (signal.aborted) return
    const now = clock.now()
    const delayMs = Math.max(0, now - dueAt)
    metrics.record(Latency.EventLoopDelay, delayMs)
    const utilizationBefore = utilization
    utilization = performance.eventLoopUtilization()
    // A process that is kept from running is as busy as one that runs: its timers are late either way.
    const busyShare = Math.max(performance.eventLoopUtilization(utilization, utilizationBefore).utilization, delayMs / (measurementIntervalMs + delayMs))
    recordBusy(busyShare, measurementIntervalMs + delayMs)
    longestDelayMs = Math.max(longestDelayMs, delayMs)
    if (delayMs >= reportedDelayMs) logger.write(LogEvents.eventLoopDelayed, { value: Math.round(delayMs), inputs: describeMemory() })
    if (now - reportedAt < resourceReportIntervalMs) continue
    const { user, system } = process.cpuUsage(cpuAtReport)
    const cpuMs = Math.round((user + system) / microsecondsPerMillisecond)
    logger.write(LogEvents.resourcesUsed, { value: Math.round(now - reportedAt), inputs: { cpuMs, longestDelayMs: Math.round(longestDelayMs), ...describeMemory(), ...describeWork(metrics, work) } })
    reportedAt = now
    longestDelayMs = 0
    cpuAtReport = process.cpuUsage()
    work = readWork(metrics)
  }
}

/** Counters whose values are reported for each label, and the word that precedes the label in the report. */
const reportedLabels = [
  ['responses', Counter.Responses], ['unsent', Counter.UnsentResponses], ['unused', Counter.UnusedResponses], ['replaced connections', Counter.ReplacedConnections],
  ['failed calls', Counter.ControlCalls], ['failed replication', Counter.ReplicationFailures], ['entries', Counter.LogEntries]
] as const

/** Work since the start of the process, by name. */
type Work = ReadonlyMap<string, number>

function readWork (metrics: Metrics): Work {
  const work = new Map<string, number>([
    ['responses', metrics.sum(Counter.Responses)],
    ['responseBytes', metrics.sum(Counter.ResponseBytes)],
    ['encodingMs', metrics.sum(Counter.ResponseEncoding) / microsecondsPerMillisecond],
    ['tablesEncoded', metrics.sum(Counter.TablesEncoded)],
    ['plans', metrics.sum(Counter.BatchPlans)],
    ['planningMs', metrics.sum(Counter.BatchPlanning) / microsecondsPerMillisecond]
  ])
  for (const [word, counter] of reportedLabels) {
    for (const [label, value] of metrics.list(counter)) work.set(`${word} ${label}`, value)
  }
  return work
}

// Names only the kinds of work that were done since the last report.
function describeWork (metrics: Metrics, last: Work): Record<string, number> {
  const done: Record<string, number> = {}
  for (const [name, value] of readWork(metrics)) {
    const amount = Math.round(value - (last.get(name) ?? 0))
    if (amount > 0) done[name] = amount
  }
  return done
}

function describeMemory (): Record<string, number> {
  const { rss, heapUsed, external } = process.memoryUsage()
  return { residentMb: toMebibytes(rss), heapMb: toMebibytes(heapUsed), externalMb: toMebibytes(external) }
}

function toMebibytes (bytes: number): number {
  return Math.round(bytes / bytesPerMebibyte)
}
