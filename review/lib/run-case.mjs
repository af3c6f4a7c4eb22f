/** Runs a case: sets up its stand-ins, writes its record, ends everything that it started, and exits with its verdict. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import * as clientsModule from './client.mjs';
import * as gatewaysModule from './gateways.mjs';
import {createStore} from './store.mjs';
import {createUpstreams} from './upstreams.mjs';

export const zones = ['courthouse', 'riverside', 'pinehill'];
export const hostName = 'ficu95.example';
/** Number of clients, spread over the zones. */
const clientCount = 48;
const longestMilliseconds = 117_000;
const couldNotRun = 2;

/** Desired state with one host; each route names its prefix, kind, service and times. */
export function createDesiredState({version = 7, routes, services}) {
	const rules = routes.map(route => ({
		name: `r${route.prefix}`,
		kind: route.kind,
		targetLatencyMs: route.targetLatencyMs,
		priority: route.priority ?? 1,
		match: {pathPrefix: route.prefix},
		action: {service: route.service, timeoutMs: route.timeoutMs, attempts: route.attempts ?? 2},
	}));
	return {
		version: version.toString(16).padStart(8, '0'),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		listeners: [{host: hostName, rules}],
		clusters: services.map(name => ({
			name, healthPath: '/healthz', maxConns: 220, protocol: 'h1', tls: false,
		})),
	};
}

function formatEntry({at, ...fields}) {
	const pairs = Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${typeof value === 'object' ? JSON.stringify(value) : value}`);
	return `${(at / 1000).toFixed(3)} ${pairs.join(' ')}`;
}

function listEntries({events, requests, arrivals}) {
	const sent = requests.map(({id, sentAt, gateway, path: requestPath, isIdempotent}) => ({
		at: sentAt, event: 'sent', id, gateway, path: requestPath, kind: isIdempotent ? 'idempotent' : 'non_idempotent',
	}));
	const ended = requests.filter(({endedAt}) => endedAt !== undefined).map(({id, endedAt, gateway, status, end}) => ({
		at: endedAt, event: 'ended', id, gateway, status, end,
	}));
	const reached = arrivals.map(({at, requestId, upstream, hasRun, status}) => ({
		at, event: 'reached', id: requestId, upstream, ran: hasRun, status,
	}));
	return [...events, ...sent, ...ended, ...reached].toSorted((left, right) => left.at - right.at);
}

/** Creates the functions that a case uses to start its processes and its traffic. */
function createParts({getNow, temporary, note, requests, arrivals}) {
	const gateways = [];
	const store = createStore(getNow);
	const upstreams = createUpstreams({
		store, host: '127.0.0.1', getNow, arrivals,
	});
	/** Lists the directories of the running gateways, those of the same zone first. */
	function listDirectories(zone) {
		const running = gateways.filter(({isRunning, isStopping}) => isRunning && !isStopping).map(gateway => ({gateway, order: Math.random() + (gateway.zone === zone ? 0 : 1)}));
		return running.toSorted((left, right) => left.order - right.order).map(({gateway}) => gateway.directory);
	}

	const clients = clientsModule.createClients({
		getNow, requests, hostName, listDirectories,
	});

	async function startGateway(options) {
		const gateway = await gatewaysModule.startGateway({
			...options, zones, folder: temporary, note,
		});
		gateways.push(gateway);
		return gateway;
	}

	/** Waits until the gateways say that they are ready. */
	async function waitUntilReady(some) {
		const endsAt = getNow() + 15_000;
		for (const {name, host} of some) {
			let answer = await clientsModule.get(`${host}:8140`, '/api/ready', 500);
			while (answer?.status !== 200) {
				if (getNow() > endsAt) {
					throw new Error(`${name} is not ready`);
				}

				await sleep(50);
				answer = await clientsModule.get(`${host}:8140`, '/api/ready', 500);
			}
		}
	}

	/** Sends requests at a rate; `choose` returns the path and times of the next one. Returns a function that stops. */
	function startTraffic(perSecond, choose) {
		const traffic = {isOver: false};
		const pending = new Set();
		async function sendOne() {
			const client = Math.floor(Math.random() * clientCount);
			const addresses = await clients.resolve(client, zones[client % zones.length]);
			if (addresses.length > 0 && !traffic.isOver) {
				const sending = clients.send({address: addresses[Math.floor(Math.random() * addresses.length)], ...choose()});
				pending.add(sending);
				await sending;
				pending.delete(sending);
			}
		}

		async function run() {
			while (!traffic.isOver) {
				sendOne();
				await sleep(-Math.log(1 - Math.random()) * 1000 / perSecond);
			}
		}

		run();
		return async () => {
			traffic.isOver = true;
			await Promise.all(pending);
		};
	}

	function close() {
		for (const {child, isRunning} of gateways) {
			if (isRunning) {
				child.kill('SIGKILL');
			}
		}

		upstreams.close();
		store.close();
		clients.close();
	}

	return {
		gateways, store, upstreams, clients, startGateway, waitUntilReady, startTraffic, close,
	};
}

/**
Runs a case and sets the exit code.

`play` receives the parts of the case; it returns whether the rule held, and lines that explain the verdict.
*/
export async function runCase(folder, play) {
	const startedAt = performance.now();
	const getNow = () => performance.now() - startedAt;
	const isTroubled = process.env.TROUBLE !== '0';
	const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const events = [];
	const requests = [];
	const arrivals = [];
	const note = (event, fields = {}) => {
		events.push({at: getNow(), event, ...fields});
	};

	const parts = createParts({
		getNow, temporary, note, requests, arrivals,
	});

	function exit(code) {
		parts.close();
		if (process.env.KEEP === undefined) {
			fs.rmSync(temporary, {recursive: true, force: true});
		} else {
			process.stdout.write(`${temporary}\n`);
		}

		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	}

	setTimeout(() => {
		process.stdout.write('The case took too long.\n');
		exit(couldNotRun);
	}, longestMilliseconds);
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			exit(couldNotRun);
		});
	}

	try {
		const {holds, lines} = await play({
			...parts, isTroubled, getNow, note, requests, arrivals, sleep,
		});
		const ended = parts.gateways.filter(({unexpectedExits}) => unexpectedExits > 0).map(({name}) => `ended by itself: ${name}`);
		const summary = [`trouble=${isTroubled ? 1 : 0}`, `verdict=${holds ? 'held' : 'broken'}`, ...lines, ...ended];
		const entries = listEntries({events, requests, arrivals}).map(entry => formatEntry(entry));
		fs.writeFileSync(path.join(folder, 'record.txt'), `${[...summary, '', ...entries].join('\n')}\n`);
		process.stdout.write(`${summary.join('\n')}\n`);
		exit(holds ? 0 : 1);
	} catch (error) {
		process.stdout.write(`The case could not run: ${error.stack}\n`);
		exit(couldNotRun);
	}
}
