/** Refusals of requests before any upstream is selected: their reasons, statuses and headers. */
import type * as types from './types.ts';

/** Why the server refused a request, or dropped it, before any upstream was selected. */
export type FrontRefusal = 'no-configuration' | 'news-stale' | 'unknown-route' | 'no-host' | 'no-identity' | 'key-unreadable' | 'key-unknown' | 'key-undecided' | 'allowance-used' | 'allowance-undecided' | 'headers-too-large' | 'body-too-large' | 'body-late' | 'small-chunks' | 'memory-full' | 'stopping' | 'too-many-relayed' | 'body-cut' | 'too-many-requests-on-connection' | 'response-not-taken' | 'deadline-passed' | 'head-late' | 'malformed-request';

/** Refusals that get a response. */
export type AnsweredRefusal = Exclude<FrontRefusal, 'body-cut' | 'too-many-requests-on-connection' | 'response-not-taken' | 'head-late' | 'malformed-request'>;

/** Dependencies of the headers of refusals. */
export type RefusalHeadersHost = {
	readonly headers: Pick<types.HeaderHost, 'createRetryHeaders' | 'createChallengeHeaders'>;
	/** Time after which a caller that was not admitted should return, in milliseconds. */
	getAllowanceRetryMilliseconds(): number;
};

/** Time after which a refused caller should retry, in milliseconds. */
export const retryAfterMilliseconds = 300;
/** Time after which a caller should retry that another entry can serve at once, in milliseconds. */
const retryElsewhereMilliseconds = 20;
export const unavailableStatus = 503;
const tooManyRequestsStatus = 429;
const unauthorizedStatus = 401;
/** Status of each refusal. */
export const refusalStatuses: Readonly<Record<AnsweredRefusal, number>> = {
	'no-configuration': 503,
	'news-stale': 503,
	'unknown-route': 404,
	'no-host': 400,
	'no-identity': 400,
	'key-unreadable': 400,
	'key-unknown': 401,
	'key-undecided': 503,
	'allowance-used': 429,
	'allowance-undecided': 503,
	'headers-too-large': 431,
	'body-too-large': 413,
	'body-late': 408,
	'small-chunks': 503,
	'memory-full': 503,
	stopping: 503,
	'deadline-passed': 503,
	'too-many-relayed': 503,
};

/** Creates the headers that tell a refused caller when to return, or what it lacks. */
export function createRefusalHeaders(host: RefusalHeadersHost, reason: AnsweredRefusal): types.GatewayResponse['headers'] {
	switch (refusalStatuses[reason]) {
		case unavailableStatus: {
			return host.headers.createRetryHeaders(reason === 'stopping' ? retryElsewhereMilliseconds : retryAfterMilliseconds);
		}

		case tooManyRequestsStatus: {
			return host.headers.createRetryHeaders(host.getAllowanceRetryMilliseconds());
		}

		case unauthorizedStatus: {
			return host.headers.createChallengeHeaders();
		}

		default: {
			return [];
		}
	}
}
