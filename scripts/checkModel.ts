/**
 * Explores the Promela models exhaustively with spin. A line `// variant: NAME` in a model names a macro that switches one
 * safety rule off; with it the checker must find a violation, and without any it must find none.
 * @module
 */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const folder = fileURLToPath(new URL('../models/', import.meta.url))
const depthLimit = 2_000_000
const memoryMegabytes = 8_192

interface Exploration {
  readonly violated: boolean
  readonly complete: boolean
  readonly states: string
}

function explore (model: string, variant: string | undefined): Exploration {
  const work = mkdtempSync(join(tmpdir(), 'jaychute-model-'))
  try {
    const macros = variant === undefined ? [] : [`-D${variant}`]
    execFileSync('spin', ['-a', ...macros, join(folder, model)], { cwd: work, stdio: 'pipe' })
    execFileSync('gcc', ['-w', '-O2', '-DSAFETY', '-DCOLLAPSE', `-DMEMLIM=${memoryMegabytes}`, '-o', 'pan', 'pan.c'], { cwd: work, stdio: 'pipe' })
    const output = execFileSync('./pan', ['-E', `-m${depthLimit}`], { cwd: work, encoding: 'utf8', stdio: 'pipe' })
    return {
      violated: !/errors: 0/.test(output),
      complete: !/search depth too small|max search depth|out of memory|Search not completed/.test(output.replace(/Warning: Search not completed/, 'Search not completed')),
      states: /([\d.e+]+) states, stored/.exec(output)?.[1] ?? '?'
    }
  } finally {
    rmSync(work, { recursive: true, force: true })
  }
}

let failures = 0
for (const model of readdirSync(folder).filter(name => name.endsWith('.pml')).sort()) {
  const variants = [...readFileSync(join(folder, model), 'utf8').matchAll(/^\/\/ variant: (\w+)/gm)].map(match => match[1])
  const base = explore(model, undefined)
  const passed = !base.violated && base.complete
  if (!passed) failures++
  console.log(`${passed ? 'pass' : 'FAIL'} ${model}: ${base.states} states, ${base.violated ? 'a violation' : base.complete ? 'no violation' : 'search not complete'}`)
  for (const variant of variants) {
    const broken = explore(model, variant)
    if (!broken.violated) failures++
    console.log(`${broken.violated ? 'pass' : 'FAIL'} ${model} with ${variant}: ${broken.states} states, ${broken.violated ? 'violation found as expected' : 'NO violation found'}`)
  }
}
if (failures > 0) process.exitCode = 1
