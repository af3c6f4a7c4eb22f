/** Parses the load that an upstream reports in a header or at its load endpoint. */
import * as z from 'zod';
import {type LoadReport} from '../decisions/routing/types.ts';

const loadReportSchema = z.object({
	slots: z.int().min(0),
	running: z.int().min(0),
	queued: z.int().min(0),
	state: z.enum(['live', 'draining']),
});

const headerPattern = /^slots=(?<slots>\d{1,6}), running=(?<running>\d{1,9}), queued=(?<queued>\d{1,9}), state=(?<state>live|draining)$/v;

/** Parses the load header; returns undefined when it is malformed. */
export function tryParseLoadHeader(value: string): LoadReport | undefined {
	const groups = headerPattern.exec(value)?.groups;
	if (!groups) {
		return undefined;
	}

	return {
		slots: Number(groups.slots),
		running: Number(groups.running),
		queued: Number(groups.queued),
		state: groups.state === 'draining' ? 'draining' : 'live',
	};
}

/** Validates the JSON value of the load endpoint; returns undefined when it is malformed. */
export function tryParseLoadJson(value: unknown): LoadReport | undefined {
	return loadReportSchema.safeParse(value).data;
}
