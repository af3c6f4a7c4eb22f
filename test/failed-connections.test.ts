/** Tests which ends of connections are recorded as cuts. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as trafficMemory from '../src/decisions/admission/traffic-memory.ts';
import * as callerConnections from '../src/gateway/caller-connections.ts';
import * as portLimits from '../src/gateway/port-limits.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;

afterEach(gatewayProcess.close);

const createError = (code: string) => Object.assign(new Error('failed'), {code});

type End = {
	readonly name: string;
	readonly reason: callerConnections.CutReason | undefined;
	end(socket: net.Socket, connections: callerConnections.CallerConnections, caller: rawCaller.RawCaller): void;
};

const ends: readonly End[] = [
	{
		name: 'an error of the network', reason: 'connection-failed', end(socket) {
			socket.destroy(createError('ETIMEDOUT'));
		},
	},
	{
		name: 'a cut that shows as an error', reason: 'stop-over', end(socket, connections) {
			connections.cut(socket, 'stop-over');
			socket.emit('error', createError('ECONNRESET'));
		},
	},
	{
		name: 'a reset by the caller', reason: undefined, end(_socket, _connections, caller) {
			caller.socket.resetAndDestroy();
		},
	},
	{
		name: 'a write to a caller that has left', reason: undefined, end(socket) {
			socket.destroy(createError('EPIPE'));
		},
	},
];

// Guards against requests that end with their connection without a line in the log, because the end shows as an error.
test.each(ends)('$name is recorded as $reason', async ({reason, end}) => {
	const cuts: callerConnections.CutConnection[] = [];
	const sockets: net.Socket[] = [];
	const getNow = () => 0;
	const server = http.createServer((request, response) => {
		connections.recordPassedOn(connections.beginExchange(request, response));
		sockets.push(request.socket);
	});
	const limits = portLimits.createPortLimits({
		memory: trafficMemory.createTrafficMemory(100_000_000), maximumSockets: 100, getNow, onClosed: () => undefined,
	});
	const connections = callerConnections.trackConnections(server, {
		port: limits.limitPort(server, 'callers'), getNow, onRequestAhead: () => undefined, onCut(cut) {
			cuts.push(cut);
		},
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	gatewayProcess.addCleanup(async () => {
		limits.close();
		server.close();
		server.closeAllConnections();
	});
	const address = server.address();
	const caller = rawCaller.connect(`127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`);
	caller.socket.write(rawCaller.createRequest('a'));
	await gateways.waitUntil(() => sockets.length === 1);
	const [socket] = sockets;
	const closed = new Promise(resolve => {
		socket!.once('close', resolve);
	});
	end(socket!, connections, caller);
	await closed;
	expect(cuts).toEqual(reason === undefined ? [] : [{reason, open: 1, passedOn: 1}]);
});
