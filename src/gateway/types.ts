/** Interfaces between a gateway and its platform, and the types that its modules share. All times are milliseconds of one monotonic clock. */
import type * as http from 'node:http';
import type * as neverthrow from 'neverthrow';
import type * as configuration from '../decisions/configuration/types.ts';
import type * as workspaceKeys from '../decisions/configuration/workspace-keys.ts';
import type * as evacuations from '../decisions/registry/evacuations.ts';
import type * as registry from '../decisions/registry/types.ts';
import type * as prequalSelection from '../decisions/routing/prequal-selection.ts';
import type * as call from '../entry/call.ts';
import type * as platform from '../platform/types.ts';

/** Why a read of the platform's store failed. `expired` means that the store no longer keeps the requested records. */
export type StoreError = platform.PlatformError | {readonly kind: 'expired'; readonly message: string};

/** A value that a response states, or doesn't. */
export type Stated<Value>
	= | {readonly kind: 'absent'}
		| {readonly kind: 'stated'; readonly value: Value}
	/** The response states a value that can't be used. */
		| {readonly kind: 'invalid'; readonly text: string};

/** Records read from a stream. */
export type StorePage<StoreRecord> = {
	/** Era of the store, which rises when the store returns from an older copy. */
	readonly era: Stated<number>;
	/** Position of the next read. */
	readonly position: number;
	readonly records: readonly StoreRecord[];
	/** End of the stream when the last record was read; a read of the newest records in parts may contain records up to it. */
	readonly endPosition: number;
};

/** A published configuration, or the reason why the record can't be used. */
export type ConfigurationRecord
	= | {readonly kind: 'published'; readonly configuration: configuration.Configuration}
		| {readonly kind: 'unusable'; readonly reason: string};

/** A record that operators publish. */
export type OperatorRecord
	= | ConfigurationRecord
		| evacuations.EvacuationRecord
		| {readonly kind: 'unusable-evacuation'; readonly failureDomain: string; readonly reason: string};

/** Time limits of a read. */
export type ReadOptions = {
	/** Maximum time for which the store may hold the read open until a record arrives. */
	readonly waitMilliseconds: number;
	readonly timeoutMilliseconds: number;
};

/** A stream of the platform's store. */
export type StoreStream<StoreRecord> = {
	/** Reads the newest record of each key. */
	readNewest(timeoutMilliseconds: number): Promise<neverthrow.Result<StorePage<StoreRecord>, StoreError>>;
	/** Reads the records at and after a position. */
	read(position: number, options: ReadOptions): Promise<neverthrow.Result<StorePage<StoreRecord>, StoreError>>;
};

/** The streams of the platform's store. */
export type StoreHost = {
	/** Configurations and evacuations. */
	readonly configuration: StoreStream<OperatorRecord>;
	readonly registry: StoreStream<registry.RegistryRecord>;
};

/** Data from the headers of a caller's request. */
export type RequestMetadata = {
	/** Identifier of this attempt of the caller. */
	readonly id: string | undefined;
	/** Time for which the caller waits for the response. */
	readonly deadlineMilliseconds: number | undefined;
	/** Set if another entry passes the request on: the number of upstreams that may run it. It must not be passed on again. */
	readonly relayedExecutions: number | undefined;
};

/** What an upstream's response states about the requests that the upstream accepts. */
export type StatedAcceptance = {
	/** Requests per second that the upstream accepts from all entries together. */
	readonly requestsPerSecond: Stated<number>;
	/** The upstream is about to stop. */
	readonly leaving: Stated<true>;
	/** Time for which the upstream accepts no requests from this entry, if it rejects one, in milliseconds. */
	readonly retryAfterMilliseconds: Stated<number>;
	/** Time for which the upstream stays cold, in milliseconds. */
	readonly coldMilliseconds: Stated<number>;
};

/** Data from the headers of an upstream's response. */
export type ResponseMetadata = {
	/** Identifier of the request to which the upstream responds. */
	readonly requestId: string | undefined;
	/** Whether the response carries the upstream's signature. */
	readonly isSigned: boolean;
	/** Whether the upstream reports that it did not run the request. */
	readonly isNotRun: boolean;
	/** Identifier of the upstream. */
	readonly upstreamId: string | undefined;
	readonly load: Omit<prequalSelection.LoadReading, 'readAt'> | undefined;
	readonly acceptance: StatedAcceptance;
};

export type Credentials = workspaceKeys.Credentials;

/** Reads and creates the platform's headers in messages with callers and upstreams. */
export type HeaderHost = {
	readRequest(headers: http.IncomingHttpHeaders): RequestMetadata;
	readResponse(headers: http.IncomingHttpHeaders): ResponseMetadata;
	/** Reads the key of the calling workspace. */
	readCredentials(request: http.IncomingMessage): Credentials;
	/** Whether a header tells who calls, so that only the entry may set it; names are in lower case. */
	isCredentialHeader(name: string): boolean;
	/** Creates the headers that tell a caller to send a key. */
	createChallengeHeaders(): call.HeaderPairs;
	/** Creates the headers with the target upstream, the remaining time and the calling workspace, as alternating names and values. */
	createUpstreamHeaders(upstreamId: string, milliseconds: number, workspace: string | undefined): readonly string[];
	/** Creates the headers of a request that is passed on to another entry, which may let so many upstreams run it, as alternating names and values. */
	createRelayHeaders(milliseconds: number, maximumExecutions: number): readonly string[];
	/** Creates the headers that tell another entry which request this entry's own response belongs to, and whether it has surely not run. */
	createRelayedRefusalHeaders(id: string | undefined, isNotRun: boolean): call.HeaderPairs;
	/** Whether `createUpstreamHeaders` replaces a header of the caller's request; names are in lower case. */
	isReplacedHeader(name: string): boolean;
	/** Whether a header identifies a request to its upstream; names are in lower case. */
	isIdentityHeader(name: string): boolean;
	/** Creates the headers that tell a caller after which time to retry. */
	createRetryHeaders(milliseconds: number): call.HeaderPairs;
};

/** A request that the gateway processes. */
export type GatewayRequest = {
	readonly id: string;
	readonly route: configuration.Route;
	readonly service: string;
	/** Workspace that calls; undefined if the configuration has none, or the route needs none. */
	readonly workspace: configuration.Workspace | undefined;
	/** Whether another entry passed the request on. */
	readonly isRelayed: boolean;
	/** Version of the configuration that the route comes from. */
	readonly configurationVersion: number;
	readonly method: string;
	readonly path: string;
	/** Headers to forward. */
	readonly headers: call.HeaderPairs;
	readonly body: call.CallBody;
	readonly receivedAt: number;
	/** Deadline: the earlier of the caller's deadline and the timeout of the route. */
	readonly deadlineAt: number;
};

/** A response to a caller. */
export type GatewayResponse = {
	readonly statusCode: number;
	readonly headers: call.HeaderPairs;
	readonly body: Uint8Array;
	/** Whether the response delimits its own end; otherwise its end is the close of the connection. */
	readonly hasOwnEnd: boolean;
	/** Whether the entry itself made the response; otherwise it is an upstream's. */
	readonly isOwn: boolean;
};
