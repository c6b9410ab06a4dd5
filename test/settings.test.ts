import { expect } from 'chai'
import { listFlags, readSettings } from '../src/process/settings.ts'

const entry = {
  role: 'entry',
  host: 'entry-1',
  availabilityZone: 'kildare',
  region: 'leinster',
  internalAddress: '127.0.0.1:7000',
  callerAddress: '127.0.0.1:7001',
  controlHosts: '127.0.0.1:7002,127.0.0.1:7003'
}

function problemsOf (given: Record<string, unknown>, environment: NodeJS.ProcessEnv = {}): string[] {
  return readSettings(given, environment).match(() => [], problems => problems.map(problem => problem.flag))
}

describe('settings', () => {
  it('takes flags before environment variables', () => {
    const settings = readSettings({ ...entry, host: 'flag' }, { JAYCHUTE_HOST: 'variable', JAYCHUTE_LOG_LEVEL: 'warn' })
    expect(settings._unsafeUnwrap()).to.include({ host: 'flag', logLevel: 'warn' })
  })

  it('reports each missing and each malformed setting', () => {
    expect(problemsOf({ ...entry, host: undefined, internalAddress: 'localhost:1' })).to.deep.equal(['--host', '--internal-address'])
  })

  it('refuses contradictions between the role and other settings', () => {
    expect(problemsOf({ ...entry, dataFolder: '/tmp/x' })).to.deep.equal(['--data-folder'])
    expect(problemsOf({ ...entry, role: 'control' })).to.deep.equal(['--caller-address', '--data-folder', '--control-hosts'])
  })

  it('refuses unknown environment variables of its own prefix', () => {
    expect(problemsOf(entry, { JAYCHUTE_REGOIN: 'x' })).to.deep.equal(['JAYCHUTE_REGOIN'])
  })

  it('names each flag and variable once', () => {
    const flags = listFlags()
    expect(new Set(flags.map(flag => flag.flag)).size).to.equal(flags.length)
    expect(flags.find(flag => flag.setting === 'availabilityZone')).to.include({ flag: '--availability-zone', variable: 'JAYCHUTE_AVAILABILITY_ZONE' })
  })
})
