/** Identifies the workspace that calls. */
import type * as http from 'node:http';
import type * as configuration from '../decisions/configuration/types.ts';
import type * as workspaceKeys from '../decisions/configuration/workspace-keys.ts';
import {type HeaderHost} from './types.ts';

/** Who calls, or why the request is refused. */
export type IdentifiedCaller
	= | {readonly kind: 'identified'; readonly workspace: configuration.Workspace | undefined}
		| {readonly kind: 'refused'; readonly reason: 'key-unreadable' | 'key-unknown' | 'key-undecided'};

/** What is known when a request arrives. */
export type CallerKnowledge = {
	readonly headers: Pick<HeaderHost, 'readCredentials'>;
	readonly keys: workspaceKeys.KeyTable;
	readonly isPublic: boolean;
	readonly isStale: boolean;
};

/** Identifies the calling workspace. */
export function identifyCaller(request: http.IncomingMessage, {headers, keys, isPublic, isStale}: CallerKnowledge): IdentifiedCaller {
	const identification = keys.identify(keys.isActive ? headers.readCredentials(request) : {kind: 'absent'}, isPublic, isStale);
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
