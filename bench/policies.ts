/** Names of the routing policies that the bench compares. */
import {type RoutingPolicy} from '../src/decisions/routing/types.ts';

export type PolicyName = RoutingPolicy['kind'];

export const baselines = ['round-robin', 'random', 'least-in-flight', 'power-of-two-choices'] as const satisfies readonly PolicyName[];
const policyNames: ReadonlySet<string> = new Set(['product', ...baselines]);

export function isPolicyName(name: string): name is PolicyName {
	return policyNames.has(name);
}
