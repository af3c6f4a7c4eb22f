/** Bundles the gateway into target/ for the platform. */
import * as fs from 'node:fs';
import * as esbuild from 'esbuild';

await esbuild.build({
	entryPoints: [{in: 'src/programs/gateway.ts', out: 'fescuering-gateway'}],
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minifySyntax: true,
	logLevel: 'warning',
	define: {FESCUERING_VERSION: JSON.stringify(JSON.parse(fs.readFileSync('package.json', 'utf8')).version)},
	banner: {js: 'import {createRequire as createRequireForBundle} from \'node:module\';\nconst require = createRequireForBundle(import.meta.url);'},
});
