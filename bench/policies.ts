/** Names of the routing policies that the bench can run. */
import {type RoutingPolicy} from '../src/decisions/routing/types.ts';

/** Name of a routing policy. */
export type PolicyName = RoutingPolicy['kind'];

/** Well-known policies that the `product` policy is compared with. */
export const baselines = ['round-robin', 'random', 'least-in-flight', 'power-of-two-choices'] as const satisfies readonly PolicyName[];
const policyNames: ReadonlySet<string> = new Set(['product', ...baselines]);

export function isPolicyName(name: string): name is PolicyName {
	return policyNames.has(name);
}
