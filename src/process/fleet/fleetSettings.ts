/**
 * Schema and reader of a host's settings. They come from a settings file; command-line flags override the file.
 * @module
 */
import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import type { QuotaBounds } from '../../request/placement/accountLimit.ts'
import { defaultQuotaBounds } from '../accounts/accountQuotas.ts'
import { isAddress } from '../program/address.ts'
import { Level } from '../program/logEvents.ts'
import { millisecondsPerSecond } from '../program/units.ts'
import { FleetRole } from './fleetMessages.ts'

const address = z.string().refine(isAddress, 'must be an IP address and a port, for example 127.0.0.1:7000')
const label = z.string().min(1).max(200)
const durationMs = z.coerce.number().min(0)

const schema = z.object({
  role: z.enum(FleetRole).describe('gateway, control or executor'),
  host: label.describe('name of this host'),
  availabilityZone: label.describe('availability zone of this host'),
  region: label.describe('region of this host'),
  regions: z.record(z.string(), z.string()).default({}).describe('regions by availability zone'),
  seeds: z.string().transform(text => text.split(',').filter(part => part !== '')).pipe(z.array(address))
    .describe('addresses of some control hosts, of which the IP numbers count'),
  controlPort: z.coerce.number().int().min(1).max(65_535).describe('port of control hosts and executors for other hosts'),
  form: z.boolean().default(false).describe('whether this host may form the first group of control hosts'),
  address: z.string().default('127.0.0.1').describe('IP number of this host'),
  callerAddress: address.optional().describe('address for callers (gateway)'),
  readinessAddress: address.optional().describe('address that tells whether a gateway is ready'),
  controlAddress: address.optional().describe('address for operators and backend servers (control)'),
  directoryAddress: address.optional().describe('address for callers in search of a gateway (control)'),
  metricsAddress: address.optional().describe('address for metrics'),
  dataFolder: z.string().optional().describe('folder for durable state (control)'),
  compressesResults: z.boolean().default(false).describe('whether results of jobs are kept compressed (control); earlier versions cannot read them'),
  toleratedLosses: z.coerce.number().int().min(0).max(2).default(1).describe('control hosts that may be lost at once'),
  heartbeatMs: durationMs.default(1_200).describe('time between two heartbeats of a backend server, in milliseconds'),
  graceSeconds: z.coerce.number().min(0).default(8).describe('time from SIGTERM to the end of the process, in seconds'),
  statusKeepSeconds: z.coerce.number().min(0).default(120).describe('time for which jobs can be read after their submission, in seconds'),
  revocationMs: durationMs.default(0).describe('time within which withdrawn keys are refused by all hosts, also by those out of touch, in milliseconds; 0 for no such bound'),
  quotaWindowSeconds: z.coerce.number().min(0.1).default(defaultQuotaBounds.windowMs / millisecondsPerSecond).describe('sliding window of the limits of client accounts, in seconds'),
  quotaOvershootShare: z.coerce.number().min(0).default(defaultQuotaBounds.overshootShare).describe('tolerated excess of the limit of a client account in a window, as a share of the limit'),
  quotaOvershootRequests: z.coerce.number().min(0).default(defaultQuotaBounds.overshootRequests).describe('tolerated excess of the limit of a client account in a window in addition, in requests'),
  maxClientMemoryMb: z.coerce.number().min(1).optional().describe('memory that is held for requests and answers of clients at once, in MB; by default a quarter of the heap, at most 20'),
  maxCallerConnections: z.coerce.number().int().min(1).optional().describe('connections of clients at once, divided among the addresses for callers, operators and the directory; by default by the descriptors and the heap of the process'),
  logLevel: z.enum(Level).default(Level.Info).describe('debug, info, warn or error')
})

/** Settings of a host of the fleet. */
export type FleetSettings = z.infer<typeof schema>

/**
 * Lists the settings.
 * @returns names and help texts
 */
export function listFleetSettings (): ReadonlyArray<{ readonly setting: string, readonly text: string }> {
  return Object.entries(schema.shape).map(([setting, field]) => ({ setting, text: field.description ?? '' }))
}

/**
 * Reads and validates the settings.
 * @param path - path of the settings file, a JSON object; empty strings count as not set
 * @param flags - settings from the command line, which override the file
 * @returns the settings, or one line for each problem
 */
export function readFleetSettings (path: string | undefined, flags: Readonly<Record<string, unknown>>): Result<FleetSettings, string[]> {
  const provided: Record<string, unknown> = {}
  try {
    const file = path === undefined ? {} : JSON.parse(readFileSync(path, 'utf8')) as Record<string, unknown>
    for (const [name, value] of Object.entries({ ...file, ...flags })) {
      if (value !== '' && value !== null && value !== undefined) provided[name] = value
    }
  } catch (error) {
    return err([`${path ?? ''}: ${String(error)}`])
  }
  const parsed = schema.safeParse(provided)
  if (!parsed.success) return err(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`))
  const problems = findMissingSettings(parsed.data)
  return problems.length === 0 ? ok(parsed.data) : err(problems)
}

function findMissingSettings (settings: FleetSettings): string[] {
  const problems: string[] = []
  if (settings.role === FleetRole.Gateway && settings.callerAddress === undefined) problems.push('callerAddress: is required for the role gateway')
  if (settings.role === FleetRole.Control && settings.dataFolder === undefined) problems.push('dataFolder: is required for the role control')
  if (settings.role === FleetRole.Control && settings.controlAddress === undefined) problems.push('controlAddress: is required for the role control')
  if (settings.seeds.length === 0) problems.push('seeds: at least one is required')
  return problems
}

/**
 * Reads the tolerances of the quotas of client accounts.
 * @param settings - the settings
 * @returns the tolerances
 */
export function readQuotaBounds (settings: FleetSettings): QuotaBounds {
  return { windowMs: settings.quotaWindowSeconds * millisecondsPerSecond, overshootShare: settings.quotaOvershootShare, overshootRequests: settings.quotaOvershootRequests }
}

/**
 * Lists the internal addresses of the control hosts in the settings.
 * @param settings - the settings
 * @returns IP address and internal port of each seed
 */
export function listControlHosts (settings: FleetSettings): string[] {
  return settings.seeds.map(seed => `${seed.slice(0, seed.lastIndexOf(':'))}:${settings.controlPort}`)
}
