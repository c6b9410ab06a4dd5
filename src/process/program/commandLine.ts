/**
 * Checks that both programs make of their command line and environment before anything else.
 * @module
 */
import { formatFlag, listFlags, type SettingProblem } from './settings.ts'

/** Exit codes of both programs. */
export const ExitCode = { Success: 0, Failure: 1, Usage: 2 } as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Variable with the administration address for operators. */
export const operatorAddressVariable = 'JAYCHUTE_ADDRESS'

/** A command line as parsed. */
export interface CommandLine {
  /** Values by flag, in camel case; unknown flags are among them. */
  readonly flags: Readonly<Record<string, unknown>>
  readonly knownFlags: readonly string[]
}

/**
 * Finds unknown flags and unknown variables.
 * @param line - the command line
 * @param environment - environment variables
 * @returns one problem for each
 */
export function findUnknownOptions (line: CommandLine, environment: NodeJS.ProcessEnv): SettingProblem[] {
  const problems: SettingProblem[] = []
  const flags = new Set([...line.knownFlags, 'help', 'version'])
  for (const flag of Object.keys(line.flags)) {
    if (!flags.has(flag)) problems.push({ flag: formatFlag(flag), text: 'unknown flag' })
  }
  // Both programs run on one host, so each accepts the variables of the other.
  const variables = new Set([...listFlags().map(({ variable }) => variable), operatorAddressVariable])
  for (const variable of Object.keys(environment)) {
    if (!variable.startsWith('JAYCHUTE_') || variables.has(variable)) continue
    problems.push({ flag: variable, text: 'unknown environment variable' })
  }
  return problems
}

/**
 * Writes one line for each problem to standard error.
 * @param program - name of the program
 * @param problems - the problems
 */
export function reportProblems (program: string, problems: readonly SettingProblem[]): void {
  for (const { flag, text } of problems) console.error(`${program}: ${flag}: ${text}`)
}
