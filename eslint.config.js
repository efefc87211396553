import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'dist-defect/**', 'docs/api/**', 'reports/**', '**/*.generated.*'] },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }],
    },
  },
  { files: ['**/*.test.ts', 'test/**'], rules: { '@typescript-eslint/no-unused-expressions': 'off' } },
);
