/**
 * Reads processor profiles of Node.js and adds up the time of each function.
 * @module
 */
import { readFileSync } from 'node:fs'

const microsecondsPerMillisecond = 1_000

/** Names of nodes in which the program does not run. */
const idleNames: readonly string[] = ['(idle)']

interface ProfileNode {
  readonly id: number
  readonly callFrame: { readonly functionName: string, readonly url: string, readonly lineNumber: number }
  readonly children?: readonly number[]
}

interface Profile {
  readonly nodes: readonly ProfileNode[]
  readonly samples: readonly number[]
  readonly timeDeltas: readonly number[]
  readonly startTime: number
  readonly endTime: number
  /** Processor time of the whole process meanwhile, in microseconds. */
  readonly usage: { readonly user: number, readonly system: number }
}

/** Time of a function. */
export interface FunctionTime {
  readonly name: string
  selfMs: number
  /** With all that it called synchronously. */
  totalMs: number
}

/** Times of a profile. */
export interface ProfileTimes {
  readonly durationMs: number
  /** Time in which the main thread was not idle; on a busy machine it includes waiting for a core. */
  readonly busyMs: number
  readonly userMs: number
  readonly systemMs: number
  readonly functions: readonly FunctionTime[]
  readonly modules: readonly FunctionTime[]
}

/**
 * Adds up a profile.
 * @param path - the file
 * @returns times by function and by module, the longest first
 */
export function readProfileTimes (path: string): ProfileTimes {
  const profile = JSON.parse(readFileSync(path, 'utf8')) as Profile
  const nodes = new Map(profile.nodes.map(node => [node.id, node]))
  const selfMs = new Map<number, number>()
  for (const [index, id] of profile.samples.entries()) {
    selfMs.set(id, (selfMs.get(id) ?? 0) + (profile.timeDeltas[index] ?? 0) / microsecondsPerMillisecond)
  }
  const functions = new Map<string, FunctionTime>()
  const modules = new Map<string, FunctionTime>()
  const root = profile.nodes[0]
  const busyMs = root === undefined ? 0 : addTimes(root, new Set(), new Set())

  function addTimes (node: ProfileNode, openFunctions: Set<string>, openModules: Set<string>): number {
    const moduleName = nameModule(node)
    const name = `${node.callFrame.functionName || '(anonymous)'} ${moduleName}:${node.callFrame.lineNumber + 1}`
    const isIdle = idleNames.includes(node.callFrame.functionName)
    const own = isIdle ? 0 : selfMs.get(node.id) ?? 0
    const isOuterFunction = !openFunctions.has(name)
    const isOuterModule = !openModules.has(moduleName)
    openFunctions.add(name)
    openModules.add(moduleName)
    let total = own
    for (const child of node.children ?? []) {
      const childNode = nodes.get(child)
      if (childNode !== undefined) total += addTimes(childNode, openFunctions, openModules)
    }
    if (isOuterFunction) openFunctions.delete(name)
    if (isOuterModule) openModules.delete(moduleName)
    add(functions, name, own, isOuterFunction ? total : 0)
    add(modules, moduleName, own, isOuterModule ? total : 0)
    return total
  }

  return {
    durationMs: (profile.endTime - profile.startTime) / microsecondsPerMillisecond,
    busyMs,
    userMs: profile.usage.user / microsecondsPerMillisecond,
    systemMs: profile.usage.system / microsecondsPerMillisecond,
    functions: [...functions.values()].sort((left, right) => right.selfMs - left.selfMs),
    modules: [...modules.values()].sort((left, right) => right.selfMs - left.selfMs)
  }
}

function add (times: Map<string, FunctionTime>, name: string, selfMs: number, totalMs: number): void {
  const time = times.get(name) ?? { name, selfMs: 0, totalMs: 0 }
  time.selfMs += selfMs
  time.totalMs += totalMs
  times.set(name, time)
}

function nameModule ({ callFrame: { functionName, url } }: ProfileNode): string {
  if (url === '') return functionName.startsWith('(') ? functionName : '(native)'
  const own = url.indexOf('/dist/')
  if (own >= 0) return url.slice(own + '/dist/'.length)
  const dependency = url.lastIndexOf('node_modules/')
  return dependency >= 0 ? url.slice(dependency + 'node_modules/'.length).split('/').slice(0, 2).join('/') : url
}

/**
 * Formats a profile.
 * @param title - first line
 * @param times - the profile
 * @param count - number of lines of each table
 * @returns Markdown tables of functions by own and by total time, and of modules by own time
 */
export function formatProfile (title: string, times: ProfileTimes, count: number): string {
  const { functions, modules, busyMs, userMs, systemMs, durationMs } = times
  const format = ({ name, selfMs, totalMs }: FunctionTime): string => `| ${name} | ${selfMs.toFixed(0)} | ${totalMs.toFixed(0)} | ${(100 * selfMs / busyMs).toFixed(1)} | ${(100 * totalMs / busyMs).toFixed(1)} |`
  const head = (kind: string): string[] => ['', `| ${kind} | self ms | total ms | self % | total % |`, '|---|---|---|---|---|']
  const byTotal = functions.filter(({ name }) => name.includes('.js:') && !name.includes('node:internal')).sort((left, right) => right.totalMs - left.totalMs)
  return [
    `### ${title}: processor ${userMs.toFixed(0)} ms user and ${systemMs.toFixed(0)} ms system, main thread not idle for ${busyMs.toFixed(0)} ms, of ${durationMs.toFixed(0)} ms`,
    ...head('module'), ...modules.slice(0, count).map(format),
    ...head('function by self'), ...functions.slice(0, count).map(format),
    ...head('function by total'), ...byTotal.slice(0, count).map(format), ''
  ].join('\n')
}
