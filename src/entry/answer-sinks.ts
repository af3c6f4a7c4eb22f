/** Answer sinks that buffer an answer, for repeats of a call and for calls forwarded by other entries. */
import * as buffer from 'node:buffer';
import {type BufferedAnswer} from '../peers/forwarding-types.ts';
import {type AnswerHead, type AnswerSink} from './call.ts';

/** Forwards an answer to another sink and records a copy, unless the copy exceeds a maximum size. */
export type RecordingSink = AnswerSink & {
	/** Stops forwarding, e.g. because the caller disconnected; recording continues. */
	stopForwarding(): void;
	/** Returns the recorded answer; undefined while it is incomplete or when it exceeds the maximum size. */
	getRecordedAnswer(): BufferedAnswer | undefined;
};

/** Creates a sink that forwards to `target` and records up to `maximumBytes` of the body. */
export function createRecordingSink(target: AnswerSink, maximumBytes: number): RecordingSink {
	let head: AnswerHead | undefined;
	let chunks: Uint8Array[] | undefined = [];
	let totalBytes = 0;
	let isComplete = false;
	let isDetached = false;
	let notifyDrain = (): void => undefined;

	const recordChunk = (chunk: Uint8Array): void => {
		totalBytes += chunk.length;
		if (totalBytes > maximumBytes) {
			chunks = undefined;
		} else {
			chunks?.push(chunk);
		}
	};

	return {
		start(answerHead) {
			head = answerHead;
			if (!isDetached) {
				target.start(answerHead);
			}
		},
		write(chunk) {
			recordChunk(chunk);
			return isDetached || target.write(chunk);
		},
		end() {
			isComplete = true;
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
			notifyDrain = listener;
			target.setDrainListener(listener);
		},
		stopForwarding() {
			isDetached = true;
			notifyDrain();
		},
		getRecordedAnswer: () => isComplete && head && chunks ? {...head, body: buffer.Buffer.concat(chunks)} : undefined,
	};
}

/** Creates a sink that only records. It calls the listener at the end of the answer, with undefined when the answer was aborted or is too large. */
export function createCollectingSink(maximumBytes: number, listener: (answer: BufferedAnswer | undefined) => void): AnswerSink {
	const recording = createRecordingSink({
		start: () => undefined,
		write: () => true,
		end() {
			listener(recording.getRecordedAnswer());
		},
		abort() {
			listener(undefined);
		},
		setDrainListener: () => undefined,
	}, maximumBytes);
	return recording;
}
