/**
 * Starts and ends programs of the system, for the demo, the benchmarks and tests with real processes.
 * @module
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

/** A program that was started. */
export interface Program {
  readonly name: string
  readonly child: ChildProcess
  /** Everything that it has written to standard output and standard error so far. */
  readonly errors: () => string
  /**
   * Sends a signal and waits until the process has exited.
   * @param signal - the signal
   * @returns exit code, or undefined if a signal ended the process
   */
  end (signal: NodeJS.Signals): Promise<number | undefined>
}

/** Exit code and output of a program that has ended. */
export interface ProgramResult {
  /** Undefined if a signal ended the process. */
  readonly code: number | undefined
  readonly output: string
  readonly errors: string
}

/**
 * First port to reserve. The range lies below the ephemeral ports of the system: an outgoing connection could otherwise take
 * a reserved port before the program that it is meant for listens on it.
 */
const firstPort = 10_000

/** Last port to reserve. */
const lastPort = 32_000

/** Distance between the first ports of processes with successive ids, so that concurrent runs rarely try the same ports. */
const portsPerProcess = 97

let nextPort = firstPort + process.pid * portsPerProcess % (lastPort - firstPort)

/**
 * Finds free ports on the loopback address. They are not kept open: the caller should listen on them soon.
 * @param count - number of ports
 * @returns addresses with different ports
 */
export async function reserveAddresses (count: number): Promise<string[]> {
  const addresses: string[] = []
  while (addresses.length < count) {
    const port = nextPort
    nextPort = port < lastPort ? port + 1 : firstPort
    if (await isPortFree(port)) addresses.push(`127.0.0.1:${port}`)
  }
  return addresses
}

async function isPortFree (port: number): Promise<boolean> {
  const server = createServer()
  const isBound = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  await new Promise(resolve => server.close(resolve))
  return isBound
}

/**
 * Starts a compiled program of the project.
 * @param name - name to show in messages
 * @param path - path below `dist/`
 * @param flags - command-line flags
 * @param nodeFlags - flags of Node.js
 * @returns the program
 */
export function startProgram (name: string, path: string, flags: readonly string[], nodeFlags: readonly string[] = []): Program {
  const child = spawn(process.execPath, [...nodeFlags, `${root}dist/${path}`, ...flags], { stdio: ['ignore', 'pipe', 'pipe'] })
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
 * Runs a compiled program of the project and waits until it has exited.
 * @param path - path below `dist/`
 * @param flags - command-line flags
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
 * Polls a condition until it holds.
 * @param description - what is expected, for the error message
 * @param timeoutMs - maximum wait, in milliseconds
 * @param check - returns undefined as long as the condition does not hold
 * @returns the first defined value of `check`
 * @throws Error if there is none within the timeout
 */
export async function eventually<Value> (description: string, timeoutMs: number, check: () => Promise<Value | undefined> | Value | undefined): Promise<Value> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    const value = await check()
    if (value !== undefined) return value
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  throw new Error(`not seen within ${timeoutMs} ms: ${description}`)
}
