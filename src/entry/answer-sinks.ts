/** Sinks that keep an answer, for repeats of a call and for other entries. */
import * as buffer from 'node:buffer';
import {type WholeAnswer} from '../peers/forwarding-types.ts';
import {type AnswerHead, type AnswerSink} from './call.ts';

/** Passes an answer on and keeps a copy while it fits. */
export type RecordingSink = AnswerSink & {
	/** Stops passing on, e.g. because the caller went away; recording goes on. */
	detach(): void;
	/** Gets the answer when it is whole and fits into the bound. */
	getAnswer(): WholeAnswer | undefined;
};

/** Creates a sink that passes on to another. */
export function createRecordingSink(target: AnswerSink, maximumBytes: number): RecordingSink {
	let head: AnswerHead | undefined;
	let chunks: Uint8Array[] | undefined = [];
	let size = 0;
	let isWhole = false;
	let isDetached = false;
	let drain = (): void => undefined;

	const keep = (chunk: Uint8Array): void => {
		size += chunk.length;
		if (size > maximumBytes) {
			chunks = undefined;
		} else {
			chunks?.push(chunk);
		}
	};

	return {
		start(started) {
			head = started;
			if (!isDetached) {
				target.start(started);
			}
		},
		write(chunk) {
			keep(chunk);
			return isDetached || target.write(chunk);
		},
		end() {
			isWhole = true;
			if (!isDetached) {
				target.end();
			}
		},
		abort() {
			if (!isDetached) {
				target.abort();
			}
		},
		setDrainListener(listener) {
			drain = listener;
			target.setDrainListener(listener);
		},
		detach() {
			isDetached = true;
			drain();
		},
		getAnswer: () => isWhole && head && chunks ? {...head, body: buffer.Buffer.concat(chunks)} : undefined,
	};
}

/** Creates a sink that has no receiver; the listener is called when the answer is whole or can't be completed. */
export function createCollectingSink(maximumBytes: number, listener: (answer: WholeAnswer | undefined) => void): AnswerSink {
	const recording = createRecordingSink({
		start: () => undefined,
		write: () => true,
		end() {
			listener(recording.getAnswer());
		},
		abort() {
			listener(undefined);
		},
		setDrainListener: () => undefined,
	}, maximumBytes);
	return recording;
}
