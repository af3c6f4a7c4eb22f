/** Runs the gateway bundle in the folder of this file, with V8's code cache when there is one. */
'use strict';

const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

/** Wraps the source of a CommonJS module in a function expression. */
function wrap(source) {
	return `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
}

/** Runs the script of a wrapped module. */
function run(script, filename) {
	const instance = {exports: {}};
	script.runInThisContext()(instance.exports, require, instance, filename, path.dirname(filename));
}

if (require.main === module) {
	// The default effect would end the process. Nothing is lost, since the program reads the settings after this.
	process.on('SIGHUP', () => undefined);
	const filename = path.join(__dirname, 'gateway-bundle.cjs');
	const cachedData = fs.existsSync(`${filename}.cache`) ? fs.readFileSync(`${filename}.cache`) : undefined;
	const script = new vm.Script(wrap(fs.readFileSync(filename, 'utf8')), {filename, cachedData});
	if (script.cachedDataRejected) {
		process.stdout.write('event=compiled-code-refused\n');
	}

	run(script, filename);
}

module.exports = {wrap, run};
