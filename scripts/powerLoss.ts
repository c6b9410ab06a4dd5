/**
 * Plays a loss of power of a fleet of real processes. Needs `npm run build` first. Usage:
 *   npx tsx scripts/powerLoss.ts profile SEED SHARE FOLDER   profiles the control hosts; SHARE 0 sets no limit of processor time
 *   npx tsx scripts/powerLoss.ts disks FIRST_SEED COUNT      loses the tolerated number of disks as well, once for each seed
 * @module
 */
import { loseDisks, profilePowerLoss } from '../test/powerLoss/powerLoss.ts'

const serverCount = 30
const shape = { controls: 6, gateways: 18, executors: 6 }
const [verb, first = '1', second = '0', folder] = process.argv.slice(2)
const seed = Number(first)

if (verb === 'profile') {
  const share = Number(second)
  await profilePowerLoss({ ...shape, profileFolder: folder, controlShare: share === 0 ? undefined : share }, serverCount, seed, text => console.log(`${text}\n`))
} else if (verb === 'disks') {
  let failed = 0
  for (let current = seed; current < seed + Number(second); current++) {
    const report = await loseDisks({ ...shape, profileFolder: undefined, controlShare: undefined }, serverCount, current, text => console.error(text))
    if (report.violations.length > 0) failed++
    if (report.readableMs === undefined) console.log(`seed ${current}: readable ${report.readableWithoutLoadMs ?? '-'} ms after the end of all submissions`)
    console.log(`seed ${current}: ${report.jobs} jobs, disks of ${report.lostDisks.join(' and ')} lost; readable at all gateways after ${report.readableMs ?? '-'} ms, configuration after ${report.configurationMs ?? '-'} ms; ${report.violations.length} violations`)
    for (const violation of report.violations.slice(0, 20)) console.log(`  ${violation}`)
  }
  console.log(`${second} runs, ${failed} with violations`)
  process.exitCode = failed === 0 ? 0 : 1
} else {
  console.error('profile or disks')
  process.exitCode = 2
}
process.exit()
