/**
 * Measures how late the event loop runs its timers, and reports the CPU time and memory that the process uses.
 * @module
 */
import { LogEvents } from './logEvents.ts'
import { Counter, Latency, type Metrics, microsecondsPerMillisecond } from './metrics.ts'
import type { ProcessServices } from './processServices.ts'

/** Interval between two measurements, in milliseconds. */
const measurementIntervalMs = 200

/** Delay from which the event loop counts as delayed, in milliseconds; a follower waits 700 ms for a heartbeat. */
const reportedDelayMs = 150

/** Interval between two reports of the resources used, in milliseconds. */
const resourceReportIntervalMs = 5_000

const bytesPerMebibyte = 1024 * 1024

/**
 * Monitors the process until the signal aborts.
 * @param services - services of the process
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runProcessMonitor ({ clock, logger, metrics }: Omit<ProcessServices, 'lifecycle' | 'random'>, signal: AbortSignal): Promise<void> {
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

/** Work for other hosts since the start of the process. */
interface Work {
  readonly responses: number
  readonly responseBytes: number
  readonly encodingMs: number
  readonly tablesEncoded: number
}

function readWork (metrics: Metrics): Work {
  return {
    responses: metrics.sum(Counter.Responses),
    responseBytes: metrics.sum(Counter.ResponseBytes),
    encodingMs: metrics.sum(Counter.ResponseEncoding) / microsecondsPerMillisecond,
    tablesEncoded: metrics.sum(Counter.TablesEncoded)
  }
}

// Empty for a process that has sent no response to another host since the last report.
function describeWork (metrics: Metrics, last: Work): Record<string, number> {
  const work = readWork(metrics)
  const responses = work.responses - last.responses
  if (responses === 0) return {}
  return {
    responses,
    responseBytes: work.responseBytes - last.responseBytes,
    encodingMs: Math.round(work.encodingMs - last.encodingMs),
    tablesEncoded: work.tablesEncoded - last.tablesEncoded
  }
}

function describeMemory (): Record<string, number> {
  const { rss, heapUsed, external } = process.memoryUsage()
  return { residentMb: toMebibytes(rss), heapMb: toMebibytes(heapUsed), externalMb: toMebibytes(external) }
}

function toMebibytes (bytes: number): number {
  return Math.round(bytes / bytesPerMebibyte)
}
