/** Records what upstreams state about themselves, logs each change, and shares it with the other entries. */
import {assertNever} from '../decisions/assert-never.ts';
import * as rateLimits from '../decisions/backpressure/rate-limits.ts';
import type * as logger from '../observability/logger.ts';
import type * as types from './types.ts';
import type * as upstreams from './upstreams.ts';

/** Kind of the exchange in which an upstream responded. A response to a check may omit statements that still hold. */
export type ExchangeKind = 'request' | 'check';

/** Dependencies of the statements of upstreams. */
export type UpstreamStatementsHost = {
	readonly logger: logger.Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** The statements of all upstreams. */
export type UpstreamStatements = {
	readonly limits: rateLimits.RateLimits;
	/** Records the statements in a response that an upstream sent to this entry. */
	recordResponse(upstream: upstreams.Upstream, metadata: types.ResponseMetadata, exchange: ExchangeKind): void;
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
};

/** Maximum length of an invalid value in a log line. */
const maximumLoggedCharacters = 40;

/** Creates an empty set of statements. */
export function createUpstreamStatements(host: UpstreamStatementsHost): UpstreamStatements {
	const limits = rateLimits.createRateLimits();
	/** Incarnations of the upstreams whose invalid statement was logged. */
	const loggedInvalid = new Map<string, number>();

	function recordLimit(statement: rateLimits.RateLimitStatement, origin: string): void {
		if (limits.record(statement)) {
			const {upstreamId, incarnation, requestsPerSecond, heardAt} = statement;
			host.logger.info('upstream-limit-changed', {
				upstream: upstreamId, incarnation, requestsPerSecond: requestsPerSecond ?? 'none', origin, ageMilliseconds: Math.round(host.getNow() - heardAt),
			});
		}
	}

	function logInvalid(id: string, incarnation: number, text: string): void {
		if (loggedInvalid.get(id) !== incarnation) {
			loggedInvalid.set(id, incarnation);
			host.logger.warn('upstream-limit-invalid', {upstream: id, incarnation, text: text.slice(0, maximumLoggedCharacters)});
		}
	}

	return {
		limits,
		recordResponse({registration: {id, incarnation}}, {rateLimit}, exchange) {
			const statement = {upstreamId: id, incarnation, heardAt: host.getNow()};
			switch (rateLimit.kind) {
				case 'none': {
					if (exchange === 'request') {
						recordLimit({...statement, requestsPerSecond: undefined}, 'response');
					}

					break;
				}

				case 'limited': {
					recordLimit({...statement, requestsPerSecond: rateLimit.requestsPerSecond}, 'response');
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
		retain(isRegistered) {
			limits.retain(isRegistered);
			for (const id of loggedInvalid.keys()) {
				if (!isRegistered(id)) {
					loggedInvalid.delete(id);
				}
			}
		},
	};
}
