/** Tests the list of tests that CI passes over. */
import * as fs from 'node:fs';
import * as vitest from 'vitest';
import * as knownRed from './support/known-red.ts';

const {expect, test} = vitest;

test('each test in KNOWN-RED.txt exists under its name', () => {
	for (const {file, name} of knownRed.listKnownRed()) {
		const shared = fs.readdirSync('test/support').map(support => `test/support/${support}`);
		const sources = [file, ...shared].map(source => fs.readFileSync(source, 'utf8'));
		expect(sources.some(source => source.includes(`test('${name}'`)), `${file} has no test "${name}"`).toBe(true);
	}
});

test('a listed test is passed over by its name, not its whole file', () => {
	expect(knownRed.parseKnownRed('test: test/a.test.ts "first, and second"\ncommand: x\n\ntest: test/a.test.ts "third"\n')).toEqual([
		{file: 'test/a.test.ts', name: 'first, and second'}, {file: 'test/a.test.ts', name: 'third'},
	]);
	expect(() => knownRed.parseKnownRed('test: test/a.test.ts\n')).toThrow(/FILE "NAME"/v);
});
