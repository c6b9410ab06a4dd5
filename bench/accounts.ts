/**
 * Measures what client accounts cost a host: the memory of the accounts in its tables with the index of their keys, and the time of a
 * look-up from the key as a caller sends it. Prints the figures; a time has no place in a test.
 *
 * Usage: npx tsx bench/accounts.ts
 * @module
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { decodeTables, createTablesEncoder } from '../src/connection/tablesCodec.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { identifyCaller } from '../src/request/callerIdentity.ts'
import { type ClientAccount, createAccountIndex, digestKey } from '../src/version/accounts.ts'

const accountCount = 6_700
const keysPerAccount = 2
const lookUps = 500_000
const warmUps = 50_000
const microsecondsPerMillisecond = 1_000
const bytesPerMebibyte = 1024 * 1024
const goals = { mebibytes: 4, microseconds: 5 }

const random = createSeededRandom(1)

function createKey (): string {
  return Array.from({ length: 20 }, () => random.below(36).toString(36)).join('')
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function measureHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

const keys = Array.from({ length: accountCount * keysPerAccount }, createKey)
const source: ClientAccount[] = Array.from({ length: accountCount }, (_, index) => ({
  name: `account-${index}`, keys: keys.slice(index * keysPerAccount, (index + 1) * keysPerAccount).map(digestKey), priority: 1, ratePerSecond: 10, burst: 20
}))
const encoder = createTablesEncoder({ clock: createSystemClock(), logger: createSilentLogger(), metrics: createMetrics() })
// As a host receives them.
const encoded = await encoder.encode({ version: 1, routes: [], services: [], limits: { headerBytes: 0, bodyBytes: 0, headerMs: 0, idleMs: 0 }, accounts: source })
const before = measureHeapBytes()
const tables = await decodeTables(encoded)
const accounts = createAccountIndex(tables.accounts)
const bytes = measureHeapBytes() - before

function measureLookUpUs (choose: (index: number) => string): number {
  const known = { accounts, canServeAccounts: true, hasNewestAccounts: true }
  const credentials = Array.from({ length: 1_000 }, (_, index) => choose(index))
  let found = 0
  const lookUp = (count: number): void => {
    for (let call = 0; call < count; call++) {
      if (identifyCaller(credentials[call % credentials.length], false, known).isOk()) found++
    }
  }
  lookUp(warmUps)
  const startedAt = performance.now()
  lookUp(lookUps)
  const us = (performance.now() - startedAt) * microsecondsPerMillisecond / lookUps
  console.log(`  ${found} of ${lookUps + warmUps} keys found`)
  return us
}

const mebibytes = bytes / bytesPerMebibyte
console.log(`${accountCount} accounts with ${keysPerAccount} keys each; ${encoded.bytes.length} bytes on the wire`)
console.log(`memory of the accounts and the index: ${mebibytes.toFixed(2)} MiB (goal: under ${goals.mebibytes})`)
console.log(`look-up of a known key: ${measureLookUpUs(() => keys[random.below(keys.length)] ?? '').toFixed(2)} us (goal: under ${goals.microseconds})`)
console.log(`look-up of an unknown key: ${measureLookUpUs(createKey).toFixed(2)} us (goal: under ${goals.microseconds})`)
