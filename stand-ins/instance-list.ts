/** Stand-in of the platform's instance list: answers show the state as it was some time ago. */
import * as z from 'zod';
import {type InstanceRecord, instanceRecordSchema} from '../src/platform/types.ts';
import {
	createAnswer, createJsonServer, type JsonAnswer, type JsonRequest, sleep,
} from './json-server.ts';

export const instanceListFaultsSchema = z.strictObject({
	/** Age of the state that answers show. */
	lagMilliseconds: z.number().min(0),
	/** Answers 503 to every read; changes still take effect. */
	down: z.boolean(),
	readDelayMilliseconds: z.number().min(0),
});

/** Faults that can be changed while the list runs. */
export type InstanceListFaults = z.infer<typeof instanceListFaultsSchema>;

export const defaultInstanceListFaults: InstanceListFaults = {lagMilliseconds: 0, down: false, readDelayMilliseconds: 0};

export type InstanceListOptions = {
	readonly host?: string;
	readonly port?: number;
	readonly faults?: Partial<InstanceListFaults>;
	/** Milliseconds since the epoch. */
	readonly now?: () => number;
};

export type InstanceList = {
	readonly url: string;
	setFaults(faults: Partial<InstanceListFaults>): void;
	put(instance: InstanceRecord): void;
	remove(name: string): void;
	/** Gets the instances as a reader would see them now. */
	getVisible(): readonly InstanceRecord[];
	close(): Promise<void>;
};

const objectSchema = z.record(z.string(), z.unknown());

type Change = {readonly time: number; readonly name: string; readonly instance: InstanceRecord | undefined};

/** Starts the instance list. */
export async function createInstanceList(options: InstanceListOptions = {}): Promise<InstanceList> {
	const now = options.now ?? Date.now;
	const changes: Change[] = [];
	let faults: InstanceListFaults = {...defaultInstanceListFaults, ...options.faults};

	const change = (name: string, instance: InstanceRecord | undefined): void => {
		changes.push({time: now(), name, instance});
	};

	const getVisible = (): readonly InstanceRecord[] => {
		const visible = new Map<string, InstanceRecord>();
		for (const entry of changes) {
			if (entry.time > now() - faults.lagMilliseconds) {
				break;
			}

			if (entry.instance) {
				visible.set(entry.name, entry.instance);
			} else {
				visible.delete(entry.name);
			}
		}

		return [...visible.values()];
	};

	const handle = async (request: JsonRequest): Promise<JsonAnswer> => {
		if (request.path === '/control') {
			if (request.method === 'PUT') {
				faults = instanceListFaultsSchema.parse({...faults, ...objectSchema.parse(request.body)});
			}

			return createAnswer(faults);
		}

		const name = /^\/instances\/(?<name>[^\/]+)$/v.exec(request.path)?.groups?.name;
		if (name !== undefined && request.method === 'PUT') {
			change(name, instanceRecordSchema.parse({...objectSchema.parse(request.body), name}));
			return createAnswer({});
		}

		if (name !== undefined && request.method === 'DELETE') {
			change(name, undefined);
			return createAnswer({});
		}

		if (request.path !== '/instances') {
			return createAnswer({error: 'no such path'}, 404);
		}

		await sleep(faults.readDelayMilliseconds, request.signal);
		return faults.down
			? createAnswer({error: 'the instance list is down'}, 503)
			: createAnswer({instances: getVisible()});
	};

	const server = await createJsonServer(options.host ?? '127.0.0.1', options.port ?? 0, handle);
	return {
		url: server.url,
		setFaults(changed) {
			faults = {...faults, ...changed};
		},
		put(instance) {
			change(instance.name, instance);
		},
		remove(name) {
			change(name, undefined);
		},
		getVisible,
		close: async () => server.close(),
	};
}
