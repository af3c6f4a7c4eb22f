/** Stand-in for the platform's instance list, with a configurable lag between a change and the responses that show it. */
import * as z from 'zod';
import {type InstanceRecord, instanceRecordSchema} from '../src/platform/types.ts';
import {
	createResponse, createJsonServer, type JsonResponse, type JsonRequest, sleep,
} from './json-server.ts';

export const instanceListFaultsSchema = z.strictObject({
	/** Age of the state that responses show. */
	lagMilliseconds: z.number().min(0),
	/** Responds to each read with status 503; changes still take effect. */
	down: z.boolean(),
	readDelayMilliseconds: z.number().min(0),
});

/** Faults that can be changed at run time. */
export type InstanceListFaults = z.infer<typeof instanceListFaultsSchema>;

export const defaultInstanceListFaults: InstanceListFaults = {lagMilliseconds: 0, down: false, readDelayMilliseconds: 0};

export type InstanceListOptions = {
	readonly host?: string;
	readonly port?: number;
	readonly faults?: Partial<InstanceListFaults>;
	/** Returns the time in milliseconds since the Unix epoch. */
	readonly now?: () => number;
};

/** Running instance list. */
export type InstanceList = {
	readonly url: string;
	setFaults(faults: Partial<InstanceListFaults>): void;
	put(instance: InstanceRecord): void;
	remove(name: string): void;
	/** Lists the instances that a read would return now. */
	listVisible(): readonly InstanceRecord[];
	close(): Promise<void>;
};

const objectSchema = z.record(z.string(), z.unknown());

type Change = {readonly time: number; readonly name: string; readonly instance: InstanceRecord | undefined};

/** Starts the instance list. */
export async function createInstanceList(options: InstanceListOptions = {}): Promise<InstanceList> {
	const now = options.now ?? Date.now;
	const changes: Change[] = [];
	let faults: InstanceListFaults = {...defaultInstanceListFaults, ...options.faults};

	const recordChange = (name: string, instance: InstanceRecord | undefined): void => {
		changes.push({time: now(), name, instance});
	};

	const listVisible = (): readonly InstanceRecord[] => {
		const visible = new Map<string, InstanceRecord>();
		for (const change of changes) {
			if (change.time > now() - faults.lagMilliseconds) {
				break;
			}

			if (change.instance) {
				visible.set(change.name, change.instance);
			} else {
				visible.delete(change.name);
			}
		}

		return [...visible.values()];
	};

	const handle = async (request: JsonRequest): Promise<JsonResponse> => {
		if (request.path === '/control') {
			if (request.method === 'PUT') {
				faults = instanceListFaultsSchema.parse({...faults, ...objectSchema.parse(request.body)});
			}

			return createResponse(faults);
		}

		const name = /^\/instances\/(?<name>[^\/]+)$/v.exec(request.path)?.groups?.name;
		if (name !== undefined && request.method === 'PUT') {
			recordChange(name, instanceRecordSchema.parse({...objectSchema.parse(request.body), name}));
			return createResponse({});
		}

		if (name !== undefined && request.method === 'DELETE') {
			recordChange(name, undefined);
			return createResponse({});
		}

		if (request.path !== '/instances') {
			return createResponse({error: 'no such path'}, 404);
		}

		await sleep(faults.readDelayMilliseconds, request.signal);
		return faults.down
			? createResponse({error: 'the instance list is down'}, 503)
			: createResponse({instances: listVisible()});
	};

	const server = await createJsonServer(options.host ?? '127.0.0.1', options.port ?? 0, handle);
	return {
		url: server.url,
		setFaults(changedFaults) {
			faults = {...faults, ...changedFaults};
		},
		put(instance) {
			recordChange(instance.name, instance);
		},
		remove(name) {
			recordChange(name, undefined);
		},
		listVisible,
		close: async () => server.close(),
	};
}
