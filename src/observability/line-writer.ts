/**
Writes lines to a file descriptor without ever blocking, within a bound of lines per second.

One write is under way at a time, in the thread pool of the runtime. What does not fit in the buffer, or comes beyond
the rate, is counted and told in a line of its own; lines marked as important have a rate of their own.
*/
import * as buffer from 'node:buffer';
import * as fs from 'node:fs';

export type LineWriter = {
	/** Takes a line with its line feed. Returns whether it will be written. */
	write(line: string, isImportant?: boolean): boolean;
	/** Resolves when all taken lines are written, or after the wait. */
	flush(milliseconds: number): Promise<void>;
};

export type LineWriterOptions = {
	readonly fileDescriptor: number;
	/** Lines in a second, for important lines and for the others alike. */
	readonly linesPerSecond: number;
	/** Bytes that wait to be written. */
	readonly bufferBytes: number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Lines are gathered for this long before they are written, in milliseconds, so that many share one system call. */
const gatherMilliseconds = 100;
/** Pause after the reader of the descriptor took nothing, in milliseconds. */
const retryMilliseconds = 50;
const windowMilliseconds = 1000;

/** Creates a writer. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
	let pending: string[] = [];
	let pendingBytes = 0;
	let dropped = 0;
	let isWriting = false;
	let windowStart = Number.NEGATIVE_INFINITY;
	const taken = {important: 0, other: 0};

	function isWithinRate(kind: keyof typeof taken): boolean {
		const now = options.getNow();
		if (now - windowStart >= windowMilliseconds) {
			windowStart = now;
			taken.important = 0;
			taken.other = 0;
		}

		taken[kind]++;
		return taken[kind] <= options.linesPerSecond;
	}

	function writePending(): void {
		if (dropped > 0) {
			pending.push(`event=lines-dropped count=${dropped}\n`);
			dropped = 0;
		}

		const bytes = buffer.Buffer.from(pending.join(''));
		pending = [];
		pendingBytes = 0;
		if (bytes.length === 0) {
			isWriting = false;
			return;
		}

		writeBytes(bytes);
	}

	function writeBytes(bytes: buffer.Buffer): void {
		fs.write(options.fileDescriptor, bytes, (error, written) => {
			if (error) {
				if (error.code === 'EAGAIN') {
					setTimeout(writeBytes, retryMilliseconds, bytes);
				} else {
					// Without a reader there is nobody to tell.
					isWriting = false;
				}

				return;
			}

			if (written < bytes.length) {
				writeBytes(bytes.subarray(written));
			} else {
				setTimeout(writePending, gatherMilliseconds);
			}
		});
	}

	return {
		write(line, isImportant = false) {
			if (!isWithinRate(isImportant ? 'important' : 'other') || pendingBytes + line.length > options.bufferBytes) {
				dropped++;
				return false;
			}

			pending.push(line);
			pendingBytes += line.length;
			if (!isWriting) {
				isWriting = true;
				setTimeout(writePending, gatherMilliseconds);
			}

			return true;
		},
		async flush(milliseconds) {
			const endsAt = options.getNow() + milliseconds;
			const hasLines = () => isWriting;
			while (hasLines() && options.getNow() < endsAt) {
				await new Promise(resolve => {
					setTimeout(resolve, gatherMilliseconds / 2);
				});
			}
		},
	};
}
