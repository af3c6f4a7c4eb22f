/** Fetches newer versions of the table from other entries, so that one reader of a reachable log is enough. */
import {tableUpdateSchema} from '../decisions/table/table-follower.ts';
import {type Logger} from '../observability/logger.ts';
import {type MembershipClient} from '../peers/membership-client.ts';
import {type TableReader} from './table-reader.ts';

export type TableExchangeHost = {
	readonly tableReader: Pick<TableReader, 'getStatus' | 'getUpdate' | 'adoptFromPeer'>;
	readonly client: Pick<MembershipClient, 'getTableUpdate'>;
	readonly logger: Logger;
};

export type TableExchange = {
	/** Offset up to which this entry has folded the table stream, plus 1; 0 when it knows no table. */
	getPosition(): number;
	/** Gets what a reader at a position lacks, as JSON. */
	getUpdate(position: number): string | undefined;
	/** Takes note of the position of a peer and fetches what this entry lacks. */
	notePosition(address: string, position: number): void;
};

/** Time in which this entry's own reader usually sees a record that a peer has seen. */
const ownReaderMilliseconds = 300;

/** Creates the exchange of table versions. */
export function createTableExchange(host: TableExchangeHost): TableExchange {
	const {tableReader, client, logger} = host;
	let isFetching = false;

	function getPosition(): number {
		const {nextOffset} = tableReader.getStatus();
		return nextOffset === undefined ? 0 : nextOffset + 1;
	}

	async function fetchUpdate(address: string, position: number): Promise<void> {
		if (getPosition() > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, ownReaderMilliseconds);
			});
		}

		if (getPosition() >= position) {
			return;
		}

		const result = await client.getTableUpdate(address, getPosition());
		if (result.isErr() || result.value === '') {
			return;
		}

		const update = tableUpdateSchema.safeParse(JSON.parse(result.value));
		if (!update.success) {
			logger.warn('table-update-refused', {peer: address, reason: update.error.message});
			return;
		}

		const isNew = tableReader.adoptFromPeer(update.data);
		logger.info('table-update-taken', {peer: address, isNew, version: tableReader.getStatus().version});
	}

	async function fetchOnce(address: string, position: number): Promise<void> {
		isFetching = true;
		try {
			await fetchUpdate(address, position);
		} finally {
			isFetching = false;
		}
	}

	return {
		getPosition,
		getUpdate(position) {
			const update = tableReader.getUpdate(position === 0 ? undefined : position - 1);
			return update && JSON.stringify(update);
		},
		notePosition(address, position) {
			if (isFetching || position <= getPosition()) {
				return;
			}

			void fetchOnce(address, position);
		},
	};
}
