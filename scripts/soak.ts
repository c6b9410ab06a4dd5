/**
 * Runs the soak by hand. Usage: npx tsx scripts/soak.ts FIRST_SEED COUNT SECONDS [FOLDER]; the outputs of the hosts of a run
 * with violations are written to the folder. Needs `npm run build` first.
 * @module
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { runSoak } from '../test/soak/soak.ts'

const [firstSeed = 1, count = 1, seconds = 30] = process.argv.slice(2, 5).map(Number)
const folder = process.argv[5]
let failedRuns = 0
for (let seed = firstSeed; seed < firstSeed + count; seed++) {
  const { violations, faults, jobs, statuses, begun, takenUp, keyedRuns, acknowledgedVersion, crashes, outputs } = await runSoak(seed, seconds * 1_000)
  const live = [...statuses].sort(([left], [right]) => left - right).map(([status, requests]) => `${status}: ${requests}`).join(', ')
  console.log(`seed ${seed}: ${violations.length} violations; ${faults.length} faults, ${jobs} jobs, version ${acknowledgedVersion}, ${crashes} crashes by requests, live requests ${live}`)
  console.log(`  requests with keys that ran: ${keyedRuns}; streams begun: ${begun}; taken up: ${takenUp.total}, ${takenUp.continued} went on, ${takenUp.refused} refused; of ${takenUp.withServers} with two servers of their version, ${takenUp.continuedWithServers} went on`)
  if (violations.length === 0) continue
  failedRuns++
  for (const violation of violations) console.log(`  ${violation}`)
  for (const { at, text } of faults) console.log(`  ${at} ms: ${text}`)
  if (folder === undefined) continue
  await mkdir(folder, { recursive: true })
  for (const [name, output] of outputs) await writeFile(join(folder, `${seed}-${name}.log`), output)
}
console.log(`${count} runs, ${failedRuns} with violations`)
process.exit(failedRuns === 0 ? 0 : 1)
