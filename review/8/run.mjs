/**
 * An operator changes a configuration with many routes again and again.
 * @module
 */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { sleep, startFleet } from '../support-2/fleet.mjs'
import { call, createConfiguration, order, Worker } from '../support-2/platform.mjs'

const hasTrouble = process.env.TROUBLE !== '0'

/** Routes beside those of the deployment: `big_config` with its count of 350, twice. Without the disruption there are none. */
const addedRoutes = hasTrouble ? 700 : 0

/** The pause between the changes of the densest `config_storm`, which has one each 0.06 s for 1.5 s. */
const stormGapMs = 60

/** Time for which such storms follow each other, in milliseconds. */
const stormsMs = 92_000

/** Orders that may be in progress at once. */
const maxOrders = 8

/** Ends of processes by themselves, and hosts of the core of which each has so many, with which the rule is broken. */
const brokenEnds = 3
const brokenHosts = 2

const lines = []
const startedAt = performance.now()
const record = text => { lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`) }

// Names with as much variety as those in PROTOCOL.md.
let seed = 20_261_207
function random (limit) {
  seed = (Math.imul(seed, 1_103_515_245) + 12_345) & 0x7fffffff
  return (seed >> 8) % limit
}

function createWord (letters) {
  let word = ''
  for (let index = 0; index < letters; index++) word += index % 2 === 0 ? 'bdfghjklmnprstvwz'[random(17)] : 'aeiouy'[random(6)]
  return word
}

function createRoutes (count) {
  const routes = []
  for (let index = 0; index < count; index++) {
    routes.push({
      name: `r-${createWord(3)}${random(46_656).toString(36)}`,
      host: `${createWord(4)}${random(100)}.example`,
      path_prefix: `/${createWord(4)}${index}/`,
      kind: 'streaming',
      timeout_ms: 5_000,
      slo_ms: 300,
      priority: 0,
      split: [{ service: 'assist', weight: 90 }, { service: 'assist', weight: 10 }],
      max_attempts: 1,
      sticky: true,
      resumable: false,
      gap_target_ms: 250
    })
  }
  return routes
}

async function play (fleet) {
  const routes = createRoutes(addedRoutes)
  const send = async version => await order(fleet.operatorAddresses, { method: 'PUT', path: '/v1/config', body: createConfiguration(version, routes) }, { firstNode: version })
  if ((await send(1))?.status !== 200) return undefined
  record(`configuration 1 acknowledged: ${routes.length} added routes, ${JSON.stringify(createConfiguration(1, routes)).length} bytes`)
  await sleep(4_000)
  let version = 1
  let inProgress = 0
  const delays = []
  const problems = []
  const orders = []
  const until = performance.now() + stormsMs
  while (performance.now() < until) {
    if (inProgress < maxOrders) {
      const number = ++version
      const sentAt = performance.now()
      inProgress++
      orders.push(send(number).then(response => {
        inProgress--
        if (response?.status === 200) delays.push(response.at - sentAt)
        else problems.push(`version ${number}: ${response?.status ?? 'no clear response'}`)
      }))
    }
    await sleep(stormGapMs)
  }
  await Promise.all(orders)
  delays.sort((left, right) => left - right)
  record(`versions sent: ${version}; acknowledged: ${delays.length}, median after ${Math.round(delays[delays.length >> 1] ?? 0)} ms, longest ${Math.round(delays.at(-1) ?? 0)} ms`)
  for (const problem of problems) record(problem)
  const read = await call({ address: fleet.operatorAddresses[0], path: '/v1/config', timeoutMs: 4_000 })
  record(`configuration read back: ${read.status} ${read.text.slice(0, 24)}`)
  let hosts = 0
  for (const { settings, exits } of fleet.all) {
    if (exits.length === 0) continue
    record(`${settings.host} ended by itself ${exits.length} times, at ${exits.map(({ at }) => ((at - startedAt) / 1_000).toFixed(1)).join(', ')} s`)
    if (settings.role === 'control' && exits.length >= brokenEnds) hosts++
  }
  record(`control hosts that ended by themselves ${brokenEnds} times or more: ${hosts}`)
  return hosts < brokenHosts
}

const fleet = await startFleet({ gateways: 2, executors: 1, record })
const workers = ['zone-a', 'zone-b', 'zone-c'].map((zone, index) => new Worker({ id: `i-${index + 1}`, zone, controlAddresses: fleet.operatorAddresses, workMs: 100, record }))
let holds
try {
  for (const worker of workers) await worker.start()
  holds = await play(fleet)
} finally {
  for (const worker of workers) worker.exit()
  const outputs = fleet.control.map(host => `${host.settings.host}: ${/FATAL ERROR.*/.exec(host.output)?.[0] ?? 'no fatal error in its output'}`)
  await fleet.close()
  for (const output of outputs) record(output)
}
record(holds === undefined ? 'not judged' : holds ? 'the rule held' : 'the rule was broken')
writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`)
process.exit(holds === undefined ? 2 : holds ? 0 : 1)
