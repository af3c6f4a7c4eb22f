/** Writes an answer to a caller over HTTP. */
import type * as http from 'node:http';
import {type AnswerSink, type HeaderPairs} from './call.ts';
import {headerNames} from './headers.ts';

export type HttpSinkOptions = {
	readonly entryName: string;
	/** Whether the connection closes after this answer. */
	isLeaving(): boolean;
	/** Whether the caller should ask for the entries again. */
	isEntriesAnswerOld(): boolean;
};

/** Creates a sink for the answer to one request. An aborted answer resets the connection, so that it can't look whole. */
export function createHttpSink(response: http.ServerResponse, options: HttpSinkOptions): AnswerSink {
	return {
		start(head) {
			response.writeHead(head.statusCode, [
				...flatten(head.headers),
				headerNames.outcome,
				head.outcome,
				headerNames.entry,
				options.entryName,
				...(options.isEntriesAnswerOld() ? [headerNames.entries, 'refresh'] : []),
				...(options.isLeaving() ? ['connection', 'close'] : []),
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
