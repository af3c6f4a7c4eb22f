/** Settings of a gateway. Addresses have the form `host:port`. */
import type * as neverthrow from 'neverthrow';
import * as z from 'zod';
import {type Diagnostic} from '../decisions/diagnostics.ts';
import {checkSettings} from '../platform/settings-file.ts';

const address = z.string().regex(/^[^\s:]+:\d+$/v, 'use host:port');

/** Schema of the settings; unknown keys are errors. */
export const gatewaySettingsSchema = z.strictObject({
	name: z.string().min(1).describe('Name of this instance'),
	region: z.string(),
	failureDomain: z.string(),
	listen: z.strictObject({
		callers: address.describe('For requests'),
		readiness: address.describe('For checks whether this entry is ready'),
		peers: address.describe('For other entries'),
		directory: address.describe('For callers that ask where to connect'),
	}),
	linkMegabits: z.number().positive().describe('Bandwidth of the link of this instance, in megabits a second'),
	cores: z.number().positive().describe('Processor capacity of this instance, in cores'),
	memoryMegabytes: z.number().positive().describe('Memory of this instance, in megabytes'),
	descriptors: z.number().positive().describe('Descriptors that the process may open'),
	isFirstStart: z.boolean().describe('Whether all entries start for the first time, so that none of them knows anything'),
	seeds: z.array(z.string()).describe('Peer addresses of a few entries, which may be old'),
	storeAddress: address.describe('Store of the platform'),
	graceMilliseconds: z.number().positive().describe('Time from the signal to stop until the process must be gone'),
	retries: z.strictObject({
		ratio: z.number().nonnegative().describe('Repeats for each request of a service'),
		windowMilliseconds: z.number().positive().describe('Window of the bound'),
		slack: z.number().nonnegative().describe('Repeats in a window beside the ratio, over all entries'),
	}),
	checksPerSecondPerUpstream: z.number().positive().describe('Load checks of one upstream, over all entries'),
	longestAddressLifetimeSeconds: z.number().positive().describe('Longest time for which callers keep addresses'),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Validates settings; the error names the invalid key. */
export function checkGatewaySettings(value: unknown): neverthrow.Result<GatewaySettings, Diagnostic> {
	return checkSettings(value, gatewaySettingsSchema);
}
