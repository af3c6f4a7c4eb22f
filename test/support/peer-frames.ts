/** Frames of HTTP/2 that cost their receiver far more than their size (RFC 9113). */
import * as buffer from 'node:buffer';

const types = {
	data: 0, headers: 1, resetStream: 3, settings: 4, ping: 6, continuation: 9,
} as const;
const flags = {none: 0, endStream: 1, endHeaders: 4} as const;
const preface = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n';
/** Header block of `GET http://a/` with entries of the static table of HPACK. */
const headerBlock = '\u0082\u0086\u0084\u0041\u0001a';
const errorCode = '\u0000\u0000\u0000\u0008';

function createFrame(type: number, flag: number, stream: number, payload = ''): string {
	const header = buffer.Buffer.alloc(9);
	header.writeUIntBE(payload.length, 0, 3);
	header.writeUInt8(type, 3);
	header.writeUInt8(flag, 4);
	header.writeUInt32BE(stream, 5);
	return header.toString('latin1') + payload;
}

/** Creates the start of a session with frames up to a size in bytes; `createPart` gets odd numbers, as streams of clients have them. */
function createSession(bytes: number, createPart: (stream: number) => string): string {
	let text = preface + createFrame(types.settings, flags.none, 0);
	for (let stream = 1; text.length < bytes; stream += 2) {
		text += createPart(stream);
	}

	return text;
}

type Form = {readonly name: string; createText(bytes: number): string};

/** Requests that end before they can be answered. */
export const resetRequests: Form = {name: 'rows of requests that are reset', createText: bytes => createSession(bytes, stream => createFrame(types.headers, flags.endHeaders, stream, headerBlock) + createFrame(types.resetStream, flags.none, stream, errorCode))};

/** Forms of sessions, as text with a byte in each character. */
export const forms: readonly Form[] = [
	{name: 'rows of requests', createText: bytes => createSession(bytes, stream => createFrame(types.headers, flags.endHeaders + flags.endStream, stream, headerBlock))},
	{name: 'rows of requests without an end', createText: bytes => createSession(bytes, stream => createFrame(types.headers, flags.endHeaders, stream, headerBlock))},
	resetRequests,
	{name: 'pings', createText: bytes => createSession(bytes, () => createFrame(types.ping, flags.none, 0, '\u0000'.repeat(8)))},
	{name: 'settings', createText: bytes => createSession(bytes, () => createFrame(types.settings, flags.none, 0))},
	{name: 'empty data', createText: bytes => createSession(bytes, stream => stream === 1 ? createFrame(types.headers, flags.endHeaders, 1, headerBlock) : createFrame(types.data, flags.none, 1))},
	{name: 'a head of empty parts', createText: bytes => createSession(bytes, stream => stream === 1 ? createFrame(types.headers, flags.none, 1, headerBlock) : createFrame(types.continuation, flags.none, 1))},
	{name: 'heads of many lines', createText: bytes => createSession(bytes, stream => createFrame(types.headers, flags.endHeaders, stream, headerBlock + '\u0000\u0001a\u0000'.repeat(3000)))},
];
