/**
 * Simulates how evenly load spreads when each entry host knows only a subset of the backend servers of each pool in its
 * availability zone. Compares subsets drawn by rendezvous hashing with subsets assigned in rounds, where each round assigns
 * every backend server once. Writes bench/results/subset.json.
 *
 * Usage: npx tsx bench/subset.ts
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { createSeededRandom, type Random } from '../src/process/program/random.ts'

const resultFile = fileURLToPath(new URL('results/subset.json', import.meta.url))
const seed = 20261204
const repetitions = 200
// Sizes and report length of the subsets in docs/CAPACITY.md.
const entryHostsPerZone = 42
const serversPerPoolAndZone = 19
const pools = 25
const bytesPerReport = 30

/** Indexes of the backend servers that each entry host knows. */
type Subsets = ReadonlyArray<readonly number[]>

function selectByHash (hosts: number, servers: number, size: number, random: Random): Subsets {
  return Array.from({ length: hosts }, () => {
    const scores = Array.from({ length: servers }, (_, server) => ({ server, score: random.next() }))
    scores.sort((left, right) => right.score - left.score)
    return scores.slice(0, size).map(({ server }) => server)
  })
}

function assignInRounds (hosts: number, servers: number, size: number, random: Random): Subsets {
  const perRound = Math.floor(servers / size)
  const subsets: number[][] = []
  let unassigned: number[] = []
  let leftover: number[] = []
  while (subsets.length < hosts) {
    if (unassigned.length < size) {
      // Servers left over from a round are the first of the next one, so that all servers are assigned equally often.
      leftover = unassigned
      unassigned = [...leftover, ...shuffle(servers, random).filter(server => !leftover.includes(server))]
    }
    for (let count = 0; count < perRound && unassigned.length >= size && subsets.length < hosts; count++) subsets.push(unassigned.splice(0, size))
  }
  return subsets
}

function shuffle (count: number, random: Random): number[] {
  const values = Array.from({ length: count }, (_, value) => value)
  for (let last = count - 1; last > 0; last--) {
    const other = random.below(last + 1)
    const moved = values[last] ?? 0
    values[last] = values[other] ?? 0
    values[other] = moved
  }
  return values
}

/** Computes the load of each backend server relative to the mean, if entry hosts spread requests evenly over their subsets. */
function relativeLoads (subsets: Subsets, servers: number): number[] {
  const loads = new Array<number>(servers).fill(0)
  for (const subset of subsets) {
    for (const server of subset) loads[server] = (loads[server] ?? 0) + 1 / subset.length
  }
  const mean = subsets.length / servers
  return loads.map(load => load / mean)
}

function measure (select: typeof selectByHash, size: number, lostHosts: number): { readonly max: number, readonly min: number } {
  const random = createSeededRandom(seed + size)
  let max = 0
  let min = 0
  for (let repetition = 0; repetition < repetitions; repetition++) {
    const subsets = select(entryHostsPerZone, serversPerPoolAndZone, size, random)
    const loads = relativeLoads(subsets.slice(0, entryHostsPerZone - lostHosts), serversPerPoolAndZone)
    max += Math.max(...loads) / repetitions
    min += Math.min(...loads) / repetitions
  }
  return { max, min }
}

const rows = []
for (const size of [3, 6, 9, 19]) {
  rows.push({
    size,
    bytesPerSecond: size * pools * bytesPerReport,
    byHash: measure(selectByHash, size, 0),
    inRounds: measure(assignInRounds, size, 0),
    inRoundsAfterLosingFourHosts: measure(assignInRounds, size, 4)
  })
}
const result = { seed, repetitions, entryHostsPerZone, serversPerPoolAndZone, pools, rows }
await writeFile(resultFile, `${JSON.stringify(result, undefined, 2)}\n`)
console.table(rows.map(row => ({
  size: row.size,
  bytesPerSecond: row.bytesPerSecond,
  byHashMax: row.byHash.max.toFixed(2),
  inRoundsMax: row.inRounds.max.toFixed(2),
  inRoundsMin: row.inRounds.min.toFixed(2),
  lostMax: row.inRoundsAfterLosingFourHosts.max.toFixed(2)
})))
