/** Tests of the command line of the entry program, and of the reference pages that are generated from the code. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as vitest from 'vitest';
import {createErrorsPage, createSettingsPage, createSettingsSchema} from '../scripts/reference.ts';

const {
	afterAll, expect, test,
} = vitest;

const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-programs-'));

afterAll(() => {
	fs.rmSync(temporaryFolder, {recursive: true});
});

const validSettings = {
	name: 'entry-1',
	failureDomain: 'north',
	failureDomains: ['north', 'south'],
	listen: {callerPort: 0, peerPort: 0},
	platform: {logUrl: 'http://127.0.0.1:1', instanceListUrl: 'http://127.0.0.1:1'},
};

async function runEntry(settings: unknown, ...extra: string[]) {
	const file = path.join(temporaryFolder, 'settings.json');
	fs.writeFileSync(file, JSON.stringify(settings));
	return runProgram('--settings', file, ...extra);
}

async function runProgram(...programArguments: string[]): Promise<{code: number | undefined; output: string; errors: string}> {
	return new Promise(resolve => {
		childProcess.execFile(process.execPath, ['dist/fescuering-entry.mjs', ...programArguments], (error, output, errors) => {
			resolve({code: error ? Number(error.code) : 0, output, errors});
		});
	});
}

test('--check accepts valid settings', async () => {
	expect(await runEntry(validSettings, '--check')).toEqual({code: 0, output: 'settings ok\n', errors: ''});
});

const invalidSettings = [
	{name: 'an unknown key', settings: {...validSettings, polices: {kind: 'random'}}, text: /FES1003.*"polices".*"policy"/v},
	{name: 'a wrong value', settings: {...validSettings, listen: {callerPort: 'x', peerPort: 0}}, text: /FES1004.*listen\.callerPort/v},
	{name: 'an unlisted failure domain', settings: {...validSettings, failureDomain: 'west'}, text: /FES1006.*"west".*north, south/v},
];

test.each(invalidSettings)('$name in the settings is reported in one line with the cause, and the exit code is 2', async ({settings, text}) => {
	const result = await runEntry(settings);
	expect(result.code).toBe(2);
	expect(result.errors.trim().split('\n')).toHaveLength(1);
	expect(result.errors).toMatch(text);
});

test('an address in use is reported in one line with the cause, and the exit code is 2', async () => {
	const server = net.createServer().listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	const address = server.address();
	const callerPort = typeof address === 'object' && address ? address.port : 0;
	const result = await runEntry({...validSettings, listen: {callerPort, peerPort: 0}});
	server.close();
	expect(result.code).toBe(2);
	expect(result.errors).toMatch(/^error FES1005: .*EADDRINUSE/v);
	expect(result.errors.trim().split('\n')).toHaveLength(1);
});

test('a missing or unknown option is reported as an error, and the exit code is 2', async () => {
	expect(await runProgram()).toMatchObject({code: 2, errors: expect.stringMatching(/^error FES1007/v) as unknown});
	expect(await runProgram('--sttings', 'x')).toMatchObject({code: 2, errors: expect.stringMatching(/^error FES1008/v) as unknown});
});

test('--help and --version print the help and the version', async () => {
	const help = await runProgram('--help');
	const version = await runProgram('--version');
	expect(help).toMatchObject({code: 0});
	expect(help.output).toContain('--settings');
	expect(version.output).toMatch(/\d+\.\d+\.\d+/v);
});

test('the committed reference pages match the pages that the code generates', () => {
	const read = (file: string) => fs.readFileSync(path.join('docs', file), 'utf8');
	expect(JSON.parse(read('entry-settings.schema.json'))).toEqual(createSettingsSchema());
	expect(read('SETTINGS.md')).toBe(createSettingsPage());
	expect(read('ERRORS.md')).toBe(createErrorsPage());
});
