/** Records what upstreams state about the requests that they accept, and logs each change. */
import * as exhaustiveness from '../decisions/assert-never.ts';
import * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import type * as logger from '../observability/logger.ts';
import type * as codec from '../peers/sharing-codec.ts';
import type * as types from './types.ts';
import type * as upstreams from './upstreams.ts';

/** The exchange in which an upstream responded. A response to a check may omit a rate limit that still holds. */
export type Exchange = {readonly kind: 'request' | 'check'; readonly statusCode: number};

/** Dependencies of a statement recorder. */
export type StatementRecorderHost = {
	readonly logger: logger.Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Called after a change of how an upstream may be used. */
	onChange(): void;
};

/** Records the statements of all upstreams. */
export type StatementRecorder = {
	readonly statements: upstreamStatements.UpstreamStatements;
	/** Records the statements in a response that an upstream sent to this entry. */
	recordResponse(upstream: upstreams.Upstream, metadata: types.ResponseMetadata, exchange: Exchange): void;
	/** Records statements that another entry has heard. Returns whether one of them changed what is known. */
	recordShared(shared: readonly codec.SharedStatement[], origin: string): boolean;
	/** Gets the statements that changed after a revision, with their age. */
	getUpdate(since: number): {readonly revision: number; readonly statements: readonly codec.SharedStatement[]};
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
	close(): void;
};

const unavailableStatus = 503;
/** Maximum length of an invalid value in a log line. */
const maximumLoggedCharacters = 40;

/** Creates a recorder without statements. */
export function createStatementRecorder(host: StatementRecorderHost): StatementRecorder {
	const statements = upstreamStatements.createUpstreamStatements();
	/** Incarnations of the upstreams whose invalid statement was logged. */
	const loggedInvalid = new Map<string, number>();
	const pauseTimers = new Map<string, NodeJS.Timeout>();

	function record(statement: upstreamStatements.UpstreamStatement, origin: string): boolean {
		const isChange = statements.record(statement);
		if (isChange) {
			const {id, incarnation, content, heardAt} = statement;
			host.logger.info('upstream-statement-changed', {
				upstream: id, incarnation, ...describeContent(content), origin, ageMilliseconds: Math.round(host.getNow() - heardAt),
			});
			host.onChange();
			schedulePauseEnd(statement);
		}

		return isChange;
	}

	/** Calls `onChange` at the end of a pause, which no response announces. */
	function schedulePauseEnd(upstream: upstreamStatements.UpstreamIncarnation): void {
		const now = host.getNow();
		const access = statements.getAccess(upstream, now);
		if (access.kind !== 'paused') {
			return;
		}

		clearTimeout(pauseTimers.get(upstream.id));
		const timer = setTimeout(() => {
			pauseTimers.delete(upstream.id);
			host.onChange();
			schedulePauseEnd(upstream);
		}, Math.max(1, access.endsAt - now));
		timer.unref();
		pauseTimers.set(upstream.id, timer);
	}

	/** Returns the stated value; logs one that can't be used. */
	function getValue<Value>({id, incarnation}: upstreamStatements.UpstreamIncarnation, statement: string, stated: types.Stated<Value>): Value | undefined {
		switch (stated.kind) {
			case 'absent': {
				return undefined;
			}

			case 'stated': {
				return stated.value;
			}

			case 'invalid': {
				if (loggedInvalid.get(id) !== incarnation) {
					loggedInvalid.set(id, incarnation);
					host.logger.warn('upstream-statement-invalid', {
						upstream: id, incarnation, statement, text: stated.text.slice(0, maximumLoggedCharacters),
					});
				}

				return undefined;
			}

			default: {
				return exhaustiveness.assertNever(stated);
			}
		}
	}

	return {
		statements,
		recordResponse({registration: {id, incarnation}}, {acceptance}, {kind, statusCode}) {
			const source = {id, incarnation, heardAt: host.getNow()};
			if (getValue(source, 'leaving', acceptance.leaving)) {
				record({...source, content: {kind: 'leaving'}}, 'response');
			}

			const requestsPerSecond = getValue(source, 'rate-limit', acceptance.requestsPerSecond);
			if (requestsPerSecond !== undefined) {
				record({...source, content: {kind: 'rate-limit', requestsPerSecond}}, 'response');
			} else if (acceptance.requestsPerSecond.kind === 'absent' && kind === 'request' && statements.hasStatedRate(source)) {
				record({...source, content: {kind: 'no-rate-limit'}}, 'response');
			}

			const milliseconds = statusCode === unavailableStatus ? getValue(source, 'pause', acceptance.retryAfterMilliseconds) : undefined;
			if (milliseconds !== undefined) {
				record({...source, content: {kind: 'pause', milliseconds}}, 'response');
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
			statements.retain(isRegistered, host.getNow());
			for (const id of loggedInvalid.keys()) {
				if (!isRegistered(id)) {
					loggedInvalid.delete(id);
				}
			}
		},
		close() {
			for (const timer of pauseTimers.values()) {
				clearTimeout(timer);
			}
		},
	};
}

function describeContent(content: upstreamStatements.StatementContent): Readonly<Record<string, unknown>> {
	switch (content.kind) {
		case 'rate-limit': {
			return {statement: content.kind, requestsPerSecond: content.requestsPerSecond};
		}

		case 'pause': {
			return {statement: content.kind, milliseconds: content.milliseconds};
		}

		case 'no-rate-limit':
		case 'leaving': {
			return {statement: content.kind};
		}

		default: {
			return exhaustiveness.assertNever(content);
		}
	}
}
