/** Checks that the rows of a table are consistent with each other. The schema of a row checks the row on its own. */
import {getRowKey} from './row-key.ts';
import {type Row, type RowKey, type Table} from './rows.ts';
import {createTableView, type ServiceView} from './service-view.ts';

/** Maximum number of rows of a table. */
export const maximumRows = 20_000;

/** The first inconsistency that a check found. */
export type TableProblem = {
	/** Key of the row to correct; empty if the problem concerns the whole table. */
	readonly key: RowKey;
	/** What is wrong and how to correct it. */
	readonly message: string;
};

/** Checks the number of rows of the table, and the rows of the given services. Returns undefined when they are valid. */
export function checkTable(table: Table, services: ReadonlySet<string>): TableProblem | undefined {
	if (table.rows.size > maximumRows) {
		return {key: '', message: `the table would have ${table.rows.size} rows; keep it within ${maximumRows}`};
	}

	const rows = new Map([...table.rows].filter(([, row]) => services.has(row.service)));
	const view = createTableView({version: table.version, rows});
	for (const row of rows.values()) {
		const service = view.services.get(row.service);
		if (!service) {
			return createProblem(row, `there is no row for the service ${row.service}; add it, or remove this row with it`);
		}
	}

	for (const service of view.services.values()) {
		const problem = checkSlots(service) ?? checkWeights(service) ?? checkLimits(service) ?? checkOperations(service);
		if (problem) {
			return problem;
		}
	}

	return undefined;
}

/** Checks slots against connections: each running call uses a connection, so an upstream must not have more slots than connections. */
function checkSlots(view: ServiceView): TableProblem | undefined {
	const {connectionsPerUpstream, slotsPerUpstream} = view.service;
	if (slotsPerUpstream > connectionsPerUpstream) {
		return createProblem(view.service, `slotsPerUpstream ${slotsPerUpstream} exceeds connectionsPerUpstream ${connectionsPerUpstream}; lower the one or raise the other`);
	}

	for (const upstream of view.upstreams.values()) {
		if (upstream.slots !== undefined && upstream.slots > connectionsPerUpstream) {
			return createProblem(upstream, `slots ${upstream.slots} exceeds connectionsPerUpstream ${connectionsPerUpstream} of the service; lower the one or raise the other`);
		}
	}

	return undefined;
}

function checkWeights(view: ServiceView): TableProblem | undefined {
	const places = [...view.places.values()];
	const [first] = places;
	if (first && places.every(place => place.weight === 0)) {
		return createProblem(first, 'every place of the service has weight 0; give one of them a weight, or stop the service with a limit of 0 calls per second');
	}

	return undefined;
}

function checkLimits(view: ServiceView): TableProblem | undefined {
	const {limit} = view;
	for (const place of limit ? view.places.values() : []) {
		if (isAbove(place.callsPerSecond, limit?.callsPerSecond)) {
			return createProblem(place, `callsPerSecond ${place.callsPerSecond} exceeds the ${limit?.callsPerSecond} of the whole service; lower the one or raise the other`);
		}

		if (isAbove(place.callsInFlight, limit?.callsInFlight)) {
			return createProblem(place, `callsInFlight ${place.callsInFlight} exceeds the ${limit?.callsInFlight} of the whole service; lower the one or raise the other`);
		}
	}

	return undefined;
}

function checkOperations(view: ServiceView): TableProblem | undefined {
	const operationsByRoute = new Map<string, string>();
	for (const operation of view.operations) {
		const route = `${operation.method} ${operation.pathPrefix}`;
		const other = operationsByRoute.get(route);
		if (other !== undefined) {
			return createProblem(operation, `the operation ${other} has the same method and path prefix (${route}); change one of them`);
		}

		operationsByRoute.set(route, operation.operation);
	}

	return undefined;
}

function isAbove(value: number | undefined, limit: number | undefined): boolean {
	return value !== undefined && limit !== undefined && value > limit;
}

function createProblem(row: Row, message: string): TableProblem {
	return {key: getRowKey(row), message};
}
