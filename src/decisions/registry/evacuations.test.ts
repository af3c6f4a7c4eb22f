import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as evacuationsModule from './evacuations.ts';

const {expect, test} = vitest;
const at = (offset: number) => ({era: 0, offset});

test('records evacuate and restore failure domains, and a newer set of another entry replaces them', () => {
	const evacuations = evacuationsModule.createEvacuations();
	expect(evacuations.applyRecords([{kind: 'evacuated', failureDomain: 'riverside'}], at(5))).toBe(true);
	expect(evacuations.isEvacuated('riverside')).toBe(true);
	expect(evacuations.applySet({
		era: 0, version: 4, failureDomains: [], remembersEarlier: false,
	})).toBe(false);
	expect(evacuations.applyRecords([{kind: 'evacuated', failureDomain: 'riverside'}], at(6))).toBe(false);
	expect(evacuations.applySet({
		era: 0, version: 9, failureDomains: ['hillside'], remembersEarlier: false,
	})).toBe(true);
	expect(evacuations.getSet()).toEqual({
		era: 0, version: 9, failureDomains: ['hillside'], remembersEarlier: false,
	});
	expect(evacuations.applyRecords([{kind: 'restored', failureDomain: 'hillside'}], at(12))).toBe(true);
	expect(evacuations.getSet()).toEqual({
		era: 0, version: 12, failureDomains: [], remembersEarlier: false,
	});
});

test('the newest records of the store replace the set after a loss of its history, unless they are older', () => {
	const evacuations = evacuationsModule.createEvacuations();
	evacuations.applyRecords([{kind: 'evacuated', failureDomain: 'riverside'}, {kind: 'evacuated', failureDomain: 'hillside'}], at(5));
	expect(evacuations.applySnapshot([{kind: 'evacuated', failureDomain: 'hillside'}], at(4))).toBe(false);
	expect(evacuations.applySnapshot([{kind: 'evacuated', failureDomain: 'hillside'}], at(30))).toBe(true);
	expect(evacuations.getSet()).toEqual({
		era: 0, version: 30, failureDomains: ['hillside'], remembersEarlier: false,
	});
});

// Guards against entries that keep an evacuation, or miss one, after a change of the entry that reads the log.
test('entries that read the log at any times, or follow one another in any order, agree with it in the end', () => {
	const step = fastCheck.record({
		kind: fastCheck.constantFrom('write', 'read', 'snapshot', 'follow'), entry: fastCheck.nat({max: 3}), other: fastCheck.nat({max: 3}), failureDomain: fastCheck.nat({max: 2}), isEvacuated: fastCheck.boolean(),
	});
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 80}), steps => {
		const log: evacuationsModule.EvacuationRecord[] = [];
		const entries = Array.from({length: 4}, () => ({evacuations: evacuationsModule.createEvacuations(), position: 0}));
		const getNewest = () => [...new Map(log.map(record => [record.failureDomain, record])).values()].filter(({kind}) => kind === 'evacuated');
		for (const {kind, entry, other, failureDomain, isEvacuated} of steps) {
			const reader = entries[entry]!;
			switch (kind) {
				case 'write': {
					log.push({kind: isEvacuated ? 'evacuated' : 'restored', failureDomain: `d${failureDomain}`});
					break;
				}

				case 'read': {
					reader.evacuations.applyRecords(log.slice(reader.position), at(log.length));
					reader.position = log.length;
					break;
				}

				case 'snapshot': {
					reader.evacuations.applySnapshot(getNewest(), at(log.length));
					reader.position = log.length;
					break;
				}

				case 'follow': {
					reader.evacuations.applySet(entries[other]!.evacuations.getSet());
					break;
				}
			}
		}

		const [first] = entries;
		first!.evacuations.applySnapshot(getNewest(), at(log.length));
		first!.evacuations.applyRecords(log.slice(first!.position), at(log.length));
		for (const {evacuations} of entries) {
			evacuations.applySet(first!.evacuations.getSet());
			expect(evacuations.getSet().failureDomains).toEqual(getNewest().map(record => record.failureDomain).toSorted());
		}
	}), {seed: 40, numRuns: 1000});
});
