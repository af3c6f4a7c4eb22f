/** Faults of the upstreams of a soak. */
import * as timers from 'node:timers/promises';
import {assertNever} from '../../src/decisions/assert-never.ts';
import type * as faultProxy from '../../stand-ins/fault-proxy.ts';
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import {type FaultKind} from './fault-plan.ts';
import {
	defaultBehaviour, serviceNames, type SoakPlatform, type SoakStatement, type SoakUpstream, type TimeSpan,
} from './soak-platform.ts';

export type UpstreamFaultKind = Extract<FaultKind, `upstream-${string}`>;

/** Time after which the registration of a silent upstream is removed, in milliseconds: three heartbeats. */
const heartbeatTimeoutMilliseconds = 4500;
/** Time for which a draining upstream continues to serve, in milliseconds. */
const drainMilliseconds = 3000;
/** Time for which an upstream states a rate limit in addition to the time of the fault, in milliseconds; a limit must hold after 3 s. */
const limitMilliseconds = 7000;
const limitedRequestsPerSecond = 2.2;
const pauseMilliseconds = 2500;
const proxyDelayMilliseconds = 100;
/** Number of serving upstreams that a service keeps while one is disturbed. */
const minimumUpstreamsPerService = 2;

/** Chooses an upstream of a service with enough other serving upstreams; undefined if there is none. */
export function chooseUpstream(platform: SoakPlatform, target: number): SoakUpstream | undefined {
	const servingUpstreams = platform.listServingUpstreams();
	const redundantServices = new Set<string>(serviceNames.filter(name => servingUpstreams.filter(({service}) => service === name).length > minimumUpstreamsPerService));
	const candidates = servingUpstreams.filter(({service}) => redundantServices.has(service));
	return candidates[target % Math.max(1, candidates.length)];
}

function recordFault({faults}: SoakUpstream): TimeSpan {
	const span: TimeSpan = {from: performance.now(), to: Number.POSITIVE_INFINITY};
	faults.push(span);
	return span;
}

/** Starts a fault of an upstream; resolves to a function that ends it. */
export async function startUpstreamFault(kind: UpstreamFaultKind, upstream: SoakUpstream, platform: SoakPlatform): Promise<() => unknown> {
	const setBehaviour = (behaviour: platformUpstream.PlatformUpstreamBehavior) => {
		const span = recordFault(upstream);
		upstream.standIn.setBehavior(behaviour);
		return () => {
			upstream.standIn.setBehavior(defaultBehaviour);
			span.to = performance.now();
		};
	};

	const setProxyFaults = (faults: Partial<faultProxy.FaultProxyFaults>) => {
		const span = recordFault(upstream);
		upstream.proxy.setFaults(faults);
		return () => {
			upstream.proxy.setFaults({});
			span.to = performance.now();
		};
	};

	switch (kind) {
		case 'upstream-crashed': {
			await platform.crashUpstream(upstream);
			await platform.startUpstream(upstream.service);
			await timers.setTimeout(heartbeatTimeoutMilliseconds);
			platform.removeUpstream(upstream);
			return () => undefined;
		}

		case 'upstream-left': {
			await platform.startUpstream(upstream.service);
			platform.drainUpstream(upstream);
			await timers.setTimeout(drainMilliseconds);
			await platform.crashUpstream(upstream);
			platform.removeUpstream(upstream);
			return () => undefined;
		}

		case 'upstream-silent': {
			return setProxyFaults({silent: 'open'});
		}

		case 'upstream-loses-answers': {
			return setProxyFaults({loseAnswers: true});
		}

		case 'upstream-delayed': {
			return setProxyFaults({delayMilliseconds: proxyDelayMilliseconds});
		}

		case 'upstream-cuts-answers': {
			return setBehaviour({kind: 'cut'});
		}

		case 'upstream-repeats-answers': {
			return setBehaviour({kind: 'repeat'});
		}

		case 'upstream-refuses': {
			return setBehaviour({kind: 'refuse'});
		}

		case 'upstream-fails': {
			return setBehaviour({kind: 'fail'});
		}

		case 'upstream-restarted': {
			await platform.crashUpstream(upstream);
			platform.removeUpstream(upstream);
			await platform.startUpstream(upstream.service);
			return () => undefined;
		}

		case 'upstream-limits-rate': {
			const endStatement = startStatement(upstream, {kind: 'rate-limit', requestsPerSecond: limitedRequestsPerSecond}, {'server-limit': String(limitedRequestsPerSecond)});
			await timers.setTimeout(limitMilliseconds);
			return endStatement;
		}

		case 'upstream-states-leaving': {
			startStatement(upstream, {kind: 'leaving'}, {'server-leaving': '1'});
			await platform.startUpstream(upstream.service);
			await timers.setTimeout(2 * drainMilliseconds);
			await platform.crashUpstream(upstream);
			platform.removeUpstream(upstream);
			return () => undefined;
		}

		case 'upstream-asks-for-pause': {
			const endStatement = startStatement(upstream, {kind: 'pause', milliseconds: pauseMilliseconds}, {'retry-after': String(pauseMilliseconds / 1000)});
			const endRefusal = setBehaviour({kind: 'refuse'});
			return () => {
				endRefusal();
				endStatement();
			};
		}

		default: {
			return assertNever(kind);
		}
	}
}

type StatementWithoutSpan<Statement extends SoakStatement = SoakStatement> = Statement extends SoakStatement ? Omit<Statement, 'span'> : never;

/** Lets an upstream state something in its answers; returns a function that ends it. */
function startStatement(upstream: SoakUpstream, statement: StatementWithoutSpan, headers: Readonly<Record<string, string>>): () => void {
	const span: TimeSpan = {from: performance.now(), to: Number.POSITIVE_INFINITY};
	upstream.statements.push({...statement, span});
	upstream.standIn.setStatements(headers);
	return () => {
		upstream.standIn.setStatements({});
		span.to = performance.now();
	};
}
