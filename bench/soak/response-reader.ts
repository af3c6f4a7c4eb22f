/** Reads the answers on a connection as their bytes arrive, one after the other. */
import * as buffer from 'node:buffer';

/** An answer that arrived completely. */
export type ReceivedAnswer = {
	readonly status: number;
	/** Identifier of the request, if the answer states it. */
	readonly requestId: string;
	/** Signature of the upstream; empty without one. */
	readonly signature: string;
	readonly body: string;
	/** Whether the answer states that it is the last one of its connection. */
	readonly isLast: boolean;
	/** Time of the last byte in milliseconds of the monotonic clock. */
	readonly endedAt: number;
};

export type ResponseReader = {
	/** Answers in the order of their arrival. */
	readonly answers: readonly ReceivedAnswer[];
	/** Whether bytes arrived that are no answer. */
	hasFailed(): boolean;
	receive(chunk: Uint8Array, now: number): void;
	/** Ends the input as the peer ended the connection; completes an answer that has no length. */
	end(now: number): void;
};

type Head = Pick<ReceivedAnswer, 'status' | 'requestId' | 'signature' | 'isLast'> & {
	readonly bytes: number;
	readonly length: number | undefined;
	readonly isChunked: boolean;
};

/** The body and the number of bytes that it takes, or undefined as long as it is incomplete. */
type Body = {readonly text: string; readonly bytes: number} | undefined;

const emptyLine = '\r\n\r\n';
const endOfLine = '\r\n';
const hexadecimal = 16;

export function createResponseReader(): ResponseReader {
	const answers: ReceivedAnswer[] = [];
	let pending = buffer.Buffer.alloc(0);
	let hasFailed = false;

	function read(now: number, hasEnded: boolean): void {
		while (!hasFailed && pending.length > 0) {
			const headEnd = pending.indexOf(emptyLine);
			if (headEnd === -1) {
				return;
			}

			const head = readHead(pending.toString('latin1', 0, headEnd), headEnd + emptyLine.length);
			if (!head) {
				hasFailed = true;
				return;
			}

			const body = readBody(pending.subarray(head.bytes), head, hasEnded);
			if (!body) {
				return;
			}

			pending = pending.subarray(head.bytes + body.bytes);
			const {status, requestId, signature, isLast} = head;
			answers.push({
				status, requestId, signature, isLast, body: body.text, endedAt: now,
			});
		}
	}

	return {
		answers,
		hasFailed: () => hasFailed,
		receive(chunk, now) {
			pending = buffer.Buffer.concat([pending, chunk]);
			read(now, false);
		},
		end(now) {
			read(now, true);
		},
	};
}

function readHead(text: string, bytes: number): Head | undefined {
	const [statusLine, ...lines] = text.split(endOfLine);
	const status = /^HTTP\/1\.1 (?<status>\d{3})(?: |$)/v.exec(statusLine!)?.groups?.status;
	if (status === undefined) {
		return undefined;
	}

	const headers = new Map(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const length = headers.get('content-length');
	return {
		status: Number(status),
		requestId: headers.get('attempt-id') ?? '',
		signature: headers.get('upstream-signature') ?? '',
		isLast: headers.get('connection')?.toLowerCase() === 'close',
		length: length === undefined ? undefined : Number(length),
		isChunked: headers.get('transfer-encoding')?.toLowerCase() === 'chunked',
		bytes,
	};
}

function readBody(bytes: buffer.Buffer, {length, isChunked}: Head, hasEnded: boolean): Body {
	if (isChunked) {
		return readChunks(bytes);
	}

	if (length !== undefined) {
		return bytes.length < length ? undefined : {text: bytes.toString('latin1', 0, length), bytes: length};
	}

	return hasEnded ? {text: bytes.toString('latin1'), bytes: bytes.length} : undefined;
}

function readChunks(bytes: buffer.Buffer): Body {
	let text = '';
	let position = 0;
	for (;;) {
		const lineEnd = bytes.indexOf(endOfLine, position);
		const length = lineEnd === -1 ? Number.NaN : Number.parseInt(bytes.toString('latin1', position, lineEnd), hexadecimal);
		const end = lineEnd + endOfLine.length + length + endOfLine.length;
		if (Number.isNaN(length) || end > bytes.length) {
			return undefined;
		}

		text += bytes.toString('latin1', lineEnd + endOfLine.length, end - endOfLine.length);
		position = end;
		if (length === 0) {
			return {text, bytes: position};
		}
	}
}
