/**
Takes part in membership and does nothing else, so that its cost can be told apart.

SIGUSR2 writes a line with what was used since the start; SIGHUP makes it see an upstream that drains; SIGTERM makes it leave.
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

const program = cac.cac('bench-member');
program
	.command('', 'Run a member')
	.option('--name <name>', 'Name of the entry')
	.option('--failure-domain <name>', 'Failure domain of the entry')
	.option('--instances <url>', 'Base address of the instance list')
	.option('--seed <integer>', 'Seed of the random choices', {default: 1})
	.action(run);
program.parse();

async function run(flags: Flags): Promise<void> {
	const platformPort = Number(new URL(flags.instances).port);
	const counted = countBytes(platformPort);
	const client = createMembershipClient();
	const membership = createEntryMembership({
		instanceList: createHttpInstanceList(flags.instances),
		logger: createLogger('info'),
		random: createRandomSource(Number(flags.seed)),
		client,
		table: {getPosition: () => 1, getUpdate: () => undefined, notePosition: () => undefined},
		getNow: () => performance.now(),
		onFleet: () => undefined,
		onUpstreams: () => undefined,
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
	const opened = await createPeerServer({host: '127.0.0.1', port: 0, routes: [membership.routes]});
	if (opened.isErr()) {
		throw new Error(opened.error.message);
	}

	const peerAddress = `127.0.0.1:${opened.value.port}`;
	await membership.start({address: peerAddress, peerAddress});
	process.on('SIGUSR2', () => {
		process.stderr.write(`sample=${JSON.stringify({
			time: performance.now(), cpu: process.cpuUsage(), memory: process.memoryUsage(), ...counted.get(), live: membership.countStates().live ?? 0,
		})}\n`);
	});
	process.on('SIGHUP', () => {
		membership.observe('drained', {
			slots: 4, running: 0, queued: 0, state: 'draining',
		});
	});
	process.on('SIGTERM', () => {
		void membership.leave();
	});
	process.stdout.write(`ready peer=${peerAddress}\n`);
}

/** Counts the bytes on all sockets, apart for the instance list and for other entries. */
function countBytes(platformPort: number) {
	const open = new Set<net.Socket>();
	const closed = {peers: 0, platform: 0};
	let connections = 0;
	const getKind = (socket: net.Socket) => socket.remotePort === platformPort ? 'platform' : 'peers';
	const getBytes = (socket: net.Socket) => socket.bytesRead + socket.bytesWritten;
	const add = (message: unknown): void => {
		const socket = typeof message === 'object' && message && 'socket' in message ? message.socket : undefined;
		if (!(socket instanceof net.Socket)) {
			return;
		}

		connections++;
		open.add(socket);
		let kind: 'peers' | 'platform' = 'peers';
		socket.once('connect', () => {
			kind = getKind(socket);
		});
		socket.once('close', () => {
			open.delete(socket);
			closed[kind] += getBytes(socket);
		});
	};

	diagnosticsChannel.subscribe('net.client.socket', add);
	diagnosticsChannel.subscribe('net.server.socket', add);
	return {
		get() {
			const bytes = {...closed};
			for (const socket of open) {
				bytes[getKind(socket)] += getBytes(socket);
			}

			return {bytes, connections, open: open.size};
		},
	};
}
