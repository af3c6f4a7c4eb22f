/** `fescuering-table`: the operators' tool that shows and edits the table of weights and limits. */
import * as os from 'node:os';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {createDiagnostic, diagnostics, type Diagnostic} from '../decisions/diagnostics.ts';
import {createHttpInstanceList} from '../platform/http-instance-list.ts';
import {createHttpLog} from '../platform/http-log.ts';
import {createReliableLog} from '../platform/reliable-log.ts';
import {readSettings} from '../platform/settings-file.ts';
import {createCommandLine, runCommandLine} from './shared/command-line.ts';
import * as commands from './table-tool/commands.ts';
import {type TableToolSettings, tableToolSettingsSchema} from './table-tool/settings.ts';
import {createTableStore} from './table-tool/table-store.ts';

type Options = Readonly<Record<string, unknown>>;

const millisecondsPerSecond = 1000;
const defaultHistoryLimit = 20;
const defaultWaitSeconds = 10;

const program = createCommandLine('fescuering-table');
program.option('--settings <file>', 'Settings in JSON');
program.option('--check', 'Check the settings and exit');

program.command('show', 'Show the accepted table')
	.option('--service <name>', 'Show one service only')
	.option('--format <format>', 'text, csv or json', {default: 'text'})
	.action(async (options: Options) => run(options, async host => {
		const format = String(options.format);
		return format === 'text' || format === 'csv' || format === 'json'
			? commands.show(host, getOption(options, 'service'), format)
			: commands.createFailure(createDiagnostic(diagnostics.tableOptionInvalid, '--format', format, 'text, csv or json'));
	}));

program.command('check <file>', 'Check a CSV or JSON file as a whole table')
	.action((file: string) => {
		printResult(commands.check(file));
	});

program.command('edit', 'Publish an edit and wait for its verdict')
	.option('--base <version>', 'Version that the edit is based on; the accepted one when absent')
	.option('--put <json>', 'Row to add or replace, as JSON; may be repeated')
	.option('--remove <key>', 'Key of a row to remove, e.g. place/desk/riverside; may be repeated')
	.option('--file <file>', 'CSV or JSON file with rows to add or replace')
	.option('--id <id>', 'ID of the edit; pass the same ID to repeat an edit whose verdict was not received')
	.action(async (options: Options) => runEdit(options, {file: getOption(options, 'file'), removesMissingRows: false}));

program.command('import <file>', 'Publish the rows of a CSV or JSON file as one edit')
	.option('--base <version>', 'Version that the file was exported from, when the file does not contain it')
	.option('--replace', 'Remove the rows that the file lacks')
	.option('--id <id>', 'ID of the edit; pass the same ID to repeat an edit whose verdict was not received')
	.action(async (file: string, options: Options) => runEdit(options, {file, removesMissingRows: options.replace === true}));

program.command('export <file>', 'Write the accepted table to a CSV or JSON file')
	.action(async (file: string, options: Options) => run(options, async host => commands.exportTable(host, file)));

program.command('history', 'Show the latest edits and their verdicts')
	.option('--limit <count>', 'Number of edits', {default: defaultHistoryLimit})
	.action(async (options: Options) => runWithNumber(options, '--limit', options.limit, commands.history));

program.command('status', 'Show the version in force on every entry')
	.action(async (options: Options) => run(options, commands.status));

program.command('wait <version>', 'Wait until a version is in force on every entry')
	.option('--timeout-seconds <seconds>', 'Time to wait', {default: defaultWaitSeconds})
	.action(async (version: string, options: Options) => runWithNumber(options, 'the version', version, async (host, number) => {
		const seconds = Number(options.timeoutSeconds);
		return Number.isFinite(seconds)
			? commands.wait(host, number, seconds * millisecondsPerSecond)
			: commands.createFailure(createDiagnostic(diagnostics.tableOptionInvalid, '--timeout-seconds', String(options.timeoutSeconds), 'a number'));
	}));

program.command('recover <file>', 'Publish a file as the table after all of its records have expired')
	.action(async (file: string, options: Options) => run(options, async host => commands.recover(host, file)));

program.command('', 'Check the settings with --check').action(async (options: Options) => {
	if (options.check === true) {
		await run(options, async () => ({exitCode: commands.exitCodes.done, output: 'the settings are valid'}));
		return;
	}

	program.outputHelp();
	process.exitCode = commands.exitCodes.usage;
});

await runCommandLine(program);

async function run(options: Options, command: (host: commands.CommandHost) => Promise<commands.CommandResult>): Promise<void> {
	const settings = readToolSettings(options);
	printResult(settings.isOk() ? await command(createHost(settings.value)) : commands.createFailure(settings.error));
}

async function runWithNumber(options: Options, name: string, value: unknown, command: (host: commands.CommandHost, number: number) => Promise<commands.CommandResult>): Promise<void> {
	const number = parseInteger(name, value);
	await run(options, async host => number.isOk() ? command(host, number.value) : commands.createFailure(number.error));
}

async function runEdit(options: Options, source: {file: string | undefined; removesMissingRows: boolean}): Promise<void> {
	const base = options.base === undefined ? ok(undefined) : parseInteger('--base', options.base);
	await run(options, async host => base.isErr()
		? commands.createFailure(base.error)
		: commands.edit(host, {
			...source,
			id: getOption(options, 'id'),
			base: base.value,
			put: getOptionValues(options, 'put'),
			remove: getOptionValues(options, 'remove'),
		}));
}

function readToolSettings(options: Options): Result<TableToolSettings, Diagnostic> {
	const path = getOption(options, 'settings');
	return path === undefined
		? err(createDiagnostic(diagnostics.settingsOptionMissing, '--settings'))
		: readSettings(path, tableToolSettingsSchema);
}

function createHost(settings: TableToolSettings): commands.CommandHost {
	const now = (): number => performance.now();
	const sleep = async (milliseconds: number): Promise<void> => {
		await timers.setTimeout(milliseconds);
	};

	const log = createReliableLog({
		log: createHttpLog(settings.platform.logUrl), now, sleep, random: Math.random,
	});
	return {
		store: createTableStore(log),
		instances: createHttpInstanceList(settings.platform.instanceListUrl),
		operator: settings.operator ?? os.userInfo().username,
		timeoutMilliseconds: settings.platform.timeoutMilliseconds,
		now,
		sleep,
	};
}

function parseInteger(name: string, value: unknown): Result<number, Diagnostic> {
	const number = Number(value);
	return Number.isInteger(number)
		? ok(number)
		: err(createDiagnostic(diagnostics.tableOptionInvalid, name, String(value), 'a whole number'));
}

function getOption(options: Options, name: string): string | undefined {
	const value = options[name];
	return typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;
}

function getOptionValues(options: Options, name: string): string[] {
	const values: unknown[] = [options[name] ?? []].flat();
	return values.map(String);
}

function printResult(result: commands.CommandResult): void {
	if (result.output !== '') {
		process.stdout.write(`${result.output}\n`);
	}

	if (result.error !== undefined) {
		process.stderr.write(`${result.error}\n`);
	}

	process.exitCode = result.exitCode;
}
