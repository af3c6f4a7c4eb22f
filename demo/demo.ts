/** `fescuering-demo`: runs the platform stand-ins and two entries in one process on loopback, and makes a few calls of each kind. */
import process from 'node:process';
import * as undici from 'undici';
import {type Row, rowSchema} from '../src/decisions/table/rows.ts';
import {createEntry, type Entry} from '../src/entry/create-entry.ts';
import {entrySettingsSchema} from '../src/entry/settings.ts';
import {createLogger} from '../src/observability/logger.ts';
import {createMetrics} from '../src/observability/metrics.ts';
import {createTracing} from '../src/observability/tracing.ts';
import {createHttpInstanceList} from '../src/platform/http-instance-list.ts';
import {createHttpLog} from '../src/platform/http-log.ts';
import {createCommandLine, runCommandLine} from '../src/programs/shared/command-line.ts';
import {createInstanceList, type InstanceList} from '../stand-ins/instance-list.ts';
import {createLogService, type LogService} from '../stand-ins/log-service.ts';
import {createUpstream, type Upstream} from '../stand-ins/upstream.ts';

type Flags = {readonly port: number; readonly seconds?: number};

const failureDomains = ['north', 'south'];
const firstPort = 8080;
const slotsPerUpstream = 4;
const upstreamCount = 3;
const readyPollMilliseconds = 20;
const millisecondsPerSecond = 1000;

const commandLine = createCommandLine('fescuering-demo');
commandLine
	.command('', 'Run stand-ins and two entries, make a few calls, and print the results')
	.option('--port <number>', 'Port of the first entry; 0 selects free ports', {default: firstPort})
	.option('--seconds <number>', 'Time to keep serving afterwards; by default until Ctrl+C in a terminal, else 0')
	.action(run);
await runCommandLine(commandLine);

async function run(flags: Flags): Promise<void> {
	const log = await createLogService();
	const instances = await createInstanceList();
	const upstreams = await startUpstreams(instances);
	await publishTable(log.url);
	const entries: Entry[] = [];
	for (const [index, failureDomain] of failureDomains.entries()) {
		const port = Number(flags.port) === 0 ? 0 : Number(flags.port) + index;
		entries.push(await startEntry({
			name: `entry-${index + 1}`, failureDomain, callerPort: port, log, instances,
		}));
	}

	await Promise.all(entries.map(async entry => waitUntilReady(entry.callerAddress)));
	print(`entries    ${entries.map(entry => `http://${entry.callerAddress}`).join(' ')}`);
	print(`upstreams  ${upstreams.map(upstream => upstream.address).join(' ')}`);
	print(`try        curl -i http://${entries[0]!.callerAddress}/desk/prices/7`);
	await makeExampleCalls(entries, upstreams);
	await keepServing(flags, entries[0]!);
	await Promise.all(entries.map(async entry => entry.leave()));
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}

async function startUpstreams(instances: InstanceList): Promise<readonly Upstream[]> {
	const upstreams: Upstream[] = [];
	for (let index = 0; index < upstreamCount; index++) {
		const upstream = await createUpstream({
			name: `desk-${index + 1}`,
			slots: slotsPerUpstream,
			seed: index,
			behavior: {durationMilliseconds: {default: 5, reports: 400}},
		});
		upstreams.push(upstream);
		instances.put({
			name: upstream.name, role: 'upstream', service: 'desk', region: 'local', failureDomain: failureDomains[index % failureDomains.length]!, address: upstream.address, state: 'live',
		});
	}

	return upstreams;
}

async function publishTable(logUrl: string): Promise<void> {
	const rows = [
		{kind: 'service', service: 'desk', slotsPerUpstream},
		{
			kind: 'operation', service: 'desk', operation: 'price', method: 'GET', pathPrefix: '/prices', idempotent: true, duration: 'short',
		},
		{
			kind: 'operation', service: 'desk', operation: 'report', method: 'GET', pathPrefix: '/reports', idempotent: true, duration: 'long',
		},
		{
			kind: 'operation', service: 'desk', operation: 'credit', method: 'POST', pathPrefix: '/credits', idempotent: false,
		},
	].map((row): Row => rowSchema.parse(row));
	const id = 'demo-table';
	const changes = rows.map(row => ({action: 'put', row}));
	await createHttpLog(logUrl).append('table', id, {
		kind: 'edit', id, baseVersion: -1, operator: 'demo', changes,
	}, millisecondsPerSecond);
}

type DemoEntryOptions = {
	readonly name: string;
	readonly failureDomain: string;
	readonly callerPort: number;
	readonly log: LogService;
	readonly instances: InstanceList;
};

async function startEntry({name, failureDomain, callerPort, log, instances}: DemoEntryOptions): Promise<Entry> {
	const settings = entrySettingsSchema.parse({
		name,
		failureDomain,
		failureDomains,
		listen: {callerPort, peerPort: 0},
		platform: {logUrl: log.url, instanceListUrl: instances.url, instanceListPollMilliseconds: 100},
		leaving: {noticeMilliseconds: 200},
	});
	const result = await createEntry(settings, {
		log: createHttpLog(log.url),
		instanceList: createHttpInstanceList(instances.url),
		logger: createLogger('warn', {entry: name}),
		metrics: createMetrics(),
		tracing: createTracing({sampleShare: 0, serviceName: 'fescuering-demo', failureDomain}),
		getNow: () => performance.now(),
		getWallTime: () => Date.now(),
		onSuperseded: () => undefined,
	});
	if (result.isErr()) {
		print(result.error.text);
		process.exit(2); // eslint-disable-line unicorn/no-process-exit
	}

	const entry = result.value;
	instances.put({
		name, role: 'entry', region: 'local', failureDomain, address: entry.callerAddress, peerAddress: entry.peerAddress, state: 'live',
	});
	return entry;
}

async function makeExampleCalls(entries: readonly Entry[], upstreams: readonly Upstream[]): Promise<void> {
	const [first, second] = entries.map(entry => entry.callerAddress);
	const key = `demo-${Date.now()}`;
	const credit = {method: 'POST', headers: {'idempotency-key': key}, body: 'credit=20'} as const;
	await makeCall('price, idempotent', `http://${first}/desk/prices/7`);
	await makeCall('price at the other entry', `http://${second}/desk/prices/7`);
	await makeCall('credit, non-idempotent', `http://${first}/desk/credits`, credit);
	await makeCall('the same credit again, at the other entry', `http://${second}/desk/credits`, credit);
	const runs = upstreams.reduce((sum, upstream) => sum + (upstream.runs.get(key) ?? 0), 0);
	print(`           the credit ran ${runs === 1 ? 'once' : `${runs} times`}`);
	const reports = Array.from({length: 12}, async () => makeCall(undefined, `http://${first}/desk/reports/1`));
	await makeCall('price while 12 long reports wait', `http://${first}/desk/prices/8`);
	await Promise.all(reports);
	for (const upstream of upstreams) {
		upstream.setBehavior({isDraining: true});
	}

	await makeCall('credit while all upstreams drain', `http://${first}/desk/credits`, {...credit, headers: {'idempotency-key': `${key}-2`}});
	for (const upstream of upstreams) {
		upstream.setBehavior({isDraining: false});
	}
}

async function makeCall(title: string | undefined, url: string, options: {method?: 'POST'; headers?: Record<string, string>; body?: string} = {}): Promise<void> {
	const startedAt = performance.now();
	const response = await undici.request(url, options);
	const text = await response.body.text();
	if (title === undefined) {
		return;
	}

	const outcome = String(response.headers['fescuering-outcome']);
	const entry = String(response.headers['fescuering-entry']);
	print(`call       ${title}: status ${response.statusCode}, outcome ${outcome}, ${entry}, ${(performance.now() - startedAt).toFixed(1)} ms`);
	print(`           ${text.trim().slice(0, 160)}`);
}

async function keepServing(flags: Flags, entry: Entry): Promise<void> {
	const seconds = flags.seconds ?? (process.stdout.isTTY ? Number.POSITIVE_INFINITY : 0);
	if (Number(seconds) === 0) {
		return;
	}

	print(`serving    http://${entry.callerAddress} until Ctrl+C`);
	await new Promise<void>(resolve => {
		const stop = () => {
			resolve();
		};

		process.once('SIGINT', stop);
		process.once('SIGTERM', stop);
		if (Number.isFinite(Number(seconds))) {
			setTimeout(stop, Number(seconds) * millisecondsPerSecond);
		}
	});
}

async function waitUntilReady(address: string): Promise<void> {
	for (;;) {
		const response = await undici.request(`http://${address}/v1/status`);
		const status = JSON.stringify(await response.body.json());
		if (status.includes('"state":"serving"') && status.includes(`"upstream":"desk-${upstreamCount}"`)) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, readyPollMilliseconds);
		});
	}
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
