/** One soak: a site, its gateways and callers, the faults of a seed, and the verdict. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import {assertNever} from '../../src/decisions/assert-never.ts';
import type * as faultProxy from '../../stand-ins/fault-proxy.ts';
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import type * as storeStandIn from '../../stand-ins/store.ts';
import {type Callers, startCallers} from './callers.ts';
import {type SoakGateway, startGateways} from './gateways.ts';
import {judgeSoak, type SoakVerdict, type Span} from './judge.ts';
import {createSoakPlan, type FaultKind, type PlannedFault} from './plan.ts';
import {
	failureDomains, serviceNames, type SoakSite, type SoakUpstream, startSite,
} from './site.ts';

export type SoakOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly gateways: number;
	readonly upstreamsOfService: number;
	readonly callers: number;
	/** Whether promises with a time bound are judged; a busy machine breaks them by itself. */
	readonly hasTimeBounds: boolean;
	/** Takes progress, one line at a time. */
	readonly print: (line: string) => void;
};

type UpstreamFaultKind = Extract<FaultKind, `upstream-${string}`>;
type StoreFaultKind = Extract<FaultKind, `store-${string}`>;
type GatewayFaultKind = Extract<FaultKind, `gateway-${string}`>;

type World = {readonly site: SoakSite; readonly gateways: readonly SoakGateway[]; readonly storeFaults: Span[]};

const restartMilliseconds = 300;
/** Time after which the store takes the entry of a silent upstream out: three heartbeats. */
const heartbeatsMilliseconds = 4500;
/** Time for which a leaving upstream goes on to serve. */
const leavingMilliseconds = 3000;
const slowStoreMilliseconds = 250;
const delayMilliseconds = 100;
/** Time within which callers must be served again, from the rules, and the share that must be. */
const recoveryMilliseconds = 15_000;
const recoveredShare = 0.25;
const lookMilliseconds = 1000;
/** Withdrawn routes are still called for this long. */
const withdrawnMilliseconds = 5000;
const fewestUpstreams = 2;
const usual: platformUpstream.UpstreamBehaviour = {kind: 'answer', milliseconds: 20};

/** Runs a soak and judges it. Logs of the gateways stay in the folder that is printed first. */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), `fescuering-soak-${options.seed}-`));
	options.print(`logs ${folder}`);
	const site = await startSite(options.upstreamsOfService);
	const gateways = await startGateways({
		count: options.gateways, failureDomains, storeAddress: site.store.address, folder,
	});
	const world: World = {site, gateways, storeFaults: []};
	try {
		const callers = startCallers({
			seed: options.seed,
			count: options.callers,
			directories: gateways.map(({directory}) => directory),
			listRoutes: () => site.routes.filter(({withdrawnAt}) => withdrawnAt === undefined || performance.now() < withdrawnAt + withdrawnMilliseconds),
		});
		const isUp = await waitUntilServed(callers);
		options.print(isUp ? 'serving' : 'not serving at the start');
		await Promise.all(createSoakPlan(options.seed, options.seconds * 1000).map(async planned => bringAbout(planned, world, options.print)));
		const hasRecovered = await waitUntilServed(callers);
		const seen = await callers.stop();
		return judgeSoak({
			seen, upstreams: site.upstreams, gateways, storeFaults: world.storeFaults, hasRecovered: isUp && hasRecovered,
		}, options.hasTimeBounds);
	} finally {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await site.close();
	}
}

/** Waits until enough of the requests of one second are answered with success; false where that takes too long. */
async function waitUntilServed(callers: Callers): Promise<boolean> {
	const endsAt = performance.now() + recoveryMilliseconds;
	while (performance.now() < endsAt) {
		await timers.setTimeout(lookMilliseconds);
		const recent = callers.listSince(performance.now() - lookMilliseconds);
		const served = recent.filter(({status}) => status === 200).length;
		if (recent.length > 0 && served >= recoveredShare * recent.length) {
			return true;
		}
	}

	return false;
}

async function bringAbout(planned: PlannedFault, world: World, print: (line: string) => void): Promise<void> {
	await timers.setTimeout(planned.startsAt);
	print(`${planned.startsAt}-${planned.endsAt} ms ${planned.kind} ${planned.target}`);
	const lasting = planned.endsAt - planned.startsAt;
	const end = await start(planned, world);
	await timers.setTimeout(lasting);
	await end?.();
}

/** Brings a fault about; what it returns ends the fault. */
async function start({kind, target}: PlannedFault, world: World): Promise<(() => unknown) | undefined> {
	const {site, gateways} = world;
	if (isUpstreamFault(kind)) {
		const upstream = chooseUpstream(site, target);
		return upstream && disturbUpstream(kind, upstream, site);
	}

	if (isStoreFault(kind)) {
		return disturbStore(kind, world);
	}

	if (kind === 'all-gateways-killed') {
		await Promise.all(gateways.map(async gateway => gateway.restart('SIGKILL', restartMilliseconds)));
		return undefined;
	}

	if (kind === 'configuration-changed') {
		site.changeConfiguration();
		return undefined;
	}

	return disturbGateway(kind, gateways[target % gateways.length]!);
}

const isUpstreamFault = (kind: FaultKind): kind is UpstreamFaultKind => kind.startsWith('upstream-');
const isStoreFault = (kind: FaultKind): kind is StoreFaultKind => kind.startsWith('store-');

async function disturbGateway(kind: GatewayFaultKind, gateway: SoakGateway): Promise<(() => unknown) | undefined> {
	switch (kind) {
		case 'gateway-killed': {
			await gateway.restart('SIGKILL', restartMilliseconds);
			return undefined;
		}

		case 'gateway-left': {
			await gateway.restart('SIGTERM', restartMilliseconds);
			return undefined;
		}

		case 'gateway-paused': {
			gateway.signal('SIGSTOP');
			return () => {
				gateway.signal('SIGCONT');
			};
		}

		case 'gateway-cut-from-store': {
			return cutFromStore(gateway, {silent: 'all'});
		}

		case 'gateway-reset': {
			return cutFromStore(gateway, {cut: true});
		}

		case 'gateway-reread': {
			gateway.signal('SIGHUP');
			return undefined;
		}

		default: {
			return assertNever(kind);
		}
	}
}

function cutFromStore(gateway: SoakGateway, faults: Partial<faultProxy.FaultProxyFaults>): () => void {
	gateway.cutFromStore(faults);
	return () => {
		gateway.cutFromStore({});
	};
}

function disturbStore(kind: StoreFaultKind, {site, storeFaults}: World): (() => void) | undefined {
	switch (kind) {
		case 'store-refuses': {
			return setStoreFault(site, storeFaults, {kind: 'refuse', statusCode: 503});
		}

		case 'store-resets': {
			return setStoreFault(site, storeFaults, {kind: 'reset'});
		}

		case 'store-silent': {
			return setStoreFault(site, storeFaults, {kind: 'silent'});
		}

		case 'store-slow': {
			return setStoreFault(site, storeFaults, {kind: 'slow', milliseconds: slowStoreMilliseconds});
		}

		case 'store-forgets': {
			site.store.forgetHistory('keyed.servers');
			site.store.forgetHistory('keyed.op');
			return undefined;
		}

		default: {
			return assertNever(kind);
		}
	}
}

function setStoreFault({store}: SoakSite, storeFaults: Span[], fault: storeStandIn.StoreFault): () => void {
	const span: Span = {from: performance.now(), to: Number.POSITIVE_INFINITY};
	storeFaults.push(span);
	store.setFault(fault);
	return () => {
		store.setFault({kind: 'none'});
		span.to = performance.now();
	};
}

/** Chooses an upstream of a service that has others left. */
function chooseUpstream(site: SoakSite, target: number): SoakUpstream | undefined {
	const serving = site.listServing();
	const rich = new Set(serviceNames.filter(name => serving.filter(({service}) => service === name).length > fewestUpstreams));
	const candidates = serving.filter(({service}) => rich.has(service));
	return candidates[target % Math.max(1, candidates.length)];
}

async function disturbUpstream(kind: UpstreamFaultKind, upstream: SoakUpstream, site: SoakSite): Promise<() => unknown> {
	const behave = (behaviour: platformUpstream.UpstreamBehaviour) => {
		upstream.standIn.setBehaviour(behaviour);
		return () => {
			upstream.standIn.setBehaviour(usual);
		};
	};

	const disturbProxy = (faults: Partial<faultProxy.FaultProxyFaults>) => {
		upstream.proxy.setFaults(faults);
		return () => {
			upstream.proxy.setFaults({});
		};
	};

	switch (kind) {
		case 'upstream-crashed': {
			await site.crash(upstream);
			await site.startUpstream(upstream.service);
			await timers.setTimeout(heartbeatsMilliseconds);
			site.remove(upstream);
			return () => undefined;
		}

		case 'upstream-left': {
			await site.startUpstream(upstream.service);
			site.leave(upstream);
			await timers.setTimeout(leavingMilliseconds);
			await site.crash(upstream);
			site.remove(upstream);
			return () => undefined;
		}

		case 'upstream-silent': {
			return disturbProxy({silent: 'open'});
		}

		case 'upstream-loses-answers': {
			return disturbProxy({loseAnswers: true});
		}

		case 'upstream-delayed': {
			return disturbProxy({delayMilliseconds});
		}

		case 'upstream-cuts-answers': {
			return behave({kind: 'cut'});
		}

		case 'upstream-repeats-answers': {
			return behave({kind: 'repeat'});
		}

		case 'upstream-refuses': {
			return behave({kind: 'refuse'});
		}

		case 'upstream-fails': {
			return behave({kind: 'fail'});
		}

		case 'upstream-restarted': {
			await site.crash(upstream);
			site.remove(upstream);
			await site.startUpstream(upstream.service);
			return () => undefined;
		}

		default: {
			return assertNever(kind);
		}
	}
}

/** Formats a verdict as one line. */
export function formatSoakVerdict(seed: number, {violations, requests, served, statuses}: SoakVerdict): string {
	const counts = Object.entries(statuses).map(([status, count]) => `${status}=${count}`).join(' ');
	return `${violations.length === 0 ? 'PASS' : 'FAIL'} seed=${seed} requests=${requests} served=${served} ${counts}`;
}
