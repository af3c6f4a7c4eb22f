/** Answer sink that writes to the HTTP response of a caller. */
import type * as http from 'node:http';
import {type AnswerSink, type HeaderPairs} from './call.ts';
import {headerNames} from './headers.ts';

/** Values of the headers that the sink adds to each answer. */
export type HttpSinkOptions = {
	readonly entryName: string;
	/** Whether the connection closes after this answer; called once, when the answer starts. */
	isLast(): boolean;
	/** Whether the caller should fetch the entry list again. */
	isEntryListStale(): boolean;
};

/** Creates a sink for the answer to one request. `abort` resets the connection, so that the caller can't take the answer for complete. */
export function createHttpSink(response: http.ServerResponse, options: HttpSinkOptions): AnswerSink {
	return {
		start(head) {
			response.writeHead(head.statusCode, [
				...flatten(head.headers),
				headerNames.outcome,
				head.outcome,
				headerNames.entry,
				options.entryName,
				...(options.isEntryListStale() ? [headerNames.entries, 'refresh'] : []),
				...(options.isLast() ? ['connection', 'close'] : []),
			]);
		},
		write: chunk => response.write(chunk),
		end() {
			response.end();
		},
		abort() {
			response.socket?.resetAndDestroy();
			response.destroy();
		},
		setDrainListener(listener) {
			response.on('drain', listener);
		},
	};
}

function flatten(headers: HeaderPairs): string[] {
	const flat: string[] = [];
	for (const [name, value] of headers) {
		flat.push(name, value);
	}

	return flat;
}
