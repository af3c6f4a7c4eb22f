/** Reads the list of tests that are known to fail, KNOWN-RED.txt. */
import * as fs from 'node:fs';

/** A test that is known to fail. */
export type KnownRedTest = {
	/** Path of the test file, relative to the root of the repository. */
	readonly file: string;
	readonly name: string;
};

/** Parses the lines `test: FILE "NAME"`; throws if a test is listed in another form, since it would be ignored. */
export function parseKnownRed(text: string): readonly KnownRedTest[] {
	return text.split('\n').filter(line => line.startsWith('test:')).map(line => {
		const match = /^test: (?<file>\S+) "(?<name>[^"]+)"$/v.exec(line);
		if (!match) {
			throw new Error(`KNOWN-RED.txt: can't read "${line}". Write it as: test: FILE "NAME"`);
		}

		return {file: match.groups!.file!, name: match.groups!.name!};
	});
}

/** Lists the tests that are known to fail. */
export function listKnownRed(): readonly KnownRedTest[] {
	return parseKnownRed(fs.readFileSync('KNOWN-RED.txt', 'utf8'));
}
