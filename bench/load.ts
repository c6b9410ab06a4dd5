/**
 * Generates the load of the benchmark: live requests in an open loop, each timed from its intended start, so that stalls of
 * the system or of the benchmark itself are included in the latencies.
 * @module
 */
import * as hdr from 'hdr-histogram-js'
import { createSeededRandom } from '../src/process/program/random.ts'

/** Length of a run and rates of its requests, with one burst. Times count from the start of the run. */
export interface LoadShape {
  readonly seed: number
  readonly durationMs: number
  readonly perSecond: number
  readonly burstFromMs: number
  readonly burstToMs: number
  /** Rate added to `perSecond` during the burst. */
  readonly burstPerSecond: number
}

/** Latencies and outcomes of the live requests of one run. */
export interface LiveFigures {
  readonly firstToken: hdr.Histogram
  readonly betweenTokens: hdr.Histogram
  /** Number of requests by outcome. */
  readonly ends: Record<string, number>
}

/** Sends one live request, calls `onToken` for each token and returns the outcome. */
export type LiveSender = (number: number, onToken: () => void) => Promise<string>

/** Quantiles that are reported. */
export const quantiles = [50, 95, 99, 99.9] as const

const microsecondsPerMillisecond = 1000

/**
 * Draws the intended starts from a Poisson process whose rate is higher during the burst. The same seed gives the same
 * starts, so that the runs of one benchmark differ only in how requests are served.
 * @param shape - rates and length of the run
 * @returns starts in milliseconds from the start of the run
 */
export function drawStarts (shape: LoadShape): number[] {
  const random = createSeededRandom(shape.seed)
  const starts: number[] = []
  let at = 0
  while (true) {
    const inBurst = at >= shape.burstFromMs && at < shape.burstToMs
    const rate = shape.perSecond + (inBurst ? shape.burstPerSecond : 0)
    at += -Math.log(1 - random.next()) * 1000 / rate
    if (at >= shape.durationMs) return starts
    starts.push(at)
  }
}

/**
 * Sends live requests at their intended starts, whether or not earlier ones have ended, and waits until all have ended.
 * @param shape - rates and length of the run
 * @param send - sends one request
 * @returns latencies and outcomes
 */
export async function runLiveLoad (shape: LoadShape, send: LiveSender): Promise<LiveFigures> {
  const figures: LiveFigures = { firstToken: createHistogram(), betweenTokens: createHistogram(), ends: {} }
  const startedAt = performance.now()
  const pending: Array<Promise<void>> = []
  for (const [number, start] of drawStarts(shape).entries()) {
    const intendedAt = startedAt + start
    const remainingMs = intendedAt - performance.now()
    if (remainingMs > 0) await new Promise(resolve => setTimeout(resolve, remainingMs))
    pending.push(timeRequest(number, intendedAt, send, figures))
  }
  const remainingMs = startedAt + shape.durationMs - performance.now()
  if (remainingMs > 0) await new Promise(resolve => setTimeout(resolve, remainingMs))
  await Promise.all(pending)
  return figures
}

async function timeRequest (number: number, intendedAt: number, send: LiveSender, figures: LiveFigures): Promise<void> {
  let lastAt: number | undefined
  const end = await send(number, () => {
    const now = performance.now()
    if (lastAt === undefined) record(figures.firstToken, now - intendedAt)
    else record(figures.betweenTokens, now - lastAt)
    lastAt = now
  })
  figures.ends[end] = (figures.ends[end] ?? 0) + 1
}

/**
 * Reads the reported quantiles of a histogram.
 * @param histogram - latencies
 * @returns latencies in milliseconds, by name of the quantile, such as p99
 */
export function readQuantiles (histogram: hdr.Histogram): Record<string, number> {
  const values: Record<string, number> = {}
  for (const quantile of quantiles) values[`p${quantile}`] = histogram.getValueAtPercentile(quantile) / microsecondsPerMillisecond
  return values
}

/**
 * Creates an empty histogram of latencies in microseconds.
 * @returns the histogram
 */
export function createHistogram (): hdr.Histogram {
  return hdr.build({ numberOfSignificantValueDigits: 3, autoResize: true })
}

/**
 * Records a latency.
 * @param histogram - histogram that {@link createHistogram} returned
 * @param durationMs - latency, in milliseconds
 */
export function record (histogram: hdr.Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs * microsecondsPerMillisecond)))
}
