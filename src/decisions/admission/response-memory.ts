/** Limits the memory for responses that are being received, over all attempts: the largest of them gives way. */

/** Memory of one response. */
export type ResponseAllocation = {
	/** Records received bytes. May end this or another allocation by its function. */
	add(bytes: number): void;
	/** Frees the memory of the response. */
	free(): void;
};

/** Memory of all responses. */
export type ResponseMemory = {
	/** Starts an allocation; `onExceeded` is called at most once, and frees it. */
	allocate(onExceeded: () => void): ResponseAllocation;
	/** Number of bytes that are in use. */
	getUsed(): number;
};

type Entry = {bytes: number; readonly onExceeded: () => void};

/** Creates an empty memory of the given size. */
export function createResponseMemory(maximumBytes: number): ResponseMemory {
	const entries = new Set<Entry>();
	let used = 0;

	function free(entry: Entry): void {
		if (entries.delete(entry)) {
			used -= entry.bytes;
		}
	}

	function makeRoom(): void {
		if (used <= maximumBytes) {
			return;
		}

		let largest: Entry | undefined;
		for (const entry of entries) {
			if (!largest || entry.bytes > largest.bytes) {
				largest = entry;
			}
		}

		if (largest) {
			free(largest);
			largest.onExceeded();
			makeRoom();
		}
	}

	return {
		allocate(onExceeded) {
			const entry: Entry = {bytes: 0, onExceeded};
			entries.add(entry);
			return {
				add(bytes) {
					if (!entries.has(entry)) {
						return;
					}

					entry.bytes += bytes;
					used += bytes;
					makeRoom();
				},
				free() {
					free(entry);
				},
			};
		},
		getUsed: () => used,
	};
}
