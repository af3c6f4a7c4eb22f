/** Structured logging: one line of `key=value` pairs for each event. */
import process from 'node:process';
import * as consola from 'consola/core';

/** Log levels, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Values of log fields; undefined omits the field. */
export type LogValue = string | number | boolean | undefined;

/** Logs events; the name of an event is a constant in kebab case. */
export type Logger = {
	error(event: string, fields?: Readonly<Record<string, LogValue>>): void;
	warn(event: string, fields?: Readonly<Record<string, LogValue>>): void;
	info(event: string, fields?: Readonly<Record<string, LogValue>>): void;
	debug(event: string, fields?: Readonly<Record<string, LogValue>>): void;
};

const consolaLevels: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 3, debug: 4,
};

/** Receives the lines of a logger; warnings and errors are important. */
export type LineTarget = {
	write(line: string, isImportant: boolean): unknown;
};

const errorStream: LineTarget = {write: line => process.stderr.write(line)};

/** Creates a logger that writes to the given target; fixed fields are part of each line. */
export function createLogger(level: LogLevel, fixedFields: Readonly<Record<string, LogValue>> = {}, target: LineTarget = errorStream): Logger {
	const instance = consola.createConsola({
		level: consolaLevels[level],
		throttle: 0,
		reporters: [{
			log(entry) {
				target.write(`time=${entry.date.toISOString()} level=${entry.type} ${entry.args.join(' ')}\n`, entry.type === 'warn' || entry.type === 'error');
			},
		}],
	});
	const fixed = formatFields(fixedFields);
	const write = (type: LogLevel) => (event: string, fields: Readonly<Record<string, LogValue>> = {}) => {
		instance[type](`event=${event}${fixed}${formatFields(fields)}`);
	};

	return {
		error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug'),
	};
}

function formatFields(fields: Readonly<Record<string, LogValue>>): string {
	return Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => ` ${key}=${formatValue(value)}`)
		.join('');
}

function formatValue(value: LogValue): string {
	const text = String(value);
	return /^[\w.:\/\-]+$/v.test(text) ? text : JSON.stringify(text);
}
