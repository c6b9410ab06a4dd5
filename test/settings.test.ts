import { expect } from 'chai'
import { findUnknownOptions } from '../src/process/program/commandLine.ts'
import { listFlags, readSettings } from '../src/process/program/settings.ts'

const entrySettings = {
  role: 'entry',
  host: 'entry-1',
  availabilityZone: 'kildare',
  region: 'leinster',
  internalAddress: '127.0.0.1:7000',
  callerAddress: '127.0.0.1:7001',
  controlHosts: '127.0.0.1:7002,127.0.0.1:7003'
}

function problemsOf (rawSettings: Record<string, unknown>, environment: NodeJS.ProcessEnv = {}): string[] {
  return readSettings(rawSettings, environment).match(() => [], problems => problems.map(problem => problem.flag))
}

describe('settings', () => {
  // Guards against an environment variable overriding a flag.
  it('gives flags precedence over environment variables', () => {
    const settings = readSettings({ ...entrySettings, host: 'flag' }, { JAYCHUTE_HOST: 'variable', JAYCHUTE_LOG_LEVEL: 'warn' })
    expect(settings._unsafeUnwrap()).to.include({ host: 'flag', logLevel: 'warn' })
  })

  // Guards against reporting only the first problem.
  it('reports each missing and each malformed setting', () => {
    expect(problemsOf({ ...entrySettings, host: undefined, internalAddress: 'localhost:1' })).to.deep.equal(['--host', '--internal-address'])
  })

  // Guards against a host that starts with settings that its role ignores or lacks.
  it('refuses settings that contradict the role', () => {
    expect(problemsOf({ ...entrySettings, dataFolder: '/tmp/x' })).to.deep.equal(['--data-folder'])
    expect(problemsOf({ ...entrySettings, role: 'control' })).to.deep.equal(['--caller-address', '--data-folder', '--control-hosts'])
  })

  // Guards against a failure that would only show when the second listener binds or the hosts vote.
  it('refuses two listeners on one address, and a duplicate control host', () => {
    expect(problemsOf({ ...entrySettings, metricsAddress: entrySettings.callerAddress, controlHosts: '127.0.0.1:1,127.0.0.1:1' })).to.deep.equal(['--metrics-address', '--control-hosts'])
  })

  // Guards against a misspelt setting that is silently ignored.
  it('refuses unknown flags, and unknown environment variables with its prefix', () => {
    const unknown = findUnknownOptions({ flags: { host: 'a', hots: 'a' }, knownFlags: ['host'] }, { JAYCHUTE_REGOIN: 'x', JAYCHUTE_ADDRESS: '127.0.0.1:1' })
    expect(unknown.map(problem => problem.flag)).to.deep.equal(['--hots', 'JAYCHUTE_REGOIN'])
  })

  // Guards against two settings that share a flag, and against a variable whose name does not follow from its flag.
  it('has a unique flag for each setting, and an environment variable that is named after it', () => {
    const flags = listFlags()
    expect(new Set(flags.map(flag => flag.flag)).size).to.equal(flags.length)
    expect(flags.find(flag => flag.setting === 'availabilityZone')).to.include({ flag: '--availability-zone', variable: 'JAYCHUTE_AVAILABILITY_ZONE' })
  })
})
