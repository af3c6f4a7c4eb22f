/** Set that selects a random member in constant time. */
import {type RandomSource} from '../random.ts';

/** Set with selection of a random member. */
export type IndexedSet<Item> = {
	readonly size: number;
	/** Adds the item if `isMember`, removes it otherwise. */
	set(item: Item, isMember: boolean): void;
	has(item: Item): boolean;
	/** Returns a random member; undefined when the set is empty. */
	chooseRandom(random: RandomSource): Item | undefined;
	/** Returns the members in no particular order. */
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
		chooseRandom: random => items.length === 0 ? undefined : items[random.nextInteger(items.length)],
		values: () => items,
	};
}
