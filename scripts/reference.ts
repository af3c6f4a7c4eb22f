/** Generates the reference pages from the code: the settings of an entry and the tables of errors. */
import * as z from 'zod';
import {diagnostics} from '../src/decisions/diagnostics.ts';
import {problemDescriptions} from '../src/entry/problem.ts';
import {entrySettingsSchema} from '../src/entry/settings.ts';

/** Creates the JSON Schema of the entry settings. */
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

/** Limits of a gateway that follow from its settings; they have no keys of their own. */
const gatewayLimits = [
	'',
	'## Limits of the gateway',
	'',
	'A gateway derives these limits from the memory and the descriptors of its instance and from the configuration in force. No caller that stays within the limits of the configuration meets them in calm: whatever has stopped moving gives way first.',
	'',
	'| limit | value | what happens beyond it | why no caller inside the limits meets it |',
	'| --- | --- | --- | --- |',
	'| memory for connections, requests and responses together | a fifth of the memory of the instance; 202 MB if it is not stated | what holds most and has not moved for a second gives way, else the largest: a request that was not sent gets 503 and may be sent again, a connection is closed | alone, a body holds 1 MiB at most, a streamed one 5 MiB |',
	'| memory of requests that are complete | half of that; four fifths of it for those of more than 64 KiB | 503, not run | the same |',
	'| connections of a port | of the descriptors less 200: callers 0.35, directory 0.1, other entries 0.3, readiness 0.02, metrics 0.02 | the connection that holds most and moves least is closed | callers use a few of many instances |',
	'| time for a head, from its first byte | the header timeout of the configuration, checked once a second | 408, and nothing that follows on the connection is handled | the configuration allows no longer |',
	'| time without any byte on a new connection | the idle timeout of the configuration | the connection is closed without a status | the same |',
	'| time to receive a body | until the deadline of the request or the time limit of its route | 408, not run | the request could not be served any more |',
	'| pause within a body | the idle timeout of the configuration | 408, not run | the configuration allows no longer pause between two requests |',
	'| bodies in chunks of less than 64 bytes on average, after 4,096 chunks | one in any second | 503, not run | one alone is always received |',
	'| requests on one connection that are not answered | 256 | 503 behind the answers of the others, then the connection closes | callers send a few ahead |',
	'| requests of one connection that run at the same time | 8 | those behind wait until one has ended, at most for a quarter of their time | their responses go out in order |',
	'| message of another entry | 128 KiB | the message is rejected | other entries send less than half |',
];

/** Creates the Markdown page that lists each settings key with its values, default and meaning. */
export function createSettingsPage(): string {
	const lines = [
		'# Settings of an entry',
		'',
		'`fescuering-entry --settings file.json` reads one JSON file; unknown keys are refused. `entry-settings.schema.json` is its JSON Schema. Units are in the names of the keys. This page is written by `npm run reference`.',
		'',
		'| key | values | default | meaning |',
		'| --- | --- | --- | --- |',
		...listSettings(nodeSchema.parse(createSettingsSchema()), ''),
		...gatewayLimits,
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

/** Creates the Markdown page that lists the errors of the programs and the problem documents of calls. */
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
