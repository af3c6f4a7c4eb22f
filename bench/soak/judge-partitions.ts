/** Verifies that callers of gateways that are cut off from all upstreams are served. */
import type * as callers from './callers.ts';
import type * as soakGateways from './gateways.ts';
import type * as soakPlatform from './soak-platform.ts';

/** Gateways that had no path to any upstream during a time span. */
export type SoakPartition = {readonly gateways: readonly soakGateways.SoakGateway[]; readonly span: soakPlatform.TimeSpan};

/** Time after the start of a partition from which callers must be served, in milliseconds, from the rules. */
const stabilizationMilliseconds = 3000;
/** Share of what other gateways serve that a gateway must serve, from the rules. */
const minimumRelativeShare = 2 / 3;
/** Failed requests that the rules allow: a number, and a share of all requests. */
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;

/** Lists the partitions in which the callers of the gateways that were cut off fared much worse than others. */
export function judgePartitions(requests: readonly callers.ObservedRequest[], gateways: readonly soakGateways.SoakGateway[], partitions: readonly SoakPartition[]): readonly string[] {
	const gatewaysByAddress = new Map(gateways.map(gateway => [gateway.callerAddress, gateway]));
	return partitions.flatMap(({gateways: cutOff, span: {from, to}}) => {
		const judged = requests.filter(({sentAt, isCancelled, gateway}) => {
			const found = gatewaysByAddress.get(gateway);
			return !isCancelled && sentAt >= from + stabilizationMilliseconds && sentAt <= to && found !== undefined && isCalm(found, from, to);
		});
		const isCutOff = ({gateway}: callers.ObservedRequest) => cutOff.some(({callerAddress}) => callerAddress === gateway);
		const inside = judged.filter(request => isCutOff(request));
		const outside = judged.filter(request => !isCutOff(request));
		const failed = inside.filter(({status}) => status !== 200).length;
		const isWorse = getServedShare(inside) < minimumRelativeShare * getServedShare(outside);
		return isWorse && failed > allowedFailures + (allowedFailureShare * judged.length)
			? [`unserved-in-partition ${failed} of ${inside.length} requests at ${cutOff.map(({name}) => name).join(' ')} failed, ${Math.round(from)} to ${Math.round(to)} ms`]
			: [];
	});
}

/** Whether a gateway had no signals, exits or starts in a time span and shortly before it. */
function isCalm({disturbances}: soakGateways.SoakGateway, from: number, to: number): boolean {
	return !disturbances.some(({kind, at}) => kind !== 'SIGHUP' && kind !== 'cut-from-store' && kind !== 'cut-from-upstreams' && at >= from - stabilizationMilliseconds && at <= to);
}

function getServedShare(requests: readonly callers.ObservedRequest[]): number {
	return requests.length === 0 ? 1 : requests.filter(({status}) => status === 200).length / requests.length;
}
