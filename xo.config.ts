import {type FlatXoConfig} from 'xo';

/** Folders under src, in import order. A layer may import only itself and the layers after it. */
const layers = ['programs', 'gateway', 'entry', 'peers', 'platform', 'observability', 'decisions'];

/** Forbids each layer to import the layers before it, stand-ins and bench. */
const layerRules: FlatXoConfig = layers.map((layer, index) => ({
	files: [`src/${layer}/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			patterns: [{
				group: [
					...layers.slice(0, index).map(before => `**/${before}/**`),
					'**/stand-ins/**',
					'**/bench/**',
					...(layer === 'programs' ? [] : ['**/../../platform/**']),
				],
				message: `src/${layer} may import only itself and ${layers.slice(index + 1).join(', ') || 'no other layer'}.`,
			}],
		}],
	},
}));

/** Header and field names of the platform protocol that are not self-explanatory. Only platform/ may use them. */
const wireHeaders = 'attempt-id|deadline-ms|target-instance|upstream-signature|not-executed|instance-id|upstream-load|server-limit|cold-ms|store-era';
const wireFields = 'ttlS|addrs|coldLeftMs|targetLatencyMs|maxConns|idleTimeoutMs|headerTimeoutMs|maxHeaderBytes|maxBodyBytes|waitMs|maxKb';
const wireRules = [
	{selector: String.raw`Literal[value=/^(${wireHeaders}|keyed\..*|\/api\/.*)$/i]`, message: 'Names of the platform protocol may be used only in platform/.'},
	{selector: `Identifier[name=/^(${wireFields})$/]`, message: 'Field names of the platform protocol may be used only in platform/.'},
];

const namespaceRule = {
	selector: 'ImportDeclaration[source.value=/^node:(?!process$)/] > ImportDefaultSpecifier',
	message: 'Import Node.js built-in modules as a namespace: import * as http from \'node:http\'.',
};

const config: FlatXoConfig = [
	{ignores: ['src/generated/**', 'dist/**', 'output/**']},
	{
		rules: {
			'no-restricted-syntax': ['error', namespaceRule],
			'unicorn/import-style': 'off',
			'import-x/extensions': 'off',
			'no-await-in-loop': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true}],
		},
	},
	...layerRules,
	{
		files: ['src/**/*.ts'],
		rules: {'no-restricted-syntax': ['error', namespaceRule, ...wireRules]},
	},
	{
		files: ['src/decisions/**/*.ts'],
		ignores: ['src/decisions/**/*.test.ts'],
		rules: {
			'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch', 'performance'],
			'no-restricted-properties': ['error', {object: 'Date', property: 'now'}, {object: 'Math', property: 'random'}],
		},
	},
];

export default config;
