/** Checks refused connections after random orders of requests, responses, departures and refusals. */
import * as stream from 'node:stream';
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as closingConnections from './closing-connections.ts';
import type * as exchangesModule from './exchanges.ts';
import * as refusedConnections from './refused-connections.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;

type Action = 'request' | 'body' | 'response' | 'refusal' | 'departure' | 'wait';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** A connection whose writes and requests the test controls. */
function createConnection() {
	const written: string[] = [];
	const socket = new stream.Duplex({
		read: () => undefined,
		write(chunk, _encoding, callback) {
			written.push(String(chunk));
			callback();
		},
	});
	const open: Array<{readonly exchange: refusedConnections.OpenExchange; readonly request: {complete: boolean}; end(end: exchangesModule.ExchangeEnd): void}> = [];
	return {
		socket, written, open,
		begin() {
			const listeners: Array<(end: exchangesModule.ExchangeEnd) => void> = [];
			const request = {complete: false};
			let hasEnded = false;
			open.push({
				exchange: {
					request,
					response: {headersSent: false},
					onEnd(listener) {
						listeners.push(listener);
					},
					hasEnded: () => hasEnded,
				},
				request,
				end(end) {
					hasEnded = true;
					for (const listener of listeners) {
						listener(end);
					}
				},
			});
		},
	};
}

const actions = fc.array(fc.constantFrom<Action>('request', 'body', 'response', 'refusal', 'departure', 'wait'), {minLength: 1, maxLength: 14});

// Guards against a status that is taken for the response to another request, and against requests that run behind one that promises the opposite.
test('in any order, a refused connection handles nothing more, and its status comes once and behind all responses', () => {
	fc.assert(fc.property(actions, order => {
		const connection = createConnection();
		const {socket, open, written} = connection;
		const refused = refusedConnections.createRefusedConnections({listOn: () => open.map(({exchange}) => exchange), closing: closingConnections.createClosingConnections(), answersIncomplete: false});
		let isRefused = false;
		let hasLeft = false;
		for (const action of order) {
			switch (action) {
				case 'request': {
					// The last request before it is complete, otherwise its bytes would belong to that one.
					if (!refused.isRefused(socket) && !socket.destroyed && (open.at(-1)?.request.complete ?? true)) {
						connection.begin();
					}

					break;
				}

				case 'body': {
					if (open.length > 0) {
						open.at(-1)!.request.complete = true;
					}

					break;
				}

				case 'response': {
					open.shift()?.end('responded');
					break;
				}

				case 'refusal': {
					isRefused = true;
					refused.refuse(socket, 'status');
					break;
				}

				case 'departure': {
					hasLeft ||= open.length > 0;
					for (const {end} of open.splice(0)) {
						end('caller-left');
					}

					break;
				}

				case 'wait': {
					vi.advanceTimersByTime(6000);
					break;
				}
			}

			expect(refused.isRefused(socket)).toBe(isRefused);
			expect(written.length).toBeLessThanOrEqual(isRefused ? 1 : 0);
			expect(written.length > 0 && open.length > 0).toBe(false);
		}

		for (const {request, end} of open.splice(0)) {
			request.complete = true;
			end('responded');
		}

		vi.advanceTimersByTime(6000);
		expect(socket.destroyed).toBe(isRefused);
		expect(written.length > 0 || socket.destroyed || !isRefused || hasLeft).toBe(true);
	}), {seed: 5, numRuns: 500});
});
