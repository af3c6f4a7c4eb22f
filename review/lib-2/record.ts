/** The record of a case, and its exit codes. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';

export const hasTrouble = process.env.TROUBLE !== '0';

export type Verdict = 'broken' | 'held' | 'not-run';

/** Time after which a case that has not ended counts as one that could not run, in milliseconds. */
const maximumMilliseconds = 118_000;
const exitCodes: Readonly<Record<Verdict, number>> = {held: 0, broken: 1, 'not-run': 2};

export type CaseRecord = {
	/** Writes a line with the time since the start. */
	write(text: string): void;
};

/** Runs a case in a temporary folder, writes its record, and exits with the code of its verdict. */
export async function runCase(recordFile: string, run: (record: CaseRecord, folder: string) => Promise<Verdict>): Promise<never> {
	const startedAt = performance.now();
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	fs.writeFileSync(recordFile, '');
	const write = (text: string) => {
		const line = `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`;
		fs.appendFileSync(recordFile, line);
	};

	const giveUp = (reason: string) => {
		write(`could not run: ${reason}`);
		process.exit(exitCodes['not-run']); // eslint-disable-line unicorn/no-process-exit
	};

	process.once('uncaughtException', error => {
		giveUp(error.message);
	});
	setTimeout(giveUp, maximumMilliseconds, 'it took too long').unref();
	let verdict: Verdict = 'not-run';
	try {
		verdict = await run({write}, folder);
	} catch (error) {
		write(`could not run: ${error instanceof Error ? error.message : String(error)}`);
	}

	write(`verdict: ${verdict}`);
	process.stdout.write(`${verdict}\n`);
	if (process.env.KEEP_LOGS === undefined) {
		fs.rmSync(folder, {recursive: true, force: true});
	} else {
		process.stdout.write(`${folder}\n`);
	}

	process.exit(exitCodes[verdict]); // eslint-disable-line unicorn/no-process-exit
}

/** Waits. */
export async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
