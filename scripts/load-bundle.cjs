/** Starts the bundle that stands beside this file, with the code that V8 has compiled for it before. */
'use strict';

const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

/** Puts the source of a CommonJS module into a function. */
function wrap(source) {
	return `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
}

/** Runs a wrapped module. */
function run(script, filename) {
	const instance = {exports: {}};
	script.runInThisContext()(instance.exports, require, instance, filename, path.dirname(filename));
}

if (require.main === module) {
	const filename = path.join(__dirname, 'gateway-bundle.cjs');
	const cachedData = fs.existsSync(`${filename}.cache`) ? fs.readFileSync(`${filename}.cache`) : undefined;
	const script = new vm.Script(wrap(fs.readFileSync(filename, 'utf8')), {filename, cachedData});
	if (script.cachedDataRejected) {
		process.stdout.write('event=compiled-code-refused\n');
	}

	run(script, filename);
}

module.exports = {wrap, run};
