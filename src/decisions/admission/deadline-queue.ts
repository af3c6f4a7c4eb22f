/** Priority queue ordered by priority, then by deadline, then by id. */

/** Fields by which the queue orders and finds an item; ids are unique within a queue. */
export type QueuedItem = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
};

export type DeadlineQueue<Item extends QueuedItem> = {
	readonly size: number;
	add(item: Item): void;
	/** Returns the first item without removing it. */
	peek(): Item | undefined;
	/** Removes and returns the first item; undefined when the queue is empty. */
	removeFirst(): Item | undefined;
	/** Removes and returns the item with the given id; undefined when it is not in the queue. */
	remove(id: number): Item | undefined;
	/** Returns all items in no particular order. */
	values(): Iterable<Item>;
};

/** Creates an empty queue as a binary heap with an index by id; adding and removing take O(log n) steps. */
export function createDeadlineQueue<Item extends QueuedItem>(): DeadlineQueue<Item> {
	const heap: Item[] = [];
	const positions = new Map<number, number>();

	function setItemAt(item: Item, position: number): void {
		heap[position] = item;
		positions.set(item.id, position);
	}

	function siftUp(item: Item, start: number): void {
		let position = start;
		while (position > 0) {
			const parentPosition = Math.floor((position - 1) / 2);
			const parent = heap[parentPosition]!;
			if (!isBefore(item, parent)) {
				break;
			}

			setItemAt(parent, position);
			position = parentPosition;
		}

		setItemAt(item, position);
	}

	function siftDown(item: Item, start: number): void {
		let position = start;
		for (;;) {
			const leftPosition = (2 * position) + 1;
			const left = heap[leftPosition];
			if (!left) {
				break;
			}

			const right = heap[leftPosition + 1];
			const isRightFirst = right !== undefined && isBefore(right, left);
			const child = isRightFirst ? right : left;
			if (!isBefore(child, item)) {
				break;
			}

			setItemAt(child, position);
			position = isRightFirst ? leftPosition + 1 : leftPosition;
		}

		setItemAt(item, position);
	}

	function removeAt(position: number): Item | undefined {
		const item = heap[position];
		const last = heap.pop();
		if (!item || !last) {
			return undefined;
		}

		positions.delete(item.id);
		if (last === item) {
			return item;
		}

		const shouldSiftUp = isBefore(last, item);
		if (shouldSiftUp) {
			siftUp(last, position);
		} else {
			siftDown(last, position);
		}

		return item;
	}

	return {
		get size() {
			return heap.length;
		},
		add(item) {
			siftUp(item, heap.length);
		},
		peek: () => heap[0],
		removeFirst: () => removeAt(0),
		remove(id) {
			const position = positions.get(id);
			return position === undefined ? undefined : removeAt(position);
		},
		values: () => heap,
	};
}

function isBefore(left: QueuedItem, right: QueuedItem): boolean {
	if (left.priority !== right.priority) {
		return left.priority < right.priority;
	}

	return left.deadlineAt === right.deadlineAt ? left.id < right.id : left.deadlineAt < right.deadlineAt;
}
