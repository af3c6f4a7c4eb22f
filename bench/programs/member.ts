/**
A process that only takes part in membership, so that the cost of membership can be measured separately.

SIGUSR2 writes a line with the resources used since the start. SIGHUP makes the member record a report of a draining
upstream. SIGTERM makes the member leave.
*/
import * as diagnosticsChannel from 'node:diagnostics_channel';
import * as net from 'node:net';
import process from 'node:process';
import * as cac from 'cac';
import {createRandomSource} from '../../src/decisions/random.ts';
import {createEntryMembership, createIncarnation} from '../../src/entry/membership.ts';
import {createLogger} from '../../src/observability/logger.ts';
import {createMembershipClient} from '../../src/peers/membership-client.ts';
import {createPeerServer} from '../../src/peers/peer-server.ts';
import {createHttpInstanceList} from '../../src/platform/http-instance-list.ts';

type Flags = {
	readonly name: string;
	readonly failureDomain: string;
	readonly instances: string;
	readonly seed: number;
};

const command = cac.cac('bench-member');
command
	.command('', 'Run a member')
	.option('--name <name>', 'Name of the entry')
	.option('--failure-domain <name>', 'Failure domain of the entry')
	.option('--instances <url>', 'Base address of the instance list')
	.option('--seed <integer>', 'Seed of the random choices', {default: 1})
	.action(runMember);
command.parse();

async function runMember(flags: Flags): Promise<void> {
	const platformPort = Number(new URL(flags.instances).port);
	const byteCounter = createByteCounter(platformPort);
	const client = createMembershipClient();
	const membership = createEntryMembership({
		instanceList: createHttpInstanceList(flags.instances),
		logger: createLogger('info'),
		random: createRandomSource(Number(flags.seed)),
		client,
		tableExchange: {getPosition: () => 1, getUpdate: () => undefined, onPeerPosition: () => undefined},
		getNow: () => performance.now(),
		onFleetChange: () => undefined,
		onUpstreamsChange: () => undefined,
		onReport: () => undefined,
		onSuperseded: () => undefined,
	}, {
		name: flags.name,
		incarnation: createIncarnation(),
		generation: Date.now(),
		region: 'local',
		failureDomain: flags.failureDomain,
		intervalMilliseconds: 1000,
		timeoutMilliseconds: 1000,
	});
	const startResult = await createPeerServer({
		host: '127.0.0.1', port: 0, routes: [membership.routes], recordFailure(error) {
			throw error;
		},
	});
	if (startResult.isErr()) {
		throw new Error(startResult.error.message);
	}

	const peerAddress = `127.0.0.1:${startResult.value.port}`;
	await membership.start({address: peerAddress, peerAddress});
	process.on('SIGUSR2', () => {
		process.stderr.write(`sample=${JSON.stringify({
			time: performance.now(), cpu: process.cpuUsage(), memory: process.memoryUsage(), ...byteCounter.get(), live: membership.countMembersByState().live ?? 0,
		})}\n`);
	});
	process.on('SIGHUP', () => {
		membership.recordUpstreamReport('drained', {
			slots: 4, running: 0, queued: 0, state: 'draining',
		});
	});
	process.on('SIGTERM', () => {
		void membership.leave();
	});
	process.stdout.write(`ready peer=${peerAddress}\n`);
}

/** Counts the bytes on all sockets, separately for the instance list and for other entries. */
function createByteCounter(platformPort: number) {
	const openSockets = new Set<net.Socket>();
	const closedSocketBytes = {peers: 0, platform: 0};
	let connections = 0;
	const getRemoteKind = (socket: net.Socket) => socket.remotePort === platformPort ? 'platform' : 'peers';
	const getBytes = (socket: net.Socket) => socket.bytesRead + socket.bytesWritten;
	const trackSocket = (message: unknown): void => {
		const socket = typeof message === 'object' && message && 'socket' in message ? message.socket : undefined;
		if (!(socket instanceof net.Socket)) {
			return;
		}

		connections++;
		openSockets.add(socket);
		let kind: 'peers' | 'platform' = 'peers';
		socket.once('connect', () => {
			kind = getRemoteKind(socket);
		});
		socket.once('close', () => {
			openSockets.delete(socket);
			closedSocketBytes[kind] += getBytes(socket);
		});
	};

	diagnosticsChannel.subscribe('net.client.socket', trackSocket);
	diagnosticsChannel.subscribe('net.server.socket', trackSocket);
	return {
		get() {
			const bytes = {...closedSocketBytes};
			for (const socket of openSockets) {
				bytes[getRemoteKind(socket)] += getBytes(socket);
			}

			return {bytes, connections, open: openSockets.size};
		},
	};
}
