/**
 * Settings of the daemon. Flags, environment variables, validation and help texts are derived from one schema.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { isAddress } from './address.ts'
import { type Failure, FailureReason, Step } from './failure.ts'
import { Level } from './logEvents.ts'
import { maxTimerMs } from './units.ts'

/** Role of a process. */
export const Role = { Entry: 'entry', Control: 'control', Both: 'both' } as const
export type Role = typeof Role[keyof typeof Role]

const address = z.string().refine(isAddress, 'must be an IP address and a port, for example 127.0.0.1:7000')
const label = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9-]{0,62}$/, 'must be 1 to 63 letters, digits and hyphens')

const schema = z.strictObject({
  role: z.enum(Role).describe('entry, control or both'),
  host: label.describe('name of this host'),
  availabilityZone: label.describe('availability zone of this host'),
  region: label.describe('region of this host'),
  internalAddress: address.describe('address for other hosts of the system'),
  callerAddress: address.optional().describe('address for callers and backend servers (entry)'),
  administrationAddress: address.optional().describe('address for operators'),
  metricsAddress: address.optional().describe('address for metrics'),
  controlHosts: z.string().transform(splitList).pipe(z.array(address).min(1).max(7))
    .describe('internal addresses of the control hosts, separated by commas'),
  dataFolder: z.string().min(1).optional().describe('folder for durable state (control)'),
  voters: z.coerce.number().int().refine(count => count === 3 || count === 5, 'must be 3 or 5').default(3)
    .describe('how many control hosts vote, 3 or 5'),
  addressKeepMs: z.coerce.number().int().min(100).max(600_000).default(5_000)
    .describe('how long callers may keep an address answer, in milliseconds'),
  maxClientMemoryMb: z.coerce.number().min(1).optional()
    .describe('memory that is held for requests of clients at once, in MB; by default a quarter of the heap, at most 20'),
  maxCallerConnections: z.coerce.number().int().min(1).optional()
    .describe('connections of callers at once; by default by the descriptors and the heap of the process'),
  maxOpenUploadMb: z.coerce.number().min(1).optional()
    .describe('size of all jobs that are being uploaded, in MB (control); by default a quarter of the heap'),
  maxOpenJobMb: z.coerce.number().min(1).optional()
    .describe('size of the items of all jobs that have not run, in MB (control); by default half of the heap'),
  maxDrainMs: z.coerce.number().int().min(0).max(maxTimerMs).optional()
    .describe('longest wait for requests in flight at shutdown, in milliseconds; by default 600000 or the longest deadline of a route'),
  logLevel: z.enum(Level).default(Level.Info).describe('debug, info, warn or error')
})

/** Settings of the daemon. */
export type Settings = z.infer<typeof schema>

/** A problem with a setting. */
export interface SettingProblem {
  /** The flag, for example `--role`, or the environment variable. */
  readonly flag: string
  readonly text: string
}

/** A flag of the daemon. */
export interface Flag {
  readonly setting: keyof Settings
  readonly flag: string
  readonly variable: string
  readonly text: string
}

/**
 * Lists the flags of the daemon.
 * @returns one flag per setting
 */
export function listFlags (): Flag[] {
  const flags: Flag[] = []
  for (const [setting, field] of Object.entries(schema.shape)) {
    flags.push({
      setting: setting as keyof Settings,
      flag: formatFlag(setting),
      variable: `JAYCHUTE_${setting.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`,
      text: field.description ?? ''
    })
  }
  return flags
}

/**
 * Reads and validates the settings. A flag takes precedence over its environment variable.
 * @param flagValues - values of the flags, by setting
 * @param environment - environment variables
 * @returns the settings, or all problems found
 */
export function readSettings (flagValues: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): Result<Settings, SettingProblem[]> {
  const values: Record<string, unknown> = {}
  for (const { setting, variable } of listFlags()) {
    const value = flagValues[setting] ?? environment[variable]
    if (value !== undefined) values[setting] = value
  }
  const problems: SettingProblem[] = []
  const parsed = schema.safeParse(values)
  if (!parsed.success) {
    for (const issue of parsed.error.issues) problems.push({ flag: formatFlag(String(issue.path[0])), text: issue.message })
    return err(problems)
  }
  problems.push(...findContradictions(parsed.data))
  return problems.length === 0 ? ok(parsed.data) : err(problems)
}

function findContradictions (settings: Settings): SettingProblem[] {
  const problems: SettingProblem[] = []
  if (settings.role !== Role.Control && settings.callerAddress === undefined) {
    problems.push({ flag: '--caller-address', text: `is required for the role ${settings.role}` })
  }
  if (settings.role === Role.Control && settings.callerAddress !== undefined) {
    problems.push({ flag: '--caller-address', text: 'has no meaning for the role control' })
  }
  if (settings.role !== Role.Entry && settings.dataFolder === undefined) {
    problems.push({ flag: '--data-folder', text: `is required for the role ${settings.role}` })
  }
  if (settings.role === Role.Entry && settings.dataFolder !== undefined) {
    problems.push({ flag: '--data-folder', text: 'has no meaning for the role entry' })
  }
  if (settings.role !== Role.Entry && !settings.controlHosts.includes(settings.internalAddress)) {
    problems.push({ flag: '--control-hosts', text: `must contain this host's own address ${settings.internalAddress}` })
  }
  const used = new Map<string, string>()
  for (const setting of ['internalAddress', 'callerAddress', 'administrationAddress', 'metricsAddress'] as const) {
    const address = settings[setting]
    const other = address === undefined ? undefined : used.get(address)
    if (other !== undefined) problems.push({ flag: formatFlag(setting), text: `is the same address as ${other}` })
    if (address !== undefined) used.set(address, formatFlag(setting))
  }
  if (new Set(settings.controlHosts).size < settings.controlHosts.length) {
    problems.push({ flag: '--control-hosts', text: 'names an address twice' })
  }
  return problems
}

/**
 * Determines the setting that caused a failed start.
 * @param failure - the failure of the start
 * @param settings - the settings
 * @returns the setting to correct, or undefined when the failure has another cause
 */
export function diagnoseStartFailure (failure: Failure, settings: Settings): SettingProblem | undefined {
  if (failure.step === Step.Listen) {
    for (const setting of ['internalAddress', 'callerAddress', 'administrationAddress', 'metricsAddress'] as const) {
      if (settings[setting] === failure.peer) return { flag: formatFlag(setting), text: failure.message }
    }
  }
  if (failure.step !== Step.LoadLog || failure.reason === FailureReason.Damaged) return undefined
  return { flag: '--data-folder', text: failure.message }
}

function splitList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}

/**
 * Formats the name of a setting as a flag.
 * @param setting - the name in camel case
 * @returns the flag in kebab case, with its leading hyphens
 */
export function formatFlag (setting: string): string {
  return `--${setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`
}
