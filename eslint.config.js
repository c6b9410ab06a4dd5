import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'coverage/**', 'target/**'] }),
  {
    rules: {
      // A constant object and the type of its values share a name; the compiler reports real redeclarations.
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      eqeqeq: ['error', 'always'],
      'no-restricted-syntax': ['error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        { selector: "CallExpression[callee.property.name='forEach']", message: 'Use a for of loop.' },
        { selector: "CallExpression[callee.object.name='AbortSignal'][callee.property.name='any'] CallExpression[callee.object.name='AbortSignal'][callee.property.name='timeout']", message: 'The garbage collector removes this timer. Use createTimeLimit.' }
      ]
    }
  }
]
