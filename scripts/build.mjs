/** Bundles each program into a single executable file with a shebang and prints the file sizes. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as esbuild from 'esbuild';

const folders = {
	'src/programs': 'fescuering-',
	demo: 'fescuering-',
	'stand-ins/programs': 'stand-in-',
	'bench/programs': 'bench-',
};
const entryPoints = [];
for (const [folder, prefix] of Object.entries(folders)) {
	if (!fs.existsSync(folder)) {
		continue;
	}

	for (const file of fs.readdirSync(folder)) {
		if (file.endsWith('.ts') && !file.endsWith('.test.ts')) {
			entryPoints.push({in: path.join(folder, file), out: prefix + path.basename(file, '.ts')});
		}
	}
}

const result = await esbuild.build({
	entryPoints,
	outdir: 'dist',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	metafile: true,
	sourcemap: 'linked',
	logLevel: 'warning',
	define: {FESCUERING_VERSION: JSON.stringify(JSON.parse(fs.readFileSync('package.json', 'utf8')).version)},
	banner: {js: '#!/usr/bin/env node\nimport {createRequire as createRequireForBundle} from \'node:module\';\nconst require = createRequireForBundle(import.meta.url);'},
});

for (const [file, output] of Object.entries(result.metafile.outputs)) {
	if (file.endsWith('.mjs')) {
		fs.chmodSync(file, 0o755);
		process.stdout.write(`${file} ${Math.round(output.bytes / 1024)} KiB\n`);
	}
}
