/** Decides which status codes of an upstream are part of a response (RFC 9110, section 15). */

/** Kind of a status code. */
export type StatusKind
	/** Precedes the final response. */
	= | 'interim'
		| 'final'
	/** Not a status, or one that ends HTTP on the connection; nothing that comes with it states anything about the request. */
		| 'invalid';

const lowestStatus = 100;
/** Entries never ask for another protocol. */
const switchingProtocolsStatus = 101;
const lowestFinalStatus = 200;
const highestStatus = 599;

/** Classifies a status code. */
export function classifyStatus(statusCode: number): StatusKind {
	if (!Number.isInteger(statusCode) || statusCode < lowestStatus || statusCode > highestStatus || statusCode === switchingProtocolsStatus) {
		return 'invalid';
	}

	return statusCode < lowestFinalStatus ? 'interim' : 'final';
}
