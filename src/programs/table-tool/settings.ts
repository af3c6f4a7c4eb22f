/** Settings of `fescuering-table`. */
import * as z from 'zod';

const baseUrl = z.url({protocol: /^https?$/v});

export const tableToolSettingsSchema = z.strictObject({
	platform: z.strictObject({
		logUrl: baseUrl.describe('Base address of the log service'),
		instanceListUrl: baseUrl.describe('Base address of the instance list'),
		timeoutMilliseconds: z.int().min(100).max(600_000).default(20_000).describe('Time that one command spends on the platform before it gives up'),
	}),
	operator: z.string().max(200).optional().describe('Name that edits carry; the name of the operating system\'s user when absent'),
});

export type TableToolSettings = z.infer<typeof tableToolSettingsSchema>;
