/** Texts of the reference pages that derive from the code: the settings of an entry and the table of errors. */
import * as z from 'zod';
import {diagnostics} from '../src/decisions/diagnostics.ts';
import {problemDescriptions} from '../src/entry/problem.ts';
import {entrySettingsSchema} from '../src/entry/settings.ts';

/** JSON Schema of the settings of an entry. */
export function createSettingsSchema(): unknown {
	return z.toJSONSchema(entrySettingsSchema, {io: 'input'});
}

const nodeSchema = z.object({
	description: z.string().optional(),
	default: z.unknown().optional(),
	minimum: z.number().optional(),
	maximum: z.number().optional(),
	type: z.string().optional(),
	enum: z.array(z.string()).optional(),
	required: z.array(z.string()).optional(),
	get properties() {
		return z.record(z.string(), nodeSchema).optional();
	},
	get oneOf() {
		return z.array(nodeSchema).optional();
	},
});

type Node = z.infer<typeof nodeSchema>;

/** Page with each key of the settings, its values, its default and its meaning. */
export function createSettingsPage(): string {
	const lines = [
		'# Settings of an entry',
		'',
		'`fescuering-entry --settings file.json` reads one JSON file; unknown keys are refused. `entry-settings.schema.json` is its JSON Schema. Units are in the names of the keys. This page is written by `npm run reference`.',
		'',
		'| key | values | default | meaning |',
		'| --- | --- | --- | --- |',
		...listSettings(nodeSchema.parse(createSettingsSchema()), ''),
	];
	return `${lines.join('\n')}\n`;
}

function listSettings(node: Node, prefix: string): string[] {
	return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
		const key = prefix + name;
		if (child.properties) {
			return listSettings(child, `${key}.`);
		}

		const isRequired = node.required?.includes(name) === true && child.default === undefined;
		const defaultText = child.default === undefined ? (isRequired ? 'required' : 'absent') : `\`${JSON.stringify(child.default)}\``;
		return [`| \`${key}\` | ${describeValues(child)} | ${defaultText} | ${child.description ?? ''} |`];
	});
}

function describeValues(node: Node): string {
	if (node.enum) {
		return node.enum.map(value => `\`${value}\``).join(', ');
	}

	if (node.oneOf) {
		return 'object with `kind`, see [ROUTING.md](ROUTING.md)';
	}

	if (node.minimum !== undefined && node.maximum !== undefined) {
		return `${node.type ?? ''} ${node.minimum} to ${node.maximum}`;
	}

	return node.type ?? '';
}

/** Page with each error that a person or a caller can meet. */
export function createErrorsPage(): string {
	const lines = [
		'# Errors',
		'',
		'This page is written by `npm run reference`.',
		'',
		'## Programs',
		'',
		'Each error is one line, `error CODE: message`, on the error stream. Mistakes in settings and options end the program with exit code 2 before anything is started. `{0}`, `{1}` and `{2}` stand for names and values.',
		'',
		'| code | part | message and remedy |',
		'| --- | --- | --- |',
		...Object.values(diagnostics).map(({code, category, message}) => `| ${code} | ${category} | ${message} |`),
		'',
		'## Calls',
		'',
		'The `type` of a problem document is `urn:fescuering:problem:` and the kind.',
		'',
		'| kind | status | title | remedy |',
		'| --- | --- | --- | --- |',
		...Object.entries(problemDescriptions).map(([kind, {statusCode, title, remedy}]) => `| \`${kind}\` | ${statusCode} | ${title} | ${remedy} |`),
	];
	return `${lines.join('\n')}\n`;
}
