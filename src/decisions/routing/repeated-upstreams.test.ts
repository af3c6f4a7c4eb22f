import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {operationRowSchema, serviceRowSchema} from '../table/rows.ts';
import {createServiceScheduler} from './scheduler.ts';

const {expect, test} = vitest;
const now = 0;
const operation = operationRowSchema.parse({
	kind: 'operation', service: 'desk', operation: 'long', method: 'GET', pathPrefix: '/', idempotent: true, duration: 'long',
});
const upstreams = ['a', 'b'].map(name => ({
	name, address: `${name}:1`, region: 'region', failureDomain: 'riverside', state: 'live' as const,
}));

// Guards against long calls that wait until their deadline behind a retry that no own slot for long work may take.
test.each([1, 2, 3])('a long call that was tried wherever entry %i has slots for long work is sent again', entryNumber => {
	const scheduler = createServiceScheduler({
		policy: {kind: 'product'},
		view: {
			service: serviceRowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: 2}),
			operations: [operation],
			places: new Map(),
			upstreams: new Map(),
			limit: undefined,
		},
		fleet: {
			self: `entry-${entryNumber}`,
			selfFailureDomain: 'riverside',
			entries: [1, 2, 3].map(number => ({name: `entry-${number}`, failureDomain: 'riverside'})),
		},
		upstreams,
		random: createRandomSource(entryNumber),
		now,
	});
	const submit = (id: number, triedUpstreams: readonly string[]) => scheduler.submit({
		id, operation, arrivedAt: now, deadlineAt: 10_000, attempts: triedUpstreams.length, triedUpstreams,
	}, now);

	const [first] = submit(1, []);
	expect(first?.kind).toBe('dispatch');
	const upstream = first?.kind === 'dispatch' ? first.upstream : '';
	scheduler.finishAttempt(1, upstream, {kind: 'refused', durationMilliseconds: 1}, now);
	expect(submit(1, [upstream])).toEqual([{
		kind: 'dispatch', callId: 1, upstream, behindLongMilliseconds: 0,
	}]);
});
