/** Compares the documentation with the log events, the metrics and the output of shell samples of a running entry. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as undici from 'undici';
import * as vitest from 'vitest';
import {rowSchema} from '../src/decisions/table/rows.ts';
import * as gatewayMetrics from '../src/observability/gateway-metrics.ts';
import {type Fleet, startFleet} from '../stand-ins/fleet.ts';

const {
	afterAll, beforeAll, describe, expect, test,
} = vitest;

function readDocument(file: string): string {
	return fs.readFileSync(file, 'utf8');
}

function listSources(folder: string): string[] {
	return fs.readdirSync(folder, {recursive: true, encoding: 'utf8'})
		.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))
		.map(file => path.join(folder, file));
}

test('the documented log events are those in the source code', () => {
	const loggedEvents = new Set(listSources('src').flatMap(file => [...readDocument(file).matchAll(/logger\.(?:error|warn|info|debug)\('(?<event>[^']+)'/gv)].map(match => match.groups!.event!)));
	const [, logs = ''] = readDocument('docs/METRICS.md').split('## Logs');
	const documentedEvents = [...logs.matchAll(/^\| `(?<event>[^`]+)`/gmv)].map(match => match.groups!.event!);
	expect(documentedEvents.toSorted()).toEqual([...loggedEvents].toSorted());
});

type Sample = {readonly script: string; readonly expected: readonly string[]};

/** Lists the shell samples of a document with their expected output. */
function listSamples(file: string): Sample[] {
	return [...readDocument(file).matchAll(/^```sh sample\n(?<script>.*?)^```\n+```text expect\n(?<expected>.*?)^```/gmsv)].map(match => ({
		script: match.groups!.script!,
		expected: match.groups!.expected!.split('\n').filter(line => line !== ''),
	}));
}

describe('samples', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		const rows = [
			{
				kind: 'operation', service: 'desk', operation: 'price', method: 'GET', pathPrefix: '/prices', idempotent: true,
			},
			{
				kind: 'operation', service: 'desk', operation: 'credit', method: 'POST', pathPrefix: '/credits', idempotent: false,
			},
		];
		fleet = await startFleet({
			entryCount: 1,
			failureDomains: ['north', 'south'],
			seed: 3,
			services: [{
				service: 'desk', upstreamCount: 2, slotsPerUpstream: 4, rows: rows.map(row => rowSchema.parse(row)),
			}],
		});
	});

	afterAll(async () => {
		await fleet.stop();
	});

	test('each shell sample has an expected output', () => {
		const text = readDocument('docs/INTERFACE.md');
		expect(listSamples('docs/INTERFACE.md').length).toBe(text.match(/^```sh sample$/gmv)?.length);
	});

	test.each(listSamples('docs/INTERFACE.md'))('$script', async ({script, expected}) => {
		const output = await runShell(script, `http://${fleet.entries[0]!.address}`);
		for (const line of expected) {
			expect(output.toLowerCase()).toContain(line.toLowerCase());
		}
	});

	test('the documented metrics are those that an entry exports', async () => {
		const response = await undici.request(`http://${fleet.entries[0]!.address}/metrics`);
		const text = await response.body.text();
		expect(listDocumentedMetrics('entry')).toEqual(listExportedMetrics(text));
	});
});

test('the documented metrics of the gateway are those that a gateway exports', async () => {
	const text = await gatewayMetrics.createGatewayMetrics().getText({
		configurationVersion: 1, knowledgeAgeMilliseconds: 0, members: 1, openRequests: 0, waitingForAdmission: 0, runningCalls: 0, connections: 0, deferredConnections: 0, isCutOff: false, claimedBytes: 0, largestLatenessMilliseconds: 0, coldUpstreams: 0, evacuatedFailureDomains: 0,
	});
	expect(listDocumentedMetrics('gateway')).toEqual(listExportedMetrics(text));
});

function listExportedMetrics(text: string): readonly string[] {
	return [...text.matchAll(/^# TYPE (?<name>fescuering_\S+)/gmv)].map(match => match.groups!.name!).toSorted();
}

/** Lists the metrics in docs/METRICS.md of a program. Those of the gateway have a prefix of their own. */
function listDocumentedMetrics(program: 'entry' | 'gateway'): readonly string[] {
	return [...readDocument('docs/METRICS.md').matchAll(/^\| `(?<name>fescuering_[^`]+)`/gmv)]
		.map(match => match.groups!.name!)
		.filter(name => name.startsWith('fescuering_gateway_') === (program === 'gateway'))
		.toSorted();
}

async function runShell(script: string, url: string): Promise<string> {
	return new Promise((resolve, reject) => {
		childProcess.execFile('sh', ['-c', script], {env: {...process.env, FESCUERING_URL: url}}, (error, output) => { // eslint-disable-line @typescript-eslint/naming-convention
			if (error) {
				reject(new Error(`shell sample failed: ${script}`, {cause: error}));
			} else {
				resolve(output);
			}
		});
	});
}
