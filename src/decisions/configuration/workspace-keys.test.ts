import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type * as types from './types.ts';
import * as workspaceKeys from './workspace-keys.ts';

const {expect, test} = vitest;
const createWorkspace = (name: string, keys: readonly string[], priority = 1): types.Workspace => ({name, keys: [...keys], priority});
const first = createWorkspace('first', ['a', 'b']);
const second = createWorkspace('second', ['c']);
const table = workspaceKeys.createKeyTable([first, second]);
const createKey = (key: string): workspaceKeys.Credentials => ({kind: 'key', key});

test('a key identifies its workspace, and no other key does', () => {
	expect(table.identify(createKey('b'), false, false)).toEqual({kind: 'identified', workspace: first});
	expect(table.identify(createKey('c'), false, true)).toEqual({kind: 'identified', workspace: second});
	expect(table.identify(createKey('B'), false, false)).toEqual({kind: 'unknown'});
	expect(table.identify({kind: 'absent'}, false, false)).toEqual({kind: 'unknown'});
	expect(table.identify({kind: 'unreadable'}, false, false)).toEqual({kind: 'unreadable'});
});

// Guards against callers that are denied by an entry which hasn't received their key.
test('an entry that may be behind decides nothing about a key that it doesn\'t know', () => {
	expect(table.identify(createKey('new'), false, true)).toEqual({kind: 'undecided'});
	expect(table.identify({kind: 'absent'}, false, true)).toEqual({kind: 'undecided'});
});

test('a key of two workspaces identifies neither', () => {
	const ambiguous = workspaceKeys.createKeyTable([first, createWorkspace('other', ['b'])]);
	expect(ambiguous.identify(createKey('b'), false, false)).toEqual({kind: 'undecided'});
	expect(ambiguous.identify(createKey('a'), false, false)).toEqual({kind: 'identified', workspace: first});
});

test('a public route needs no key, and a configuration without workspaces none at all', () => {
	expect(table.identify({kind: 'absent'}, true, false)).toEqual({kind: 'identified', workspace: undefined});
	expect(table.identify(createKey('unknown'), true, false)).toEqual({kind: 'identified', workspace: undefined});
	expect(table.identify(createKey('a'), true, false)).toEqual({kind: 'identified', workspace: first});
	expect(workspaceKeys.createKeyTable([]).identify({kind: 'unreadable'}, false, false)).toEqual({kind: 'identified', workspace: undefined});
});

test('after any moves of keys, the configuration in force alone decides', () => {
	const keys = fastCheck.uniqueArray(fastCheck.string({maxLength: 3}), {maxLength: 6});
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(keys, keys), {minLength: 1, maxLength: 5}), versions => {
		for (const [left, right] of versions) {
			const current = workspaceKeys.createKeyTable([createWorkspace('left', left), createWorkspace('right', right)]);
			for (const key of [...left, ...right]) {
				const isShared = left.includes(key) && right.includes(key);
				const identification = current.identify(createKey(key), false, false);
				expect(identification.kind === 'identified' ? identification.workspace?.name : identification.kind).toBe(isShared ? 'undecided' : (left.includes(key) ? 'left' : 'right'));
			}
		}
	}), {seed: 41, numRuns: 300});
});

test('the priority of a workspace goes before that of a route', () => {
	const createRoute = (priority: number): types.Route => ({
		name: 'r', host: 'h', pathPrefix: '/', kind: 'idempotent', destinations: [{service: 's', weight: 1}], timeoutMilliseconds: 1, objectiveMilliseconds: 1, maximumAttempts: 1, priority, isPublic: false,
	});
	expect(workspaceKeys.getPriority(createRoute(9), createWorkspace('w', [], 0))).toBeLessThan(workspaceKeys.getPriority(createRoute(0), createWorkspace('w', [], 1)));
	expect(workspaceKeys.getPriority(createRoute(1), undefined)).toBe(1);
});
