/** Identifies the calling workspace of a request by its key. */
import type * as configuration from '../decisions/configuration/types.ts';
import type * as workspaceKeys from '../decisions/configuration/workspace-keys.ts';

/** Result of the identification. */
export type IdentifiedCaller
	= | {readonly kind: 'identified'; readonly workspace: configuration.Workspace | undefined}
		| {readonly kind: 'refused'; readonly reason: 'key-unreadable' | 'key-unknown' | 'key-undecided'};

/** Identifies a caller by the credentials of its request; `isStale` tells whether a key that is unknown may exist. */
export function identifyCaller(keys: workspaceKeys.KeyTable, credentials: workspaceKeys.Credentials, isPublic: boolean, isStale: boolean): IdentifiedCaller {
	const identification = keys.identify(credentials, isPublic, isStale);
	switch (identification.kind) {
		case 'identified': {
			return {kind: 'identified', workspace: identification.workspace};
		}

		case 'unreadable': {
			return {kind: 'refused', reason: 'key-unreadable'};
		}

		case 'unknown': {
			return {kind: 'refused', reason: 'key-unknown'};
		}

		case 'undecided': {
			return {kind: 'refused', reason: 'key-undecided'};
		}
	}
}
