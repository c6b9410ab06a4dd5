import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'coverage/**'] }),
  {
    rules: {
      eqeqeq: ['error', 'always'],
      'no-restricted-syntax': ['error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        { selector: "CallExpression[callee.property.name='forEach']", message: 'Use a for of loop.' }
      ]
    }
  }
]
