/** Skips the tests of KNOWN-RED.txt; with FESCUERING_KNOWN_RED set, skips all others. */
import * as path from 'node:path';
import process from 'node:process';
import * as vitest from 'vitest';
import * as knownRed from './known-red.ts';

const knownRedTests = knownRed.listKnownRed();
const isKnownRedRun = process.env.FESCUERING_KNOWN_RED !== undefined;

vitest.beforeEach(({task, skip}) => {
	const file = path.relative(process.cwd(), task.file.filepath);
	const isKnownRed = knownRedTests.some(test => test.file === file && test.name === task.name);
	if (isKnownRed !== isKnownRedRun) {
		skip(isKnownRed ? 'listed in KNOWN-RED.txt' : 'not listed in KNOWN-RED.txt');
	}
});
