/** Set that gives a random member in constant time. */
import {type RandomSource} from '../random.ts';

export type IndexedSet<Item> = {
	readonly size: number;
	/** Puts the item in or takes it out. */
	set(item: Item, isMember: boolean): void;
	has(item: Item): boolean;
	/** Chooses a member; undefined when the set is empty. */
	choose(random: RandomSource): Item | undefined;
	values(): readonly Item[];
};

/** Creates an empty set. */
export function createIndexedSet<Item>(): IndexedSet<Item> {
	const items: Item[] = [];
	const positions = new Map<Item, number>();

	function add(item: Item): void {
		positions.set(item, items.length);
		items.push(item);
	}

	function remove(item: Item, position: number): void {
		const last = items.pop()!;
		positions.delete(item);
		if (last !== item) {
			items[position] = last;
			positions.set(last, position);
		}
	}

	return {
		get size() {
			return items.length;
		},
		set(item, isMember) {
			const position = positions.get(item);
			if (isMember && position === undefined) {
				add(item);
			} else if (!isMember && position !== undefined) {
				remove(item, position);
			}
		},
		has: item => positions.has(item),
		choose: random => items.length === 0 ? undefined : items[random.nextInteger(items.length)],
		values: () => items,
	};
}
