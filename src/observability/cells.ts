/** Plain numbers that are written to a counter or gauge when the metrics are asked for, so that counting costs little. */
import type * as prometheus from 'prom-client';

/** One combination of label values. */
export type Cell = {value: number};

export type Cells<Label extends string> = {
	/** Creates the cell of a combination of label values; each combination is created once. */
	create(labels: Readonly<Record<Label, string>>): Cell;
	/** Writes all cells to the metric. */
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
