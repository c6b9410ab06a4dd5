/**
 * Prints, for each replay of a busy client account, its fullest window beside what is allowed, and what is refused within the limit.
 * Usage: npx tsx bench/quotaMargins.ts [SEEDS]
 * @module
 */
import { busyFleets, busyScenarios, replayBusyAccount } from '../test/support/busyAccount.ts'

const seeds = Number(process.argv[2] ?? 4)

for (const fleet of busyFleets) {
  for (const position of fleet.positions) {
    for (const scenario of busyScenarios) {
      const results = Array.from({ length: seeds }, (_, index) => replayBusyAccount(fleet, position, scenario, index + 1))
      const fullest = results.map(({ windows }) => `${windows[position]?.largest ?? 0}/${Math.floor(windows[position]?.maximum ?? 0)}`)
      const exceeded = results.reduce((sum, { windows }) => sum + windows.filter(({ largest, maximum }) => largest > maximum).length, 0)
      const asked = results.map(({ askedPerSecond }) => askedPerSecond.toFixed(0))
      const refused = results.map(({ shortfall }) => (shortfall * 100).toFixed(1))
      process.stdout.write(`${fleet.hosts} hosts, account ${position}, ${scenario.name}: fullest ${fullest.join(' ')}, accounts above ${exceeded}; refused within the limit ${refused.join(' ')} in 100; asked ${asked.join(' ')} per second\n`)
    }
  }
}
