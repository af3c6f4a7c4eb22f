/** The parts of undici that the gateway uses; loading the whole library takes a good part of the time of its start. */
import type * as undici from 'undici';
// @ts-expect-error -- The modules inside undici have no types of their own.
import apiRequest from 'undici/lib/api/api-request.js';
// @ts-expect-error -- The modules inside undici have no types of their own.
import connect from 'undici/lib/core/connect.js';
// @ts-expect-error -- The modules inside undici have no types of their own.
import agentClass from 'undici/lib/dispatcher/agent.js';
// @ts-expect-error -- The modules inside undici have no types of their own.
import clientClass from 'undici/lib/dispatcher/client.js';

type Request = (this: undici.Dispatcher, options: undici.Dispatcher.RequestOptions) => Promise<undici.Dispatcher.ResponseData>;

type Parts = {
	readonly agentClass: typeof undici.Agent;
	readonly clientClass: typeof undici.Client;
	readonly connect: typeof undici.buildConnector;
	readonly request: Request;
};

/* eslint-disable @typescript-eslint/no-unsafe-assignment -- The modules inside undici have no types of their own. */
const modules: unknown = {
	agentClass, clientClass, connect, request: apiRequest,
};
/* eslint-enable @typescript-eslint/no-unsafe-assignment */
const parts = modules as Parts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

/** Creates a connector that opens connections; it calls back with a socket. */
export const {connect: buildConnector} = parts;

/** Creates a client of one connection. */
export function createClient(origin: string, options: undici.Client.Options): undici.Client {
	return new parts.clientClass(origin, options); // eslint-disable-line new-cap
}

/** Creates a pool of connections to several origins. */
export function createAgent(options: undici.Agent.Options): undici.Agent {
	return new parts.agentClass(options); // eslint-disable-line new-cap
}

/** Sends a request by a dispatcher. */
export async function request(dispatcher: undici.Dispatcher, options: undici.Dispatcher.RequestOptions): Promise<undici.Dispatcher.ResponseData> {
	return parts.request.call(dispatcher, options);
}
