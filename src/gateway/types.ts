/** The world outside of a gateway, and the messages between its parts. All times are milliseconds of one monotonic clock. */
import type * as http from 'node:http';
import type * as neverthrow from 'neverthrow';
import type * as configuration from '../decisions/configuration/types.ts';
import type * as registry from '../decisions/registry/types.ts';
import type * as freshLoad from '../decisions/routing/fresh-load.ts';
import type * as call from '../entry/call.ts';
import type * as platform from '../platform/types.ts';

/** Why a read of the platform's store failed. `expired` means that the records asked for are no longer kept. */
export type StoreError = platform.PlatformError | {readonly kind: 'expired'; readonly message: string};

/** Records of a stream up to a position. */
export type StorePage<StoreRecord> = {
	/** Position to read from next. */
	readonly position: number;
	readonly records: readonly StoreRecord[];
};

/** A published configuration, or why a record holds none. */
export type ConfigurationRecord
	= | {readonly kind: 'published'; readonly configuration: configuration.Configuration}
		| {readonly kind: 'unusable'; readonly reason: string};

export type ReadOptions = {
	/** Longest wait for a record where there is none yet. */
	readonly waitMilliseconds: number;
	readonly timeoutMilliseconds: number;
};

/** A stream of the platform's store. */
export type StoreStream<StoreRecord> = {
	/** Reads the newest record of each key. */
	readNewest(timeoutMilliseconds: number): Promise<neverthrow.Result<StorePage<StoreRecord>, StoreError>>;
	/** Reads the records from a position on. */
	read(position: number, options: ReadOptions): Promise<neverthrow.Result<StorePage<StoreRecord>, StoreError>>;
};

export type StoreHost = {
	readonly configuration: StoreStream<ConfigurationRecord>;
	readonly registry: StoreStream<registry.RegistryRecord>;
};

/** What a caller says in the headers of its request. */
export type RequestFacts = {
	/** Identity of this attempt of the caller. */
	readonly id: string | undefined;
	/** Time that the caller waits. */
	readonly deadlineMilliseconds: number | undefined;
};

/** What an upstream says in the headers of its answer. */
export type AnswerFacts = {
	/** Identity of the request that is answered. */
	readonly requestId: string | undefined;
	/** Whether the upstream signed the answer as its own. */
	readonly isSigned: boolean;
	/** Whether the upstream states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Identity of the upstream. */
	readonly upstreamId: string | undefined;
	readonly load: Omit<freshLoad.LoadReading, 'readAt'> | undefined;
};

/** Reads and writes the headers that callers and upstreams use. */
export type HeaderHost = {
	readRequest(headers: http.IncomingHttpHeaders): RequestFacts;
	readAnswer(headers: http.IncomingHttpHeaders): AnswerFacts;
	/** Creates the headers that name the upstream and the time left, as alternating names and values. */
	createUpstreamHeaders(upstreamId: string, milliseconds: number): readonly string[];
	/** Whether a header of a request is replaced by `createUpstreamHeaders`; names are in lower case. */
	isOwnHeader(name: string): boolean;
	/** Creates the headers that tell a caller when to come back. */
	createRetryHeaders(milliseconds: number): call.HeaderPairs;
};

/** A request on its way through the gateway. */
export type GatewayRequest = {
	readonly id: string;
	readonly route: configuration.Route;
	readonly service: string;
	/** Version of the configuration that decided the route. */
	readonly configurationVersion: number;
	readonly method: string;
	readonly path: string;
	/** Headers to pass on. */
	readonly headers: call.HeaderPairs;
	readonly body: call.CallBody;
	readonly receivedAt: number;
	/** Time at which the caller or the operator no longer waits. */
	readonly limitAt: number;
};

/** An answer to a caller. */
export type GatewayAnswer = {
	readonly statusCode: number;
	readonly headers: call.HeaderPairs;
	readonly body: Uint8Array;
	/** Whether the answer says where it ends; one that can't know ends with its connection. */
	readonly hasOwnEnd: boolean;
};
