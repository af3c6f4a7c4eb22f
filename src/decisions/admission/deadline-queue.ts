/** Queue of calls in the order of their priority and then of their deadlines. */

/** What the queue needs to know of an item. */
export type QueuedItem = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
};

export type DeadlineQueue<Item extends QueuedItem> = {
	readonly size: number;
	add(item: Item): void;
	/** Gets the first item without taking it. */
	peek(): Item | undefined;
	/** Takes the first item. */
	take(): Item | undefined;
	/** Takes an item out by its id. */
	remove(id: number): Item | undefined;
	values(): Iterable<Item>;
};

/** Creates an empty queue; each change costs a number of steps that grows with the logarithm of its size. */
export function createDeadlineQueue<Item extends QueuedItem>(): DeadlineQueue<Item> {
	const heap: Item[] = [];
	const positions = new Map<number, number>();

	function place(item: Item, position: number): void {
		heap[position] = item;
		positions.set(item.id, position);
	}

	function moveUp(item: Item, start: number): void {
		let position = start;
		while (position > 0) {
			const parentPosition = Math.floor((position - 1) / 2);
			const parent = heap[parentPosition]!;
			if (!isBefore(item, parent)) {
				break;
			}

			place(parent, position);
			position = parentPosition;
		}

		place(item, position);
	}

	function moveDown(item: Item, start: number): void {
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

			place(child, position);
			position = isRightFirst ? leftPosition + 1 : leftPosition;
		}

		place(item, position);
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

		const isUp = isBefore(last, item);
		if (isUp) {
			moveUp(last, position);
		} else {
			moveDown(last, position);
		}

		return item;
	}

	return {
		get size() {
			return heap.length;
		},
		add(item) {
			moveUp(item, heap.length);
		},
		peek: () => heap[0],
		take: () => removeAt(0),
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
