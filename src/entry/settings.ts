/** Settings of an entry. Its types and its committed JSON Schema are derived from one zod schema. */
import * as neverthrow from 'neverthrow';
import * as z from 'zod';
import {createDiagnostic, diagnostics, type Diagnostic} from '../decisions/diagnostics.ts';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'use lower-case letters, digits and hyphens');
const portSchema = z.int().min(0).max(65_535);
const baseUrlSchema = z.url({protocol: /^https?$/v});

const policySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('product')}),
	z.strictObject({kind: z.literal('round-robin')}),
	z.strictObject({kind: z.literal('random')}),
	z.strictObject({kind: z.literal('least-in-flight')}),
	z.strictObject({kind: z.literal('power-of-two-choices')}),
]);

const listenSchema = z.strictObject({
	host: z.string().default('127.0.0.1').describe('Address to listen on'),
	callerPort: portSchema.describe('Port for callers and operators; 0 takes a free one'),
	peerPort: portSchema.describe('Port for other entries; 0 takes a free one'),
	announcedHost: z.string().optional().describe('Host given to callers and other entries where it differs from `host`'),
	announcedPeerPort: portSchema.optional().describe('Peer port given to other entries where it differs from `peerPort`'),
});

const platformSchema = z.strictObject({
	logUrl: baseUrlSchema.describe('Base address of the log service'),
	instanceListUrl: baseUrlSchema.describe('Base address of the instance list'),
	timeoutMilliseconds: z.int().min(10).max(60_000).default(1000).describe('Time allowed for one request to the platform'),
	logRetentionMilliseconds: z.int().min(1000).max(31_536_000_000).default(86_400_000).describe('Time for which the log service keeps records'),
	instanceListPollMilliseconds: z.int().min(50).max(60_000).default(1000).describe('Time between two reads of the instance list'),
});

const limitsSchema = z.strictObject({
	headerBytes: z.int().min(1024).max(1_048_576).default(16_384).describe('Largest header section of a request'),
	headersTimeoutMilliseconds: z.int().min(100).max(600_000).default(5000).describe('Time allowed to receive the headers of a request'),
	requestTimeoutMilliseconds: z.int().min(100).max(3_600_000).default(60_000).describe('Time allowed to receive a whole request'),
	bodyBytes: z.int().min(0).max(1_073_741_824).default(16_777_216).describe('Largest body of a request'),
	bufferedBodyBytes: z.int().min(0).max(16_777_216).default(65_536).describe('Bodies up to this size are held, so that the call may be sent again'),
	heldBodyBytes: z.int().min(65_536).max(1_073_741_824).default(33_554_432).describe('Bodies that are held at the same time, over all calls'),
	connections: z.int().min(1).max(1_000_000).default(10_000).describe('Connections from callers'),
	keepAliveMilliseconds: z.int().min(100).max(600_000).default(60_000).describe('Time after which an idle connection of a caller is closed'),
});

const upstreamConnectionsSchema = z.strictObject({
	connectTimeoutMilliseconds: z.int().min(1).max(60_000).default(500).describe('Time allowed to open a connection to an upstream'),
	idleMilliseconds: z.int().min(100).max(600_000).default(30_000).describe('Time after which an idle connection is closed'),
	trustMilliseconds: z.int().min(10).max(600_000).default(2000).describe('Non-idempotent calls use only new connections and those that answered within this time'),
	spares: z.int().min(0).max(100).default(1).describe('Idle connections that are opened ahead of need, for each upstream'),
});

const leavingSchema = z.strictObject({
	noticeMilliseconds: z.int().min(0).max(600_000).default(3000).describe('Time in which a leaving entry still takes calls, while callers learn of it'),
	graceMilliseconds: z.int().min(0).max(3_600_000).default(60_000).describe('Longest wait for calls in flight after the notice'),
});

const keysSchema = z.strictObject({
	lifetimeMilliseconds: z.int().min(10_000).max(86_400_000).default(600_000).describe('Time for which an idempotency key is remembered; at most half of `logRetentionMilliseconds`'),
	tableBytes: z.int().min(65_536).max(1_073_741_824).default(8_388_608).describe('Bound on the memory of keys and of the answers held for repeats'),
	heldAnswerBytes: z.int().min(0).max(4_194_304).default(65_536).describe('Answers up to this size are held for repeats'),
	maximumClaims: z.int().min(100).max(10_000_000).default(100_000).describe('Caller-made keys that are remembered, over all entries'),
	fleetAppendsPerSecond: z.number().min(1).max(10_000).default(200).describe('Claim records that all entries together append in a second'),
});

const observabilitySchema = z.strictObject({
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info').describe('Least severe events that are logged'),
	otlpUrl: baseUrlSchema.optional().describe('Where traces are exported by OTLP over HTTP; absent means no export'),
	traceSampleShare: z.number().min(0).max(1).default(0.01).describe('Share of the traces begun here that are recorded'),
	reviewIntervalMilliseconds: z.int().min(1000).max(600_000).default(60_000).describe('Time between two records of the review stream'),
});

/** Schema of the settings file. The descriptions appear in the committed JSON Schema. */
export const entrySettingsSchema = z.strictObject({
	name: nameSchema.describe('Name of this instance, unique among the entries'),
	deployment: nameSchema.default('default').describe('Name of the deployment; entries exchange their members only within one'),
	region: nameSchema.default('local').describe('Region of this instance'),
	failureDomain: nameSchema.describe('Failure domain of this instance'),
	failureDomains: z.array(nameSchema).min(1).describe('All failure domains of the deployment'),
	listen: listenSchema,
	platform: platformSchema,
	policy: policySchema.default({kind: 'product'}).describe('How calls are spread over the upstreams'),
	limits: limitsSchema.prefault({}),
	upstreamConnections: upstreamConnectionsSchema.prefault({}),
	leaving: leavingSchema.prefault({}),
	keys: keysSchema.prefault({}),
	observability: observabilitySchema.prefault({}),
});

/** Settings with all defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Checks the constraints that the schema can't express. */
export function checkEntrySettings(settings: EntrySettings): neverthrow.Result<EntrySettings, Diagnostic> {
	if (!settings.failureDomains.includes(settings.failureDomain)) {
		const listedDomains = settings.failureDomains.join(', ');
		return neverthrow.err(createDiagnostic(diagnostics.settingsUnlistedFailureDomain, settings.failureDomain, listedDomains));
	}

	return neverthrow.ok(settings);
}
