/** Gauges of an entry, set from its state when the metrics are collected. */
import * as prometheus from 'prom-client';
import {type UpstreamStatus} from '../decisions/routing/types.ts';

/** State of a service, read when the metrics are collected. */
export type ServiceGauges = {
	readonly service: string;
	/** Number of calls that wait for a slot. */
	readonly waiting: number;
	readonly upstreams: ReadonlyArray<UpstreamStatus & {
		/** Number of open connections from this entry. */
		readonly connections: number;
	}>;
};

/** State of an entry, read when the metrics are collected. */
export type EntryGauges = {
	/** Log offset of the table version in force; -1 for none. */
	readonly tableVersion: number;
	/** Number of known entries by state, e.g. `live`. */
	readonly members: Readonly<Record<string, number>>;
	readonly services: readonly ServiceGauges[];
};

/** Registers the gauges and returns the function that sets them. */
export function createGaugeWriter(registry: prometheus.Registry): (gauges: EntryGauges) => void {
	const registers = [registry];
	const upstreamLabels = ['service', 'upstream'] as const;
	const tableVersion = new prometheus.Gauge({
		name: 'fescuering_table_version', help: 'Log offset of the table version in force; -1 for none.', registers,
	});
	const members = new prometheus.Gauge({
		name: 'fescuering_members', help: 'Entries known to this one, by state.', labelNames: ['state'] as const, registers,
	});
	const waiting = new prometheus.Gauge({
		name: 'fescuering_calls_waiting', help: 'Calls that wait for a slot.', labelNames: ['service'] as const, registers,
	});
	const slots = new prometheus.Gauge({
		name: 'fescuering_upstream_slots', help: 'Slots of an upstream.', labelNames: upstreamLabels, registers,
	});
	const inFlight = new prometheus.Gauge({
		name: 'fescuering_upstream_calls_in_flight', help: 'Calls of this entry that run at an upstream.', labelNames: upstreamLabels, registers,
	});
	const connections = new prometheus.Gauge({
		name: 'fescuering_upstream_connections', help: 'Open connections of this entry to an upstream.', labelNames: upstreamLabels, registers,
	});
	const state = new prometheus.Gauge({
		name: 'fescuering_upstream_state', help: 'State of an upstream as this entry sees it: 1 for the state named by the label.', labelNames: [...upstreamLabels, 'state'], registers,
	});
	const writeService = ({service, waiting: calls, upstreams}: ServiceGauges) => {
		waiting.set({service}, calls);
		for (const status of upstreams) {
			const labels = {service, upstream: status.upstream};
			slots.set(labels, status.slots);
			inFlight.set(labels, status.inFlight);
			connections.set(labels, status.connections);
			state.set({...labels, state: status.state}, 1);
		}
	};

	return gauges => {
		for (const gauge of [members, waiting, slots, inFlight, connections, state]) {
			gauge.reset();
		}

		tableVersion.set(gauges.tableVersion);
		for (const [name, count] of Object.entries(gauges.members)) {
			members.set({state: name}, count);
		}

		for (const service of gauges.services) {
			writeService(service);
		}
	};
}
