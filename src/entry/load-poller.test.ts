import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import * as vitest from 'vitest';
import {type LogHost, type LogRecord} from '../platform/types.ts';
import * as loadPoller from './load-poller.ts';

const {expect, test} = vitest;

/** Creates a log that keeps its records in memory. */
function createLog(): LogHost {
	const records: LogRecord[] = [];
	return {
		append(_stream, id, value) {
			records.push({
				offset: records.length, id, appendedAt: Date.now(), value,
			});
			return neverthrow.okAsync(records.length - 1);
		},
		read: (_stream, offset) => neverthrow.ResultAsync.fromSafePromise(timers.setTimeout(5)).map(() => ({
			firstOffset: 0, nextOffset: records.length, records: records.slice(offset),
		})),
	};
}

const load = '{"slots":4,"running":0,"queued":0,"state":"live"}';
const answer = `\r\ncontent-length: ${load.length}\r\n\r\n${load}`;

// Guards against a load that is believed although its answer has no status, and against an error that such an answer leaves uncaught.
test.each(['000 Odd', '099 Odd', '101 Odd', '600 Odd', '0 Odd', '-01 Odd', '1000 Odd'])('takes no load from an answer with %j, and polls on', async head => {
	let polls = 0;
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			polls++;
			socket.write(`HTTP/1.1 ${polls <= 2 ? head : '200 OK'}${answer}`);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const pollsAtReports: number[] = [];
	const poller = loadPoller.createLoadPoller({
		log: createLog(),
		logger: {
			error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined,
		},
		random: {nextFraction: () => 0.5, nextInteger: () => 0},
		getNow: () => performance.now(),
		getUpstreams: () => [{
			service: 'desk', upstream: 'u-1', address: `127.0.0.1:${port}`, budgetPerSecond: 100,
		}],
		countEntries: () => 1,
		onReport() {
			pollsAtReports.push(polls);
		},
		onMeasurement: () => undefined,
	}, 'a');
	poller.start();
	for (let count = 0; count < 1000 && pollsAtReports.length === 0; count++) {
		await timers.setTimeout(10);
	}

	await poller.stop();
	server.close();
	expect(pollsAtReports[0]).toBe(3);
});
