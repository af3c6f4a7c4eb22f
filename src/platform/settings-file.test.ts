import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as z from 'zod';
import {checkSettings, readSettings} from './settings-file.ts';

const {expect, test} = vitest;

const schema = z.strictObject({
	name: z.string(),
	listen: z.strictObject({host: z.string(), callerPort: z.int()}),
	policy: z.discriminatedUnion('kind', [z.strictObject({kind: z.literal('random'), choices: z.int()})]).optional(),
});

test('rejects an unknown key and suggests the nearest known key of the same object', () => {
	const result = checkSettings({name: 'entry-1', listen: {host: '127.0.0.1', callerPort: 1, callerPorts: 2}}, schema);
	expect(result._unsafeUnwrapErr()).toMatchObject({code: 'FES1003', text: 'Unknown settings key "listen.callerPorts". Remove it or use "listen.callerPort".'});
});

test('rejects an unknown key within a union variant and suggests a key of that variant', () => {
	const result = checkSettings({name: 'entry-1', listen: {host: '127.0.0.1', callerPort: 1}, policy: {kind: 'random', choices: 2, choises: 3}}, schema);
	expect(result._unsafeUnwrapErr().text).toContain('use "policy.choices"');
});

test('reports the path of an invalid value', () => {
	const result = checkSettings({name: 'entry-1', listen: {host: '127.0.0.1', callerPort: 'x'}}, schema);
	expect(result._unsafeUnwrapErr()).toMatchObject({code: 'FES1004'});
	expect(result._unsafeUnwrapErr().text).toContain('listen.callerPort');
});

test('reports a missing file and malformed JSON with different codes', () => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-'));
	const file = path.join(folder, 'settings.json');
	expect(readSettings(file, schema)._unsafeUnwrapErr().code).toBe('FES1001');
	fs.writeFileSync(file, '{');
	expect(readSettings(file, schema)._unsafeUnwrapErr().code).toBe('FES1002');
	fs.rmSync(folder, {recursive: true});
});
