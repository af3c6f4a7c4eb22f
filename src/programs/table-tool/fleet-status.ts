/** Queries the table version in force on every entry of the instance list. */
import {type Result} from 'neverthrow';
import * as z from 'zod';
import {createDiagnostic, diagnostics, type Diagnostic} from '../../decisions/diagnostics.ts';
import {requestJson} from '../../platform/http-client.ts';
import {type InstanceListHost} from '../../platform/types.ts';

export type EntryVersion = {
	readonly name: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving';
	/** Undefined when the entry has no table or can't be reached. */
	readonly version: number | undefined;
	/** Error message when the entry could not be queried. */
	readonly problem: string | undefined;
};

const statusSchema = z.object({tableVersion: z.int().nullish()});

/** Queries all entries of the instance list concurrently. */
export async function readEntryVersions(instances: InstanceListHost, timeoutMilliseconds: number): Promise<Result<readonly EntryVersion[], Diagnostic>> {
	const list = await instances.list(timeoutMilliseconds);
	return list
		.mapErr(error => createDiagnostic(diagnostics.tableInstanceListUnreachable, error.message))
		.asyncMap(async records => {
			const entries = records.filter(record => record.role === 'entry');
			return Promise.all(entries.map(async entry => {
				const status = await requestJson({
					url: `http://${entry.address}/v1/status`, method: 'GET', timeoutMilliseconds, schema: statusSchema,
				});
				const {name, failureDomain, state} = entry;
				const version = status.isOk() ? status.value.tableVersion ?? undefined : undefined;
				const problem = status.isOk() ? undefined : status.error.message;
				return {
					name, failureDomain, state, version, problem,
				};
			}));
		});
}

/** Lists the entries on which neither a version nor a newer one is in force. */
export function listLaggingEntries(fleet: readonly EntryVersion[], version: number): readonly EntryVersion[] {
	return fleet.filter(entry => entry.version === undefined || entry.version < version);
}
