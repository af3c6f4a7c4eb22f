/**
Bundles the gateway into target/ for the platform, together with V8's code cache for a faster start.

Run this script with the same V8 options as the gateway: V8 rejects a code cache created with other options.
*/
import * as fs from 'node:fs';
import * as module from 'node:module';
import * as path from 'node:path';
import process from 'node:process';
import * as vm from 'node:vm';
import * as esbuild from 'esbuild';

const bundle = path.resolve('target/gateway-bundle.cjs');
await esbuild.build({
	entryPoints: ['src/programs/gateway.ts'],
	outfile: bundle,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	keepNames: false,
	logLevel: 'warning',
	define: {FESCUERING_VERSION: JSON.stringify(JSON.parse(fs.readFileSync('package.json', 'utf8')).version)},
});
const load = module.createRequire(import.meta.url)(path.resolve('scripts/load-bundle.cjs'));
fs.copyFileSync('scripts/load-bundle.cjs', 'target/fescuering-gateway.cjs');

// Run the program once, so that V8 compiles the functions that a start needs.
const script = new vm.Script(load.wrap(fs.readFileSync(bundle, 'utf8')), {filename: bundle});
process.argv.splice(2, process.argv.length, '--version');
load.run(script, bundle);
await new Promise(resolve => {
	setImmediate(resolve);
});
fs.writeFileSync(`${bundle}.cache`, script.createCachedData());
