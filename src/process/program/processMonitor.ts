/**
 * Measures how late the event loop runs its timers, and reports the CPU time and memory that the process uses.
 * @module
 */
import { LogEvents } from './logEvents.ts'
import { Latency } from './metrics.ts'
import type { ProcessServices } from './processServices.ts'

/** Interval between two measurements, in milliseconds. */
const measurementIntervalMs = 200

/** Delay from which the event loop counts as delayed, in milliseconds; a follower waits 700 ms for a heartbeat. */
const reportedDelayMs = 150

/** Interval between two reports of the resources used, in milliseconds. */
const resourceReportIntervalMs = 5_000

const bytesPerMebibyte = 1024 * 1024
const microsecondsPerMillisecond = 1_000

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
    logger.write(LogEvents.resourcesUsed, { value: Math.round(now - reportedAt), inputs: { cpuMs, longestDelayMs: Math.round(longestDelayMs), ...describeMemory() } })
    reportedAt = now
    longestDelayMs = 0
    cpuAtReport = process.cpuUsage()
  }
}

function describeMemory (): Record<string, number> {
  const { rss, heapUsed, external } = process.memoryUsage()
  return { residentMb: toMebibytes(rss), heapMb: toMebibytes(heapUsed), externalMb: toMebibytes(external) }
}

function toMebibytes (bytes: number): number {
  return Math.round(bytes / bytesPerMebibyte)
}
