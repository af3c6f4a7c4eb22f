/** Reads a settings file and checks it against its schema; unknown keys are refused with the nearest known key. */
import * as fs from 'node:fs';
import * as neverthrow from 'neverthrow';
import * as z from 'zod';
import {createDiagnostic, diagnostics, type Diagnostic} from '../decisions/diagnostics.ts';
import {findNearest} from '../decisions/nearest.ts';

/** Reads, parses and checks a settings file. */
export function readSettings<Settings>(path: string, schema: z.ZodType<Settings>): neverthrow.Result<Settings, Diagnostic> {
	return readText(path)
		.andThen(text => parseJson(path, text))
		.andThen(value => checkSettings(value, schema));
}

/** Checks settings that are already parsed. */
export function checkSettings<Settings>(value: unknown, schema: z.ZodType<Settings>): neverthrow.Result<Settings, Diagnostic> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return neverthrow.ok(parsed.data);
	}

	const {issues} = parsed.error;
	const issue = issues.find(candidate => candidate.code === 'unrecognized_keys') ?? issues[0]!;
	const path = issue.path.map(String);
	if (issue.code !== 'unrecognized_keys') {
		return neverthrow.err(createDiagnostic(diagnostics.settingsInvalidValue, path.join('.') || '(root)', issue.message));
	}

	const unknownKey = issue.keys[0]!;
	const nearest = findNearest(unknownKey, getKnownKeys(schema, path));
	const full = (key: string) => [...path, key].join('.');
	return neverthrow.err(createDiagnostic(diagnostics.settingsUnknownKey, full(unknownKey), full(nearest ?? '')));
}

function readText(path: string): neverthrow.Result<string, Diagnostic> {
	try {
		return neverthrow.ok(fs.readFileSync(path, 'utf8'));
	} catch (error) {
		return neverthrow.err(createDiagnostic(diagnostics.settingsFileUnreadable, path, toReason(error)));
	}
}

function parseJson(path: string, text: string): neverthrow.Result<unknown, Diagnostic> {
	try {
		return neverthrow.ok(JSON.parse(text));
	} catch (error) {
		return neverthrow.err(createDiagnostic(diagnostics.settingsNotJson, path, toReason(error)));
	}
}

function toReason(error: unknown): string {
	if (error instanceof Error) {
		return 'code' in error ? String(error.code) : error.message;
	}

	return String(error);
}

/** The parts of a JSON Schema that hold keys. */
const schemaNodeSchema = z.object({
	get properties() {
		return z.record(z.string(), schemaNodeSchema).optional();
	},
	get items() {
		return schemaNodeSchema.optional();
	},
	get anyOf() {
		return z.array(schemaNodeSchema).optional();
	},
	get oneOf() {
		return z.array(schemaNodeSchema).optional();
	},
});

type SchemaNode = z.infer<typeof schemaNodeSchema>;

function getKnownKeys(schema: z.ZodType, path: readonly string[]): string[] {
	let nodes = [schemaNodeSchema.parse(z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}))];
	for (const step of path) {
		nodes = nodes
			.flatMap(node => getAlternatives(node))
			.flatMap(node => node.properties?.[step] ?? node.items ?? []);
	}

	return nodes
		.flatMap(node => getAlternatives(node))
		.flatMap(node => Object.keys(node.properties ?? {}));
}

function getAlternatives(node: SchemaNode): SchemaNode[] {
	return [node, ...(node.anyOf ?? []), ...(node.oneOf ?? [])];
}
