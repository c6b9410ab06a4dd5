/**
 * The load of the benchmark: an open loop of live requests, each timed from its intended start, so that a stall of the
 * system or of the benchmark itself shows in the figures.
 * @module
 */
import * as hdr from 'hdr-histogram-js'
import { createSeededRandom } from '../src/process/program/random.ts'

/** Rates and length of one run. */
export interface LoadShape {
  readonly seed: number
  readonly durationMs: number
  readonly perSecond: number
  readonly burstFromMs: number
  readonly burstToMs: number
  readonly burstPerSecond: number
}

/** Latencies and ends of the live requests of one run. */
export interface LiveFigures {
  readonly firstToken: hdr.Histogram
  readonly betweenTokens: hdr.Histogram
  /** Requests by how they ended. */
  readonly ends: Record<string, number>
}

/** Runs one live request. It calls `receive` for each token and returns how the request ended. */
export type LiveSender = (number: number, receive: () => void) => Promise<string>

/** Quantiles that are reported. */
export const quantiles = [50, 95, 99, 99.9] as const

const microsecondsPerMillisecond = 1000

/**
 * Draws the intended starts: a Poisson process with a burst on top. The same seed gives the same starts, so that the
 * runs of one benchmark differ only in what serves them.
 * @param shape - rates and length
 * @returns milliseconds from the start of the run
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
 * Sends live requests at their intended starts, whether or not earlier ones have ended.
 * @param shape - rates and length
 * @param send - runs one request
 * @returns the figures, once every request has ended
 */
export async function runLiveLoad (shape: LoadShape, send: LiveSender): Promise<LiveFigures> {
  const figures: LiveFigures = { firstToken: createHistogram(), betweenTokens: createHistogram(), ends: {} }
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  for (const [number, start] of drawStarts(shape).entries()) {
    const intended = startedAt + start
    const leftMs = intended - performance.now()
    if (leftMs > 0) await new Promise(resolve => setTimeout(resolve, leftMs))
    running.push(runOne(number, intended, send, figures))
  }
  const leftMs = startedAt + shape.durationMs - performance.now()
  if (leftMs > 0) await new Promise(resolve => setTimeout(resolve, leftMs))
  await Promise.all(running)
  return figures
}

async function runOne (number: number, intended: number, send: LiveSender, figures: LiveFigures): Promise<void> {
  let lastAt: number | undefined
  const end = await send(number, () => {
    const now = performance.now()
    if (lastAt === undefined) record(figures.firstToken, now - intended)
    else record(figures.betweenTokens, now - lastAt)
    lastAt = now
  })
  figures.ends[end] = (figures.ends[end] ?? 0) + 1
}

/**
 * Reads the reported quantiles.
 * @param histogram - latencies
 * @returns milliseconds by quantile
 */
export function readQuantiles (histogram: hdr.Histogram): Record<string, number> {
  const values: Record<string, number> = {}
  for (const quantile of quantiles) values[`p${quantile}`] = histogram.getValueAtPercentile(quantile) / microsecondsPerMillisecond
  return values
}

/**
 * Creates an empty histogram in microseconds.
 * @returns the histogram
 */
export function createHistogram (): hdr.Histogram {
  return hdr.build({ numberOfSignificantValueDigits: 3, autoResize: true })
}

/**
 * Records a latency.
 * @param histogram - where
 * @param durationMs - milliseconds
 */
export function record (histogram: hdr.Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs * microsecondsPerMillisecond)))
}
