/**
Bundles the gateway into target/ for the platform, with the code that V8 has compiled for its start.

Run it with the options of V8 that the program runs with; V8 refuses compiled code of other options.
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

// Running the program once lets V8 compile what a start needs.
const script = new vm.Script(load.wrap(fs.readFileSync(bundle, 'utf8')), {filename: bundle});
process.argv.splice(2, process.argv.length, '--version');
load.run(script, bundle);
await new Promise(resolve => {
	setImmediate(resolve);
});
fs.writeFileSync(`${bundle}.cache`, script.createCachedData());
