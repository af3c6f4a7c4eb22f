import * as connect from '@connectrpc/connect';
import {create} from '@bufbuild/protobuf';
import * as vitest from 'vitest';
import {DigestSchema, MembershipService} from '../generated/membership_pb.ts';
import {createPeerServer} from './peer-server.ts';
import {createPeerTransports} from './peer-transports.ts';

const {expect, test} = vitest;

function failLoudly(error: unknown): never {
	throw error;
}

test('a client can call a service on the peer port, and again after its connection was discarded', async () => {
	const opened = await createPeerServer({
		host: '127.0.0.1',
		port: 0,
		recordFailure: failLoudly,
		routes: [router => {
			router.service(MembershipService, {exchange: digest => create(DigestSchema, {tablePosition: digest.tablePosition + 1n})});
		}],
	});
	const server = opened._unsafeUnwrap();
	const address = `127.0.0.1:${server.port}`;
	const transports = createPeerTransports();
	const first = await connect.createClient(MembershipService, transports.get(address)).exchange({tablePosition: 4n});
	expect(first.tablePosition).toBe(5n);
	transports.discard(address);
	const second = await connect.createClient(MembershipService, transports.get(address)).exchange({tablePosition: 8n});
	expect(second.tablePosition).toBe(9n);
	transports.close();
	await server.close(100);
});

test('opening a port that is in use fails with address-unavailable', async () => {
	const options = {
		host: '127.0.0.1', port: 0, routes: [], recordFailure: failLoudly,
	};
	const opened = await createPeerServer(options);
	const server = opened._unsafeUnwrap();
	const second = await createPeerServer({...options, port: server.port});
	expect(second._unsafeUnwrapErr().kind).toBe('address-unavailable');
	await server.close(100);
});

// Guards against uncaught session errors: connect-node removes its error listener when a session is discarded, and the
// closing server can still cause an error on that session.
test('discarding connections while the server closes raises no uncaught error', async () => {
	const opened = await createPeerServer({
		host: '127.0.0.1',
		port: 0,
		recordFailure: failLoudly,
		routes: [router => {
			router.service(MembershipService, {exchange: () => create(DigestSchema)});
		}],
	});
	const server = opened._unsafeUnwrap();
	const address = `127.0.0.1:${server.port}`;
	const pools = Array.from({length: 60}, () => createPeerTransports());
	await Promise.all(pools.map(async pool => connect.createClient(MembershipService, pool.get(address)).exchange({})));
	const closed = server.close(100);
	for (const [index, pool] of pools.entries()) {
		pool.discard(address);
		await (index % 2 === 0
			? new Promise(resolve => {
				setImmediate(resolve);
			})
			: Promise.resolve());
	}

	await closed;
});
