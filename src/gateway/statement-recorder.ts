/** Records what upstreams state about the requests that they accept, and logs each change. */
import {assertNever} from '../decisions/assert-never.ts';
import * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import type * as logger from '../observability/logger.ts';
import type * as codec from '../peers/sharing-codec.ts';
import type * as types from './types.ts';
import type * as upstreams from './upstreams.ts';

/** Kind of the exchange in which an upstream responded. A response to a check may omit statements that still hold. */
export type ExchangeKind = 'request' | 'check';

/** Dependencies of a statement recorder. */
export type StatementRecorderHost = {
	readonly logger: logger.Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Called after a change of what is known of an upstream. */
	onChange(): void;
};

/** Records the statements of all upstreams. */
export type StatementRecorder = {
	readonly statements: upstreamStatements.UpstreamStatements;
	/** Records the statements in a response that an upstream sent to this entry. */
	recordResponse(upstream: upstreams.Upstream, metadata: types.ResponseMetadata, exchange: ExchangeKind): void;
	/** Records statements that another entry has heard. Returns whether one of them changed what is known. */
	recordShared(shared: readonly codec.SharedStatement[], origin: string): boolean;
	/** Gets the statements that changed after a revision, with their age. */
	getUpdate(since: number): {readonly revision: number; readonly statements: readonly codec.SharedStatement[]};
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
};

/** Maximum length of an invalid value in a log line. */
const maximumLoggedCharacters = 40;

/** Creates a recorder without statements. */
export function createStatementRecorder(host: StatementRecorderHost): StatementRecorder {
	const statements = upstreamStatements.createUpstreamStatements();
	/** Incarnations of the upstreams whose invalid statement was logged. */
	const loggedInvalid = new Map<string, number>();

	function record(statement: upstreamStatements.UpstreamStatement, origin: string): boolean {
		const isChange = statements.record(statement);
		if (isChange) {
			const {id, incarnation, content, heardAt} = statement;
			host.logger.info('upstream-statement-changed', {
				upstream: id, incarnation, statement: content.kind, requestsPerSecond: content.kind === 'rate-limit' ? content.requestsPerSecond : undefined, origin, ageMilliseconds: Math.round(host.getNow() - heardAt),
			});
			host.onChange();
		}

		return isChange;
	}

	function logInvalid(id: string, incarnation: number, text: string): void {
		if (loggedInvalid.get(id) !== incarnation) {
			loggedInvalid.set(id, incarnation);
			host.logger.warn('upstream-statement-invalid', {upstream: id, incarnation, text: text.slice(0, maximumLoggedCharacters)});
		}
	}

	return {
		statements,
		recordResponse({registration: {id, incarnation}}, {rateLimit}, exchange) {
			const source = {id, incarnation, heardAt: host.getNow()};
			switch (rateLimit.kind) {
				case 'none': {
					if (exchange === 'request' && statements.has(source)) {
						record({...source, content: {kind: 'no-rate-limit'}}, 'response');
					}

					break;
				}

				case 'limited': {
					record({...source, content: {kind: 'rate-limit', requestsPerSecond: rateLimit.requestsPerSecond}}, 'response');
					break;
				}

				case 'invalid': {
					logInvalid(id, incarnation, rateLimit.text);
					break;
				}

				default: {
					assertNever(rateLimit);
				}
			}
		},
		recordShared(shared, origin) {
			const now = host.getNow();
			const changes = shared.filter(({ageMilliseconds, ...statement}) => record({...statement, heardAt: now - ageMilliseconds}, origin));
			return changes.length > 0;
		},
		getUpdate(since) {
			const now = host.getNow();
			const update = statements.getUpdate(since);
			return {
				revision: update.revision,
				statements: update.statements.map(({heardAt, ...statement}) => ({...statement, ageMilliseconds: now - heardAt})),
			};
		},
		retain(isRegistered) {
			statements.retain(isRegistered);
			for (const id of loggedInvalid.keys()) {
				if (!isRegistered(id)) {
					loggedInvalid.delete(id);
				}
			}
		},
	};
}
