/** Resolves requests to routes by host and longest matching path prefix. */
import {type RandomSource} from '../random.ts';
import type * as types from './types.ts';

export type RouteTable = {
	/** Finds the route of a request; `host` is the value of the `Host` header, and `path` may include a query string. */
	resolve(host: string, path: string): types.Route | undefined;
	/** Finds the description of a service by name. */
	getService(name: string): types.ServiceDescription | undefined;
};

/** Creates a route table that indexes the routes and services of a configuration. */
export function createRouteTable(configuration: types.Configuration): RouteTable {
	const prefixesByHost = new Map<string, Map<string, types.Route>>();
	for (const route of configuration.routes) {
		const prefixes = prefixesByHost.get(route.host) ?? new Map<string, types.Route>();
		prefixes.set(route.pathPrefix, route);
		prefixesByHost.set(route.host, prefixes);
	}

	const servicesByName = new Map(configuration.services.map(service => [service.name, service]));
	return {
		resolve(host, path) {
			const prefixes = prefixesByHost.get(normalizeHost(host));
			return prefixes && findLongestPrefixMatch(prefixes, path);
		},
		getService: name => servicesByName.get(name),
	};
}

/** Finds the route with the longest matching prefix. Only prefixes of the path that end with a slash are looked up. */
function findLongestPrefixMatch(prefixes: ReadonlyMap<string, types.Route>, path: string): types.Route | undefined {
	const queryStart = path.indexOf('?');
	let slash = path.lastIndexOf('/', queryStart === -1 ? path.length : queryStart);
	while (slash >= 0) {
		const route = prefixes.get(path.slice(0, slash + 1));
		if (route) {
			return route;
		}

		slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
	}

	return undefined;
}

/** Converts a host to lower case and removes its port. */
export function normalizeHost(host: string): string {
	const colon = host.lastIndexOf(':');
	const name = colon > host.lastIndexOf(']') ? host.slice(0, colon) : host;
	return name.toLowerCase();
}

/** Chooses the service of a request at random, in proportion to the weights of the route's destinations. */
export function chooseServiceByWeight(route: types.Route, random: RandomSource): string {
	const [first, ...others] = route.destinations;
	if (others.length === 0) {
		return first!.service;
	}

	const totalWeight = route.destinations.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random.nextFraction() * totalWeight;
	for (const {service, weight} of route.destinations) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return first!.service;
}
