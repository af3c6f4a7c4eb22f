/** Finds upstreams whose address belongs to one that started later. */
import type * as types from './types.ts';

type Known = {readonly registration: types.Registration; readonly removalDueAt: number | undefined};

/** Leaves out registrations of unknown upstreams whose address belongs to a known one that started later. */
export function dropFormerOwners(known: ReadonlyMap<string, Known>, registrations: readonly types.Registration[]): readonly types.Registration[] {
	const owners = new Map([...known.values()].map(({registration}) => [registration.address, registration]));
	return registrations.filter(({id, address, incarnation}) => {
		const owner = owners.get(address);
		return known.has(id) || owner === undefined || owner.incarnation <= incarnation;
	});
}

/** Lists the upstreams whose removal is held back although their address has a new owner, which proves that they are gone. */
export function listFormerOwners(known: ReadonlyMap<string, Known>): readonly string[] {
	const registrations = [...known.values()];
	return registrations
		.filter(({removalDueAt}) => removalDueAt !== undefined)
		.filter(({registration: {address, incarnation}}) => registrations.some(({registration}) => registration.address === address && registration.incarnation > incarnation))
		.map(({registration}) => registration.id);
}
