import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {createRouteTable, chooseServiceByWeight} from './route-table.ts';
import type * as types from './types.ts';

const {expect, test} = vitest;

function createRoute(pathPrefix: string, changes: Partial<types.Route> = {}): types.Route {
	return {
		name: pathPrefix, host: 'desk.example', pathPrefix, kind: 'idempotent', destinations: [{service: 'a', weight: 1}], timeoutMilliseconds: 1000, objectiveMilliseconds: 100, maximumAttempts: 2, priority: 0, isPublic: false, ...changes,
	};
}

const table = createRouteTable({
	version: 1,
	routes: [createRoute('/a/'), createRoute('/a/b/'), createRoute('/', {host: 'all.example'})],
	services: [],
	workspaces: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1,
	},
});

test('resolve chooses the route with the longest matching path prefix', () => {
	const resolve = (path: string) => table.resolve('desk.example', path)?.name;
	expect([resolve('/a/x'), resolve('/a/b/x'), resolve('/a/b'), resolve('/a/bc/d'), resolve('/a/b/')]).toEqual(['/a/', '/a/b/', '/a/', '/a/', '/a/b/']);
	expect([resolve('/a'), resolve('/'), resolve('/b/a/'), resolve('')]).toEqual([undefined, undefined, undefined, undefined]);
});

test('resolve ignores the query string, the case of the host and its port', () => {
	expect(table.resolve('desk.example', '/a?x=/a/b/')).toBeUndefined();
	expect(table.resolve('DESK.example:8080', '/a/?x=/a/b/')?.name).toBe('/a/');
	expect(table.resolve('all.example', '/anything')?.name).toBe('/');
	expect(table.resolve('other.example', '/a/')).toBeUndefined();
});

test('requests are split over destinations in proportion to their weights', () => {
	const random = createRandomSource(20_266);
	const route = createRoute('/', {destinations: [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}]});
	const counts = new Map<string, number>();
	for (let count = 0; count < 10_000; count++) {
		const service = chooseServiceByWeight(route, random);
		counts.set(service, (counts.get(service) ?? 0) + 1);
	}

	expect(counts.get('a')! / 10_000).toBeCloseTo(0.9, 1);
	expect(counts.get('c')).toBeUndefined();
});
