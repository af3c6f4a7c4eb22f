/** All scenarios of the bench, by name. */
import * as capacity from './capacity.ts';
import * as configuration from './table-propagation.ts';
import * as routing from './routing.ts';
import * as membership from './membership.ts';
import * as micro from './routing-decision.ts';
import * as model from './model.ts';
import * as overhead from './overhead.ts';
import {type Scenario} from './types.ts';

export const scenarios: Readonly<Record<string, Scenario>> = {
	...routing.scenarios,
	membership: membership.run,
	micro: micro.run,
	model: model.run,
	overhead: overhead.run,
	capacity: capacity.run,
	table: configuration.run,
};
