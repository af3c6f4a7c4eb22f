/** Numeric cells that are copied to a counter or gauge only when the metrics are collected, so that counting is cheap. */
import type * as prometheus from 'prom-client';

/** Value for one combination of label values. */
export type Cell = {value: number};

/** The cells of one metric. */
export type Cells<Label extends string> = {
	/** Creates the cell of a combination of label values; must be called only once for each combination. */
	create(labels: Readonly<Record<Label, string>>): Cell;
	/** Replaces the values of the metric by those of the cells. */
	write(): void;
};

/** Creates the cells of a counter or gauge. */
export function createCells<Label extends string>(metric: prometheus.Counter<Label> | prometheus.Gauge<Label>): Cells<Label> {
	const cells: Array<{readonly labels: Readonly<Record<Label, string>>; readonly cell: Cell}> = [];
	return {
		create(labels) {
			const cell = {value: 0};
			cells.push({labels, cell});
			return cell;
		},
		write() {
			metric.reset();
			for (const {labels, cell} of cells) {
				metric.inc(labels, cell.value);
			}
		},
	};
}
