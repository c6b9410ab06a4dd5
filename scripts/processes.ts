/**
 * Starts and ends programs of the system for the demo and for tests with real processes.
 * @module
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

/** A started program. */
export interface Program {
  readonly name: string
  readonly child: ChildProcess
  /** What it has written to standard error so far. */
  readonly errors: () => string
  /**
   * Sends a signal and waits for the end.
   * @returns the exit code, or undefined when a signal ended it
   */
  end (signal: NodeJS.Signals): Promise<number | undefined>
}

/** What a program that has ended left behind. */
export interface ProgramResult {
  readonly code: number | undefined
  readonly output: string
  readonly errors: string
}

/**
 * First port to reserve. Ports up to the last one are below those that the system gives to outgoing connections, which
 * could take a port between its reservation and the start of the program that it is for.
 */
const firstPort = 10_000

/** Last port to reserve. */
const lastPort = 32_000

/** Distance between the first ports of two processes with successive ids, so that they rarely try the same ports at once. */
const portsPerProcess = 97

let nextPort = firstPort + process.pid * portsPerProcess % (lastPort - firstPort)

/**
 * Finds free ports on the loopback address.
 * @param count - how many
 * @returns addresses with different ports
 */
export async function reserveAddresses (count: number): Promise<string[]> {
  const addresses: string[] = []
  while (addresses.length < count) {
    const port = nextPort
    nextPort = port < lastPort ? port + 1 : firstPort
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`)
  }
  return addresses
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const bound = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  await new Promise(resolve => server.close(resolve))
  return bound
}

/**
 * Starts a compiled program of the project.
 * @param name - name for messages
 * @param path - path below `dist/`
 * @param flags - its flags
 * @returns the program
 */
export function startProgram (name: string, path: string, flags: readonly string[]): Program {
  const child = spawn(process.execPath, [`${root}dist/${path}`, ...flags], { stdio: ['ignore', 'pipe', 'pipe'] })
  let errors = ''
  child.stdout?.on('data', (chunk: Buffer) => { errors += chunk.toString() })
  child.stderr?.on('data', (chunk: Buffer) => { errors += chunk.toString() })
  const ended = new Promise<number | undefined>(resolve => child.once('exit', code => resolve(code ?? undefined)))
  return {
    name,
    child,
    errors: () => errors,
    end (signal) {
      child.kill(signal)
      return ended
    }
  }
}

/**
 * Runs a compiled program of the project to its end.
 * @param path - path below `dist/`
 * @param flags - its flags
 * @returns exit code and output
 */
export function runProgram (path: string, flags: readonly string[]): Promise<ProgramResult> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, [`${root}dist/${path}`, ...flags], { stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    let errors = ''
    child.stdout.on('data', (chunk: Buffer) => { output += chunk.toString() })
    child.stderr.on('data', (chunk: Buffer) => { errors += chunk.toString() })
    child.once('close', code => resolve({ code: code ?? undefined, output, errors }))
  })
}

/**
 * Waits until a check passes.
 * @param text - what is waited for, for the error
 * @param limitMs - the longest wait, in milliseconds
 * @param check - returns a value once it passes
 * @returns the value
 * @throws Error at the limit
 */
export async function eventually<Value> (text: string, limitMs: number, check: () => Promise<Value | undefined> | Value | undefined): Promise<Value> {
  const deadline = performance.now() + limitMs
  while (performance.now() < deadline) {
    const value = await check()
    if (value !== undefined) return value
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  throw new Error(`not seen within ${limitMs} ms: ${text}`)
}
