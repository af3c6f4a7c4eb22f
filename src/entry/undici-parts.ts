/** Imports only the modules of undici that are needed, since loading the whole library takes a large part of the start-up time of the gateway. */
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

type UndiciParts = {
	readonly agentClass: typeof undici.Agent;
	readonly clientClass: typeof undici.Client;
	readonly connect: typeof undici.buildConnector;
	readonly request: Request;
};

/* eslint-disable @typescript-eslint/no-unsafe-assignment -- The modules inside undici have no types of their own. */
const untypedModules: unknown = {
	agentClass, clientClass, connect, request: apiRequest,
};
/* eslint-enable @typescript-eslint/no-unsafe-assignment */
const undiciParts = untypedModules as UndiciParts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

/** Creates a connector, a function that opens a connection and passes its socket to a callback. */
export const {connect: buildConnector} = undiciParts;

/** Creates a client that uses a single connection. */
export function createClient(origin: string, options: undici.Client.Options): undici.Client {
	return new undiciParts.clientClass(origin, options); // eslint-disable-line new-cap
}

/** Creates an agent, which pools connections to several origins. */
export function createAgent(options: undici.Agent.Options): undici.Agent {
	return new undiciParts.agentClass(options); // eslint-disable-line new-cap
}

/** Sends a request through a dispatcher. */
export async function request(dispatcher: undici.Dispatcher, options: undici.Dispatcher.RequestOptions): Promise<undici.Dispatcher.ResponseData> {
	return undiciParts.request.call(dispatcher, options);
}
