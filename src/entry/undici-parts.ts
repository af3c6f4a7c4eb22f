/** The parts of undici that the gateway uses; loading the whole library takes a good part of the time of its start. */
import type * as undici from 'undici';
// @ts-expect-error -- The modules inside undici have no types of their own.
import apiRequest from 'undici/lib/api/api-request.js';
// @ts-expect-error -- The modules inside undici have no types of their own.
import connect from 'undici/lib/core/connect.js';
// @ts-expect-error -- The modules inside undici have no types of their own.
import AgentClass from 'undici/lib/dispatcher/agent.js';
// @ts-expect-error -- The modules inside undici have no types of their own.
import ClientClass from 'undici/lib/dispatcher/client.js';

type Request = (this: undici.Dispatcher, options: undici.Dispatcher.RequestOptions) => Promise<undici.Dispatcher.ResponseData>;

const sendRequest = apiRequest as Request;

export const buildConnector = connect as typeof undici.buildConnector;
export const Agent = AgentClass as typeof undici.Agent;
export const Client = ClientClass as typeof undici.Client;

/** Sends a request by a dispatcher. */
export async function request(dispatcher: undici.Dispatcher, options: undici.Dispatcher.RequestOptions): Promise<undici.Dispatcher.ResponseData> {
	return sendRequest.call(dispatcher, options);
}
