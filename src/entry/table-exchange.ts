/** Fetches newer table versions from peers, so that it is enough when one entry can reach the log. */
import {tableUpdateSchema} from '../decisions/table/table-follower.ts';
import {type Logger} from '../observability/logger.ts';
import {type MembershipClient} from '../peers/membership-client.ts';
import {type TableReader} from './table-reader.ts';

export type TableExchangeHost = {
	readonly tableReader: Pick<TableReader, 'getStatus' | 'getUpdate' | 'adoptFromPeer'>;
	readonly client: Pick<MembershipClient, 'getTableUpdate'>;
	readonly logger: Logger;
};

/** Exchange of table versions between entries. */
export type TableExchange = {
	/** Gets the offset of the next record of the table stream to fold, plus 1; 0 when this entry has no table. */
	getPosition(): number;
	/** Gets the update for a peer at a position, as JSON; undefined when the peer lacks nothing. */
	getUpdate(position: number): string | undefined;
	/** Compares the position of a peer with this entry's and fetches the update that this entry lacks. */
	onPeerPosition(address: string, position: number): void;
};

/** Delay before fetching from a peer; within it, this entry's own reader usually reads the record that the peer has. */
const ownReaderDelayMilliseconds = 300;

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
				setTimeout(resolve, ownReaderDelayMilliseconds);
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
		onPeerPosition(address, position) {
			if (isFetching || position <= getPosition()) {
				return;
			}

			void fetchOnce(address, position);
		},
	};
}
