/** Tests of real processes whose store returns from an older copy twice in a row. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as drillFleet from './support/drill-fleet.ts';
import * as gatewayProcess from './support/gateway-process.ts';

const {afterEach, beforeEach, expect, test} = vitest;
/** Versions in the order in which they get into force: the one of before the drill is written again with other content. */
const versions = [4, 5, 5, 6];

let fleet: drillFleet.DrillFleet;

beforeEach(async () => {
	fleet = await drillFleet.startDrillFleet();
});

afterEach(gatewayProcess.close);

// Guards against a second drill that undoes what was kept in the first, and against removals of an outage between them.
test('nothing is taken back by two drills with an outage between them', async () => {
	const callers = fleet.startCallers(true);
	await fleet.drill();
	fleet.store.setFault({kind: 'reset'});
	await timers.setTimeout(2500);
	await fleet.drill();
	fleet.store.setFault({kind: 'none'});
	const rises = ['1 to 2', '2 to 3'];
	expect(await fleet.finish(callers)).toEqual({unexpected: '', versions: [versions, versions, versions], rises: [rises, rises, rises]});
});

// Guards against an entry that knows an era two drills back and follows, or is followed by, entries that are ahead.
test.each(['reader', 'follower'])('nothing is taken back by two drills while the %s knows only the era before both', async kind => {
	const behind = kind === 'reader' ? fleet.reader : fleet.followers[0]!;
	const callers = fleet.startCallers(true);
	fleet.stop(behind, 'SIGSTOP');
	await fleet.drill();
	await fleet.drill();
	await fleet.resume(behind);
	const {unexpected, versions: allVersions, rises} = await fleet.finish(callers);
	expect(unexpected).toBe('');
	expect(allVersions).toEqual([versions, versions, versions]);
	const stepwise = ['1 to 2', '2 to 3'];
	expect(rises.slice(0, -1)).toEqual([stepwise, stepwise]);
	// What others sent to it while it was paused may state the era in between.
	expect([['1 to 3'], stepwise]).toContainEqual(rises.at(-1));
});
