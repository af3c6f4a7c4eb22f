/** Records what upstreams state about the requests that they accept, and logs each change. */
import * as exhaustiveness from '../decisions/assert-never.ts';
import * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import type * as registry from '../decisions/registry/types.ts';
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
	/** Requests per second that a cold upstream of a service accepts; undefined if the service has no such limit. */
	getColdRate(service: string): number | undefined;
	/** Called after a change of how an upstream may be used. */
	onChange(): void;
};

/** Records the statements of all upstreams. */
export type StatementRecorder = {
	readonly statements: upstreamStatements.UpstreamStatements;
	/** Records the statements in a response that an upstream sent to this entry. */
	recordResponse(upstream: upstreams.Upstream, metadata: types.ResponseMetadata, exchange: Exchange): void;
	/** Records what a new or changed registration says of its upstream. */
	recordRegistration(registration: registry.Registration): void;
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
	const accessTimers = new Map<string, NodeJS.Timeout>();

	function record(statement: upstreamStatements.UpstreamStatement, origin: string): boolean {
		const isChange = statements.record(statement);
		if (isChange) {
			const {id, incarnation, content, heardAt} = statement;
			host.logger.info('upstream-statement-changed', {
				upstream: id, incarnation, ...describeContent(content), origin, ageMilliseconds: Math.round(host.getNow() - heardAt),
			});
			host.onChange();
			scheduleAccessEnd(statement);
		}

		return isChange;
	}

	/** Calls `onChange` at the end of a pause or of the cold state, which no response announces. */
	function scheduleAccessEnd(upstream: upstreamStatements.UpstreamIncarnation): void {
		const now = host.getNow();
		const endsAt = getAccessEnd(statements.getAccess(upstream, now));
		if (endsAt === undefined) {
			return;
		}

		clearTimeout(accessTimers.get(upstream.id));
		const timer = setTimeout(() => {
			accessTimers.delete(upstream.id);
			host.onChange();
			scheduleAccessEnd(upstream);
		}, Math.max(1, Math.ceil(endsAt - now)));
		timer.unref();
		accessTimers.set(upstream.id, timer);
	}

	/** Records whether an upstream is cold, if its service limits the requests to such upstreams. */
	function recordCold(source: Omit<upstreamStatements.UpstreamStatement, 'content'>, service: string, milliseconds: number, origin: string): void {
		const requestsPerSecond = host.getColdRate(service);
		if (requestsPerSecond !== undefined) {
			record({...source, content: {kind: 'cold', milliseconds, requestsPerSecond}}, origin);
		}
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
		recordResponse({registration: {id, incarnation, service}}, {acceptance}, {kind, statusCode}) {
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

			const coldMilliseconds = getValue(source, 'cold', acceptance.coldMilliseconds);
			if (coldMilliseconds !== undefined || (acceptance.coldMilliseconds.kind === 'absent' && kind === 'check' && statements.isCold(source, source.heardAt))) {
				recordCold(source, service, coldMilliseconds ?? 0, 'response');
			}
		},
		recordRegistration({id, incarnation, service, warmUpMilliseconds}) {
			if (warmUpMilliseconds > 0) {
				recordCold({id, incarnation, heardAt: host.getNow()}, service, warmUpMilliseconds, 'registry');
			}
		},
		recordShared(shared, origin) {
			const now = host.getNow();
			const changes = shared.filter(statement => !isOver(statement)).filter(({ageMilliseconds, ...statement}) => record({...statement, heardAt: now - ageMilliseconds}, origin));
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
			for (const timer of accessTimers.values()) {
				clearTimeout(timer);
			}
		},
	};
}

/** Whether a statement of another entry holds no longer. */
function isOver({content, ageMilliseconds}: codec.SharedStatement): boolean {
	return content.kind === 'cold' && content.milliseconds > 0 && ageMilliseconds >= content.milliseconds;
}

function getAccessEnd(access: upstreamStatements.UpstreamAccess): number | undefined {
	switch (access.kind) {
		case 'paused': {
			return access.endsAt;
		}

		case 'by-permit': {
			return access.coldUntil;
		}

		case 'open':
		case 'leaving': {
			return undefined;
		}

		default: {
			return exhaustiveness.assertNever(access);
		}
	}
}

function describeContent(content: upstreamStatements.StatementContent): Readonly<Record<string, unknown>> {
	switch (content.kind) {
		case 'rate-limit': {
			return {statement: content.kind, requestsPerSecond: content.requestsPerSecond};
		}

		case 'pause': {
			return {statement: content.kind, milliseconds: content.milliseconds};
		}

		case 'cold': {
			return {statement: content.kind, milliseconds: Math.round(content.milliseconds), requestsPerSecond: content.requestsPerSecond};
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
