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
const collectMilliseconds = 100;
/** Pause after a write that would block because the reader of the descriptor is slow, in milliseconds. */
const retryMilliseconds = 50;
const windowMilliseconds = 1000;

/** Creates a writer. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
	let queuedLines: string[] = [];
	let queuedLength = 0;
	let droppedLines = 0;
	let isWriting = false;
	let windowStart = Number.NEGATIVE_INFINITY;
	const linesInWindow = {important: 0, other: 0};

	function isWithinRate(kind: keyof typeof linesInWindow): boolean {
		const now = options.getNow();
		if (now - windowStart >= windowMilliseconds) {
			windowStart = now;
			linesInWindow.important = 0;
			linesInWindow.other = 0;
		}

		linesInWindow[kind]++;
		return linesInWindow[kind] <= options.linesPerSecond;
	}

	function writeQueuedLines(): void {
		if (droppedLines > 0) {
			queuedLines.push(`event=lines-dropped count=${droppedLines}\n`);
			droppedLines = 0;
		}

		const bytes = buffer.Buffer.from(queuedLines.join(''));
		queuedLines = [];
		queuedLength = 0;
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
				setTimeout(writeQueuedLines, collectMilliseconds);
			}
		});
	}

	return {
		write(line, isImportant = false) {
			if (!isWithinRate(isImportant ? 'important' : 'other') || queuedLength + line.length > options.bufferBytes) {
				droppedLines++;
				return false;
			}

			queuedLines.push(line);
			queuedLength += line.length;
			if (!isWriting) {
				isWriting = true;
				setTimeout(writeQueuedLines, collectMilliseconds);
			}

			return true;
		},
		async flush(milliseconds) {
			const endsAt = options.getNow() + milliseconds;
			const hasLines = () => isWriting;
			while (hasLines() && options.getNow() < endsAt) {
				await new Promise(resolve => {
					setTimeout(resolve, collectMilliseconds / 2);
				});
			}
		},
	};
}
