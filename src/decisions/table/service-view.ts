/** The table of weights and limits arranged by service, for look-ups on the data path. */
import {assertNever} from '../assert-never.ts';
import {
	type LimitRow, type OperationRow, type PlaceRow, type Row, type ServiceRow, type Table, type UpstreamRow,
} from './rows.ts';

/** All rows of one service. */
export type ServiceView = {
	readonly service: ServiceRow;
	/** Operations with the longest path prefix first. */
	readonly operations: readonly OperationRow[];
	readonly places: ReadonlyMap<string, PlaceRow>;
	readonly upstreams: ReadonlyMap<string, UpstreamRow>;
	readonly limit: LimitRow | undefined;
};

export type TableView = {
	readonly version: number;
	readonly services: ReadonlyMap<string, ServiceView>;
};

type ServiceViewDraft = {
	service: ServiceRow;
	operations: OperationRow[];
	places: Map<string, PlaceRow>;
	upstreams: Map<string, UpstreamRow>;
	limit: LimitRow | undefined;
};

/** Arranges the rows of a table by service; rows of a service without a service row are left out. */
export function createTableView(table: Table): TableView {
	const drafts = new Map<string, ServiceViewDraft>();
	for (const row of table.rows.values()) {
		if (row.kind === 'service') {
			drafts.set(row.service, {
				service: row, operations: [], places: new Map(), upstreams: new Map(), limit: undefined,
			});
		}
	}

	for (const row of table.rows.values()) {
		const draft = drafts.get(row.service);
		if (draft) {
			addRow(draft, row);
		}
	}

	for (const draft of drafts.values()) {
		draft.operations.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	}

	return {version: table.version, services: drafts};
}

function addRow(draft: ServiceViewDraft, row: Row): void {
	switch (row.kind) {
		case 'service': {
			return;
		}

		case 'operation': {
			draft.operations.push(row);
			return;
		}

		case 'place': {
			draft.places.set(row.failureDomain, row);
			return;
		}

		case 'upstream': {
			draft.upstreams.set(row.upstream, row);
			return;
		}

		case 'limit': {
			draft.limit = row;
			return;
		}

		default: {
			assertNever(row);
		}
	}
}

/** Resolves the operation of a call from its method and its path below the service. */
export function resolveOperation(view: ServiceView, method: string, path: string): OperationRow | undefined {
	return view.operations.find(operation => operation.method === method && path.startsWith(operation.pathPrefix));
}
