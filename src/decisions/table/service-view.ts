/** Index of the table of weights and limits by service, for lookups on the data path. */
import {assertNever} from '../assert-never.ts';
import {
	type LimitRow, type OperationRow, type PlaceRow, type Row, type ServiceRow, type Table, type UpstreamRow,
} from './rows.ts';

/** All rows of one service. */
export type ServiceView = {
	readonly service: ServiceRow;
	/** Operations, ordered by descending length of their path prefixes. */
	readonly operations: readonly OperationRow[];
	/** Places by failure domain. */
	readonly places: ReadonlyMap<string, PlaceRow>;
	readonly upstreams: ReadonlyMap<string, UpstreamRow>;
	readonly limit: LimitRow | undefined;
};

/** A version of the table, indexed by service. */
export type TableView = {
	readonly version: number;
	readonly services: ReadonlyMap<string, ServiceView>;
};

type MutableServiceView = {
	service: ServiceRow;
	operations: OperationRow[];
	places: Map<string, PlaceRow>;
	upstreams: Map<string, UpstreamRow>;
	limit: LimitRow | undefined;
};

/** Groups the rows of a table by service. Rows of a service without a service row are omitted. */
export function createTableView(table: Table): TableView {
	const views = new Map<string, MutableServiceView>();
	for (const row of table.rows.values()) {
		if (row.kind === 'service') {
			views.set(row.service, {
				service: row, operations: [], places: new Map(), upstreams: new Map(), limit: undefined,
			});
		}
	}

	for (const row of table.rows.values()) {
		const view = views.get(row.service);
		if (view) {
			addRow(view, row);
		}
	}

	for (const view of views.values()) {
		view.operations.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	}

	return {version: table.version, services: views};
}

function addRow(view: MutableServiceView, row: Row): void {
	switch (row.kind) {
		case 'service': {
			return;
		}

		case 'operation': {
			view.operations.push(row);
			return;
		}

		case 'place': {
			view.places.set(row.failureDomain, row);
			return;
		}

		case 'upstream': {
			view.upstreams.set(row.upstream, row);
			return;
		}

		case 'limit': {
			view.limit = row;
			return;
		}

		default: {
			assertNever(row);
		}
	}
}

/** Finds the operation of a call by its method and its path below the service; the longest matching path prefix wins. */
export function findOperation(view: ServiceView, method: string, path: string): OperationRow | undefined {
	return view.operations.find(operation => operation.method === method && path.startsWith(operation.pathPrefix));
}
