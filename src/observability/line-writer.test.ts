import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as lineWriter from './line-writer.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;
/** Time in which a line is written that nothing holds back, in milliseconds. */
const writeMilliseconds = 1000;
let folder: string;
let file: string;
let fileDescriptor: number;

beforeEach(() => {
	folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-lines-'));
	file = path.join(folder, 'log');
	fileDescriptor = fs.openSync(file, 'w');
	// The test decides when lines have been collected.
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
});

afterEach(() => {
	vi.useRealTimers();
	fs.closeSync(fileDescriptor);
	fs.rmSync(folder, {recursive: true});
});

const createWriter = () => lineWriter.createLineWriter({
	fileDescriptor, linesPerSecond: 400, bufferBytes: 10_000, getNow: () => performance.now(),
});

async function waitForText(text: string): Promise<void> {
	const endsAt = performance.now() + writeMilliseconds;
	while (fs.readFileSync(file, 'utf8') !== text && performance.now() < endsAt) {
		await timers.setImmediate();
	}

	expect(fs.readFileSync(file, 'utf8')).toBe(text);
}

test('lines are collected and written together', async () => {
	const writer = createWriter();
	writer.write('first\n');
	await vi.advanceTimersByTimeAsync(99);
	writer.write('second\n');
	await timers.setImmediate();
	expect(fs.readFileSync(file, 'utf8')).toBe('');
	await vi.advanceTimersByTimeAsync(1);
	await waitForText('first\nsecond\n');
});

// Guards against lines of a stop that are lost because the process is killed while it collects them.
test('a writer that hurries waits for nothing', async () => {
	const writer = createWriter();
	writer.write('first\n');
	writer.hurry();
	await waitForText('first\n');
	writer.write('second\n');
	await waitForText('first\nsecond\n');
	writer.write('third\n');
	writer.write('fourth\n');
	await waitForText('first\nsecond\nthird\nfourth\n');
});

// Guards against lines that are lost at the end of a process because collecting them takes longer than there is time.
test('a flush writes at once what is collected, and ends with it', async () => {
	const writer = createWriter();
	await writer.flush(10);
	writer.write('first\n');
	const flushed = writer.flush(10);
	writer.write('second\n');
	const result = await Promise.race([flushed.then(() => 'flushed'), waitForTurns()]);
	expect(result).toBe('flushed');
	expect(fs.readFileSync(file, 'utf8')).toBe('first\nsecond\n');
});

async function waitForTurns(): Promise<string> {
	const endsAt = performance.now() + writeMilliseconds;
	while (performance.now() < endsAt) {
		await timers.setImmediate();
	}

	return 'still waiting';
}
