/** Client and service by which an entry reports the requests of workspaces to the entry that keeps the ledger. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as neverthrow from 'neverthrow';
import type * as allowanceLedger from '../decisions/admission/allowance-ledger.ts';
import * as generated from '../generated/allowances_pb.ts';
import type * as peerServer from './peer-server.ts';
import * as peerTransports from './peer-transports.ts';

/** Report of one entry. */
export type UsageReport = {readonly entry: string; readonly usages: readonly allowanceLedger.Usage[]};

/** The entry with the ledger didn't answer, or its answer is invalid. */
export type AllowanceError = {readonly kind: 'no-answer'; readonly message: string};

export type AllowanceClient = {
	report(address: string, report: UsageReport): neverthrow.ResultAsync<readonly allowanceLedger.Grant[], AllowanceError>;
	close(): void;
};

/** Maximum time for an answer; a busy entry needs some tens of milliseconds. */
const answerTimeoutMilliseconds = 300;

/** Creates a client with its own connections. */
export function createAllowanceClient(): AllowanceClient {
	const transports = peerTransports.createPeerTransports();

	async function sendReport(address: string, {entry, usages}: UsageReport): Promise<readonly allowanceLedger.Grant[]> {
		const client = connect.createClient(generated.AllowanceService, transports.get(address));
		const {grants} = await client.reportUsage({entry, usages: usages.map(usage => ({...usage}))}, {timeoutMs: answerTimeoutMilliseconds});
		return grants.map(({workspace, admittedShare}) => ({workspace, admittedShare: Math.min(1, Math.max(0, admittedShare))}));
	}

	return {
		report: (address, report) => neverthrow.ResultAsync.fromPromise(sendReport(address, report), error => {
			transports.discard(address);
			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		}),
		close() {
			transports.close();
		},
	};
}

/** Creates the routes of the allowance service on the peer port. */
export function createAllowanceRoutes(host: {handleReport(report: UsageReport): readonly allowanceLedger.Grant[]}): peerServer.PeerRoutes {
	return router => {
		router.service(generated.AllowanceService, {
			reportUsage({entry, usages}) {
				const grants = host.handleReport({entry, usages});
				return protobuf.create(generated.AllowanceGrantsSchema, {grants: grants.map(grant => protobuf.create(generated.AllowanceGrantSchema, grant))});
			},
		});
	};
}
