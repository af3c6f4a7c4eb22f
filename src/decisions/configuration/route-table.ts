/** Finds the route of a request by its host and the longest prefix of its path. */
import {type RandomSource} from '../random.ts';
import type * as types from './types.ts';

export type RouteTable = {
	/** Gets the route; `host` is the value of the `Host` header, `path` may carry a query. */
	resolve(host: string, path: string): types.Route | undefined;
	/** Gets the description of a service. */
	getService(name: string): types.ServiceDescription | undefined;
};

/** Indexes the routes of a configuration. */
export function createRouteTable(configuration: types.Configuration): RouteTable {
	const hosts = new Map<string, Map<string, types.Route>>();
	for (const route of configuration.routes) {
		const prefixes = hosts.get(route.host) ?? new Map<string, types.Route>();
		prefixes.set(route.pathPrefix, route);
		hosts.set(route.host, prefixes);
	}

	const services = new Map(configuration.services.map(service => [service.name, service]));
	return {
		resolve(host, path) {
			const prefixes = hosts.get(normalizeHost(host));
			return prefixes && findLongest(prefixes, path);
		},
		getService: name => services.get(name),
	};
}

/** Tries the prefixes of a path that end with a slash, the longest first. */
function findLongest(prefixes: ReadonlyMap<string, types.Route>, path: string): types.Route | undefined {
	const query = path.indexOf('?');
	let end = path.lastIndexOf('/', query === -1 ? path.length : query);
	while (end >= 0) {
		const route = prefixes.get(path.slice(0, end + 1));
		if (route) {
			return route;
		}

		end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
	}

	return undefined;
}

/** Lower-cases a host and takes its port off. */
export function normalizeHost(host: string): string {
	const colon = host.lastIndexOf(':');
	const name = colon > host.lastIndexOf(']') ? host.slice(0, colon) : host;
	return name.toLowerCase();
}

/** Draws the service of a request by the weights of the route's destinations. */
export function drawService(route: types.Route, random: RandomSource): string {
	const [first, ...others] = route.destinations;
	if (others.length === 0) {
		return first!.service;
	}

	const total = route.destinations.reduce((sum, {weight}) => sum + weight, 0);
	let rest = random.nextFraction() * total;
	for (const {service, weight} of route.destinations) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return first!.service;
}
