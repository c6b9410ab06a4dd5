/**
 * Checks the Promela models exhaustively with spin. A line `// variant: NAME` in a model names a macro that disables one
 * safety rule. The check passes if spin finds no violation in the model as it stands and a violation with each variant.
 * @module
 */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const modelsFolder = fileURLToPath(new URL('../models/', import.meta.url))
const maxSearchDepth = 2_000_000
const memoryLimitMegabytes = 8_192

interface Exploration {
  readonly hasViolation: boolean
  readonly complete: boolean
  readonly states: string
}

function explore (model: string, variant: string | undefined): Exploration {
  const buildFolder = mkdtempSync(join(tmpdir(), 'jaychute-model-'))
  try {
    const macros = variant === undefined ? [] : [`-D${variant}`]
    execFileSync('spin', ['-a', ...macros, join(modelsFolder, model)], { cwd: buildFolder, stdio: 'pipe' })
    execFileSync('gcc', ['-w', '-O2', '-DSAFETY', '-DCOLLAPSE', `-DMEMLIM=${memoryLimitMegabytes}`, '-o', 'pan', 'pan.c'], { cwd: buildFolder, stdio: 'pipe' })
    const output = execFileSync('./pan', ['-E', `-m${maxSearchDepth}`], { cwd: buildFolder, encoding: 'utf8', stdio: 'pipe' })
    return {
      hasViolation: !/errors: 0/.test(output),
      complete: !/search depth too small|max search depth|out of memory|Search not completed/.test(output.replace(/Warning: Search not completed/, 'Search not completed')),
      states: /([\d.e+]+) states, stored/.exec(output)?.[1] ?? '?'
    }
  } finally {
    rmSync(buildFolder, { recursive: true, force: true })
  }
}

let failures = 0
for (const model of readdirSync(modelsFolder).filter(name => name.endsWith('.pml')).sort()) {
  const variants = [...readFileSync(join(modelsFolder, model), 'utf8').matchAll(/^\/\/ variant: (\w+)/gm)].map(match => match[1])
  const baseExploration = explore(model, undefined)
  const hasPassed = !baseExploration.hasViolation && baseExploration.complete
  if (!hasPassed) failures++
  console.log(`${hasPassed ? 'pass' : 'FAIL'} ${model}: ${baseExploration.states} states, ${baseExploration.hasViolation ? 'violation found' : baseExploration.complete ? 'no violation' : 'search incomplete'}`)
  for (const variant of variants) {
    const variantExploration = explore(model, variant)
    if (!variantExploration.hasViolation) failures++
    console.log(`${variantExploration.hasViolation ? 'pass' : 'FAIL'} ${model} with ${variant}: ${variantExploration.states} states, ${variantExploration.hasViolation ? 'violation found, as expected' : 'no violation found, although a rule is disabled'}`)
  }
}
if (failures > 0) process.exitCode = 1
