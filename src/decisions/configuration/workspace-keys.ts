/** Identifies the workspace that calls, by the key that it sends. */
import type * as types from './types.ts';

/** What a request says about its caller. */
export type Credentials
	= | {readonly kind: 'absent'}
		| {readonly kind: 'key'; readonly key: string}
	/** There are several, or one of an unknown form. */
		| {readonly kind: 'unreadable'};

/** Result of identifying a caller. */
export type Identification
	/** The workspace is undefined if the configuration has none, or the route needs none. */
	= | {readonly kind: 'identified'; readonly workspace: types.Workspace | undefined}
		| {readonly kind: 'unreadable'}
	/** No workspace has the key. */
		| {readonly kind: 'unknown'}
	/** A configuration that this entry hasn't received may decide otherwise, or the key belongs to several workspaces. */
		| {readonly kind: 'undecided'};

/** Keys of all workspaces of a configuration. */
export type KeyTable = {
	/** Whether the configuration has workspaces. */
	readonly isActive: boolean;
	identify(credentials: Credentials, isPublicRoute: boolean, isStale: boolean): Identification;
};

const ambiguous = Symbol('ambiguous');

/** Creates the table of a configuration. */
export function createKeyTable(workspaces: readonly types.Workspace[]): KeyTable {
	const workspacesByKey = new Map<string, types.Workspace | typeof ambiguous>();
	for (const workspace of workspaces) {
		for (const key of workspace.keys) {
			const other = workspacesByKey.get(key);
			workspacesByKey.set(key, other === undefined || other === workspace ? workspace : ambiguous);
		}
	}

	function identifyByKey(key: string, isStale: boolean): Identification {
		const workspace = workspacesByKey.get(key);
		if (workspace === undefined) {
			return {kind: isStale ? 'undecided' : 'unknown'};
		}

		return workspace === ambiguous ? {kind: 'undecided'} : {kind: 'identified', workspace};
	}

	return {
		isActive: workspaces.length > 0,
		identify(credentials, isPublicRoute, isStale) {
			if (workspaces.length === 0) {
				return {kind: 'identified', workspace: undefined};
			}

			if (isPublicRoute) {
				const known = credentials.kind === 'key' ? identifyByKey(credentials.key, isStale) : undefined;
				return {kind: 'identified', workspace: known?.kind === 'identified' ? known.workspace : undefined};
			}

			switch (credentials.kind) {
				case 'absent': {
					return {kind: isStale ? 'undecided' : 'unknown'};
				}

				case 'unreadable': {
					return {kind: 'unreadable'};
				}

				case 'key': {
					return identifyByKey(credentials.key, isStale);
				}
			}
		},
	};
}

/** Number of route priorities below each priority of a workspace. */
const routePriorities = 1000;

/** Gets the priority of a request: that of its workspace goes before that of its route. */
export function getPriority(route: types.Route, workspace: types.Workspace | undefined): number {
	return ((workspace?.priority ?? 0) * routePriorities) + Math.min(route.priority, routePriorities - 1);
}
