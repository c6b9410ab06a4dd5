/**
 * Prints the results of the benchmark: the figures of all runs, and whether each goal is met.
 * @module
 */
import { quantiles } from './load.ts'

/** Results of one run. */
export interface RunReport {
  readonly name: string
  readonly firstTokenMs: Record<string, number> | undefined
  readonly betweenTokensMs: Record<string, number> | undefined
  readonly requests: number
  /** Number of live requests by outcome. */
  readonly ends: Record<string, number>
  readonly itemsPerSecond: number
  /** Share of server time without a live request, from 0 to 1. */
  readonly idleShare: number
  /** Arrivals of live requests while only batch streams ran, and quantiles of the milliseconds until these had ended. */
  readonly yield: { readonly arrivals: number, readonly quantiles: Record<string, number> }
  readonly counters: Record<string, number>
}

/** Results of all runs, with the parameters of the load and of the engines. */
export interface Report {
  readonly shape: object
  readonly engine: object
  readonly backendServers: number
  readonly batchConcurrency: number
  readonly liveTokens: number
  readonly itemTokens: number
  readonly runs: readonly RunReport[]
}

interface Goal {
  readonly text: string
  readonly goal: number
  readonly figure: number
  readonly met: boolean
}

// The goals are the performance targets of docs/design.md, section 11.
const yieldGoalMs = 50

/**
 * Prints the report.
 * @param report - results of the benchmark
 */
export function printReport (report: Report): void {
  console.log('live latency in ms; batch in items per second; yield in ms from the arrival of a live request at a backend server without others')
  for (const run of report.runs) {
    console.log(`\n${run.name}`)
    console.log(`  to first token   ${formatQuantiles(run.firstTokenMs)}   requests ${run.requests}`)
    console.log(`  between tokens   ${formatQuantiles(run.betweenTokensMs)}`)
    console.log(`  batch            ${run.itemsPerSecond.toFixed(1)}`)
    console.log(`  yield            ${formatQuantiles(run.yield.quantiles)}   arrivals during batch ${run.yield.arrivals}`)
    console.log(`  live ends        ${JSON.stringify(run.ends)}`)
    for (const [name, value] of Object.entries(run.counters)) console.log(`  ${name} ${value}`)
  }
  console.log('\ngoals')
  for (const goal of evaluateGoals(report)) {
    console.log(`  ${goal.met ? 'met   ' : 'missed'}  ${goal.text}: goal ${goal.goal}, figure ${goal.figure.toFixed(3)}`)
  }
}

function evaluateGoals (report: Report): Goal[] {
  const liveAlone = findRun(report, 'live alone')
  const batchAlone = findRun(report, 'batch alone')
  const goals: Goal[] = []
  for (const [name, delayGoal, batchGoal] of [['latency', 1.05, 0.85], ['throughput', 1.15, 0.95]] as const) {
    const run = findRun(report, name)
    const delay = (run.firstTokenMs?.['p99'] ?? NaN) / (liveAlone.firstTokenMs?.['p99'] ?? NaN)
    // Capacity left by live requests: the share of server time without any of them in the run with live alone.
    const batch = run.itemsPerSecond / (batchAlone.itemsPerSecond * liveAlone.idleShare)
    goals.push({ text: `${name}: p99 to first token against live alone`, goal: delayGoal, figure: delay, met: delay <= delayGoal })
    goals.push({ text: `${name}: batch against the capacity that live leaves`, goal: batchGoal, figure: batch, met: batch >= batchGoal })
  }
  const yieldMs = findRun(report, 'latency').yield.quantiles['p99'] ?? NaN
  goals.push({ text: 'latency: p99 until batch has yielded, in ms', goal: yieldGoalMs, figure: yieldMs, met: yieldMs <= yieldGoalMs })
  return goals
}

function findRun (report: Report, name: string): RunReport {
  const found = report.runs.find(run => run.name === name)
  if (found === undefined) throw new Error(`the report has no run named '${name}'`)
  return found
}

function formatQuantiles (values: Record<string, number> | undefined): string {
  if (values === undefined) return '-'
  return quantiles.map(quantile => `p${quantile} ${(values[`p${quantile}`] ?? NaN).toFixed(1)}`).join('  ')
}
