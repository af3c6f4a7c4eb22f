/** Selects the scheduler implementation for a routing policy. */
import {assertNever} from '../assert-never.ts';
import {type RandomSource} from '../random.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createImmediateScheduler} from './immediate-scheduler.ts';
import {createProductScheduler} from './product-scheduler.ts';
import {
	type FleetView, type RoutingPolicy, type ServiceScheduler, type UpstreamDescription,
} from './types.ts';

export type ServiceSchedulerOptions = {
	readonly policy: RoutingPolicy;
	readonly view: ServiceView;
	readonly fleet: FleetView;
	readonly upstreams: readonly UpstreamDescription[];
	readonly random: RandomSource;
	/** Current time in milliseconds of a monotonic clock. */
	readonly now: number;
};

/** Creates the scheduler of one service; the given upstreams get no slow start. */
export function createServiceScheduler(options: ServiceSchedulerOptions): ServiceScheduler {
	const {kind} = options.policy;
	switch (kind) {
		case 'round-robin':
		case 'random':
		case 'least-in-flight':
		case 'power-of-two-choices': {
			return createImmediateScheduler({...options, rule: kind});
		}

		case 'product': {
			return createProductScheduler(options);
		}

		default: {
			return assertNever(kind);
		}
	}
}
