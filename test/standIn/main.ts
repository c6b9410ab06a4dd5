/**
 * Runs a stand-in backend server as a process of its own and prints its address.
 * @module
 */
import meow from 'meow'
import { defaultSettings, startStandIn } from './standIn.ts'

const command = meow('Runs a stand-in backend server. Every setting is a flag.', {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    port: { type: 'number', default: defaultSettings.port },
    pool: { type: 'string', default: defaultSettings.pool },
    availabilityZone: { type: 'string', default: defaultSettings.availabilityZone },
    region: { type: 'string', default: defaultSettings.region },
    capacity: { type: 'number', default: defaultSettings.capacity },
    tokenMs: { type: 'number', default: defaultSettings.tokenMs },
    slowdownMs: { type: 'number', default: defaultSettings.slowdownMs },
    prefillMs: { type: 'number', default: defaultSettings.prefillMs },
    prefixes: { type: 'number', default: defaultSettings.prefixes },
    loadLagMs: { type: 'number', default: defaultSettings.loadLagMs },
    entryHosts: { type: 'string', default: '' },
    loadMs: { type: 'number', default: defaultSettings.loadMs },
    fencingChecked: { type: 'boolean', default: true }
  }
})

const standIn = await startStandIn({
  ...command.flags,
  entryHosts: command.flags.entryHosts.split(',').filter(host => host !== ''),
  crash: () => process.exit(1)
})
console.log(standIn.address)
