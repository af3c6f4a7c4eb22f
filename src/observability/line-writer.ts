/**
Writes lines to a file descriptor without blocking, with a limit of lines per second.

At most one write is in progress, in the thread pool of the runtime. Lines that exceed the buffer or the rate limit are
dropped, and a line of its own reports how many. Important lines have a rate limit of their own.
*/
import * as buffer from 'node:buffer';
import * as fs from 'node:fs';

/** Writes lines to one file descriptor. */
export type LineWriter = {
	/** Queues a line, which includes its line feed. Returns false if the line is dropped. */
	write(line: string, isImportant?: boolean): boolean;
	/** Resolves when all queued lines are written, or after the given time. */
	flush(milliseconds: number): Promise<void>;
};

/** Target and limits of a line writer. */
export type LineWriterOptions = {
	readonly fileDescriptor: number;
	/** Maximum lines per second, applied separately to important lines and to all others. */
	readonly linesPerSecond: number;
	/** Maximum total length of the queued lines; compared with their number of UTF-16 code units. */
	readonly bufferBytes: number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Time for which lines are collected before they are written with one system call, in milliseconds. */
const gatherMilliseconds = 100;
/** Pause after a write that would block because the reader of the descriptor is slow, in milliseconds. */
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
					// The descriptor has no reader, so the error can't be reported.
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
