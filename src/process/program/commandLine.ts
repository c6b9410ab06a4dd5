/**
 * Validates the command line and the environment of the programs at startup.
 * @module
 */
import { formatFlag, listFlags, type SettingProblem } from './settings.ts'

/** Exit codes of the programs. */
export const ExitCode = { Success: 0, Failure: 1, Usage: 2 } as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Environment variable with the administration address for operators. */
export const operatorAddressVariable = 'JAYCHUTE_ADDRESS'

/** A parsed command line. */
export interface CommandLine {
  /** Values by flag name in camel case, including unknown flags. */
  readonly flags: Readonly<Record<string, unknown>>
  readonly knownFlags: readonly string[]
}

/**
 * Finds unknown flags and unknown `JAYCHUTE_` environment variables.
 * @param commandLine - the command line
 * @param environment - environment variables
 * @returns one problem per unknown name
 */
export function findUnknownOptions (commandLine: CommandLine, environment: NodeJS.ProcessEnv): SettingProblem[] {
  const problems: SettingProblem[] = []
  const flags = new Set([...commandLine.knownFlags, 'help', 'version'])
  for (const flag of Object.keys(commandLine.flags)) {
    if (!flags.has(flag)) problems.push({ flag: formatFlag(flag), text: 'unknown flag' })
  }
  // The daemon and the operators' program may share an environment, so each accepts the variables of the other.
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
