/** Answer sink whose errors reach a handler instead of the part of the entry that writes the answer. */
import {type AnswerSink} from './call.ts';

/** A sink, and the end of its use. */
export type GuardedSink = {
	readonly sink: AnswerSink;
	/** Ignores all that is written from now on. */
	detach(): void;
};

/** Creates a sink that writes to another one until it is detached. */
export function createGuardedSink(target: AnswerSink, guard: (run: () => void) => void): GuardedSink {
	let isDetached = false;

	function forward(run: () => void): void {
		if (!isDetached) {
			guard(run);
		}
	}

	return {
		sink: {
			start(head) {
				forward(() => {
					target.start(head);
				});
			},
			write(chunk) {
				let mayGoOn = true;
				forward(() => {
					mayGoOn = target.write(chunk);
				});
				return mayGoOn;
			},
			end() {
				forward(target.end);
			},
			abort() {
				forward(target.abort);
			},
			setDrainListener: target.setDrainListener,
		},
		detach() {
			isDetached = true;
		},
	};
}
