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
	/** Collects no lines any more: writes those that are queued and all that follow as soon as it can. */
	hurry(): void;
	/** Hurries, and resolves when all queued lines are written, or after the given time. */
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
/** The same pause of a writer that hurries, in milliseconds. */
const hurriedRetryMilliseconds = 10;
const windowMilliseconds = 1000;

/** Creates a writer. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
	let queuedLines: string[] = [];
	let queuedLength = 0;
	let droppedLines = 0;
	let isWriting = false;
	let isHurried = false;
	let cancelScheduled: (() => void) | undefined;
	const idleListeners: Array<() => void> = [];
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

	/** Schedules the next write, unless one is in progress, which is followed by the next one. */
	function schedule(): void {
		if (isWriting || cancelScheduled) {
			return;
		}

		if (isHurried) {
			const immediate = setImmediate(writeQueuedLines);
			cancelScheduled = () => {
				clearImmediate(immediate);
			};
		} else {
			const timer = setTimeout(writeQueuedLines, collectMilliseconds);
			cancelScheduled = () => {
				clearTimeout(timer);
			};
		}
	}

	function writeQueuedLines(): void {
		cancelScheduled = undefined;
		if (droppedLines > 0) {
			queuedLines.push(`event=lines-dropped count=${droppedLines}\n`);
			droppedLines = 0;
		}

		const bytes = buffer.Buffer.from(queuedLines.join(''));
		queuedLines = [];
		queuedLength = 0;
		isWriting = true;
		writeBytes(bytes);
	}

	function writeBytes(bytes: buffer.Buffer): void {
		fs.write(options.fileDescriptor, bytes, (error, written) => {
			if (error?.code === 'EAGAIN') {
				setTimeout(writeBytes, isHurried ? hurriedRetryMilliseconds : retryMilliseconds, bytes);
			} else if (!error && written < bytes.length) {
				writeBytes(bytes.subarray(written));
			} else {
				// After any other error, the descriptor has no reader, so the error can't be reported.
				endWrite();
			}
		});
	}

	function endWrite(): void {
		isWriting = false;
		if (queuedLines.length > 0 || droppedLines > 0) {
			schedule();
			return;
		}

		for (const listener of idleListeners.splice(0)) {
			listener();
		}
	}

	function hurry(): void {
		isHurried = true;
		if (cancelScheduled) {
			cancelScheduled();
			cancelScheduled = undefined;
			schedule();
		}
	}

	return {
		write(line, isImportant = false) {
			if (!isWithinRate(isImportant ? 'important' : 'other') || queuedLength + line.length > options.bufferBytes) {
				droppedLines++;
				return false;
			}

			queuedLines.push(line);
			queuedLength += line.length;
			schedule();
			return true;
		},
		hurry,
		async flush(milliseconds) {
			hurry();
			if (!isWriting && !cancelScheduled) {
				return;
			}

			await new Promise<void>(resolve => {
				setTimeout(resolve, milliseconds);
				idleListeners.push(resolve);
			});
		},
	};
}
