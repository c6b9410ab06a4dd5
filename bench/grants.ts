/**
 * Measures the grants per second of the state machine alone, without replication, by the number of open jobs.
 *
 * Usage: npx tsx bench/grants.ts [RESULT_FILE], by default bench/results/grants.json
 * @module
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { CommandKind, Ending, type Grant, OutcomeKind, Priority } from '../src/process/state/commands.ts'
import { applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { poolSchema, routeSchema } from '../src/version/tables.ts'

/** Numbers of open jobs to measure; 8,600 is the design target. */
const openJobCounts = [10, 1_000, 8_600] as const

/** Maximum duration of the measurement of one size, in milliseconds. */
const maxDurationMs = 3_000

/** Maximum number of grants in one measurement. */
const maxGrants = 50_000

/** Number of items requested in one claim. */
const itemsPerClaim = 8

/** Number of accounts that the jobs are spread over: about 13 open jobs each at the design target. */
const accountCount = 670

/** Minimum number of items of a job. Jobs have more when there are few of them, so that {@link maxGrants} items exist. */
const minItemsPerJob = 20

/** Input of each item, 60 characters. */
const inputText = 'sheet '.repeat(10)

interface Measurement {
  readonly openJobs: number
  readonly grants: number
  readonly grantsPerSecond: number
}

function createFilledState (openJobs: number): ControlState {
  const state = createControlState()
  const tables = { routes: [routeSchema.parse({ name: 'sheets', pool: 'sheets' })], pools: [poolSchema.parse({ name: 'sheets' })] }
  applyCommand(state, { kind: CommandKind.Apply, operation: 'bench', expected: 0, tables })
  applyCommand(state, { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'h', expected: 0 })
  const count = Math.max(minItemsPerJob, Math.ceil(maxGrants / openJobs))
  for (let number = 0; number < openJobs; number++) {
    const upload = `job-${number}`
    const account = `account-${number % accountCount}`
    const items = Array.from({ length: count }, (_, position) => ({
      name: `item-${position}`, input: inputText, maxTokens: 64, priority: position % 4 === 0 ? Priority.RoundSheet : Priority.Ordinary
    }))
    applyCommand(state, { kind: CommandKind.OpenUpload, upload, account, key: upload, route: 'sheets', due: (number % 7) * 3_600_000, time: 0 })
    applyCommand(state, { kind: CommandKind.AppendItems, upload, sequence: 0, items, time: 0 })
    applyCommand(state, { kind: CommandKind.Seal, upload, account, key: upload, digest: upload, count, time: 0 } as Parameters<typeof applyCommand>[1])
  }
  return state
}

function measure (openJobs: number): Measurement {
  const state = createFilledState(openJobs)
  const inFlight: Grant[] = []
  let grants = 0
  let sequence = 0
  const startedAt = performance.now()
  while (performance.now() - startedAt < maxDurationMs && grants < maxGrants) {
    sequence++
    const outcome = applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 1, sequence, pool: 'sheets', count: itemsPerClaim })
    if (outcome.kind !== OutcomeKind.Grants || outcome.grants.length === 0) break
    grants += outcome.grants.length
    inFlight.push(...outcome.grants)
    // Completes the oldest grants beyond this number, so that the items in flight stay at about 1,000.
    if (inFlight.length < 1_000) continue
    const completions = inFlight.splice(0, itemsPerClaim).map(({ job, position, grant }) => ({ job, position, grant, ending: Ending.Done, result: 'x' }))
    applyCommand(state, { kind: CommandKind.Complete, completions })
  }
  const seconds = (performance.now() - startedAt) / 1_000
  return { openJobs, grants, grantsPerSecond: Math.round(grants / seconds) }
}

const file = process.argv[2] ?? 'bench/results/grants.json'
const measurements = openJobCounts.map(measure)
await mkdir(new URL('results/', import.meta.url), { recursive: true })
await writeFile(file, `${JSON.stringify({ node: process.version, claimCount: itemsPerClaim, measurements }, undefined, 2)}\n`)
process.stdout.write(`${JSON.stringify(measurements)}\n`)
