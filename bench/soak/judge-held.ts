/** Checks that gateways hold nothing once all callers have left: what they count as held is compared with their open connections. */
import * as timers from 'node:timers/promises';
import type * as gateways from './gateways.ts';

/** Port of the metrics, which is fixed. */
const metricsPort = 9464;
/** Longest time that a request may last after its caller has left, in milliseconds: the deadline of those that run to their end. */
const quietMilliseconds = 8000;
const pollMilliseconds = 200;
/** Memory that a gateway claims for a connection without a request, in bytes. */
const connectionBytes = 16_384;

/** Lists the gateways that still hold something. */
export async function judgeHeld(soakGateways: readonly gateways.SoakGateway[]): Promise<readonly string[]> {
	const results = await Promise.all(soakGateways.map(async gateway => waitUntilQuiet(gateway)));
	return results.flatMap(result => result ?? []);
}

async function waitUntilQuiet({name, host}: gateways.SoakGateway): Promise<string | undefined> {
	const endsAt = performance.now() + quietMilliseconds;
	let held = '';
	while (performance.now() < endsAt) {
		const text = await readMetrics(host);
		const [requests, calls, connections, bytes] = ['open_requests', 'running_calls', 'connections', 'claimed_bytes'].map(metric => readGauge(text, metric));
		if (requests === 0 && calls === 0 && bytes === connections! * connectionBytes) {
			return undefined;
		}

		held = `${requests} requests, ${calls} calls, ${bytes} bytes for ${connections} connections`;
		await timers.setTimeout(pollMilliseconds);
	}

	return `held ${name} holds ${held} without callers`;
}

async function readMetrics(host: string): Promise<string> {
	try {
		const response = await fetch(`http://${host}:${metricsPort}/metrics`);
		return await response.text();
	} catch {
		// The gateway is restarting.
		return '';
	}
}

const readGauge = (text: string, name: string) => Number(new RegExp(String.raw`^fescuering_gateway_${name} (\d+)$`, 'mv').exec(text)?.[1] ?? Number.NaN);
