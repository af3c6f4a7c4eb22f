/** Errors of connections to other entries that reach the process. */

/**
Whether an error that nobody caught comes from a session of HTTP/2 to another entry.

connect-node takes its listeners off a session that was just destroyed, when it opens another one in its place; the
session's error then reaches the process (`Http2SessionManager`, versions 2.1). The calls on the session have failed
already, so nothing is lost by going on.
*/
export function isPeerSessionError(error: unknown): boolean {
	if (!(error instanceof Error)) {
		return false;
	}

	const code = 'code' in error ? String(error.code) : '';
	return error.name === 'ConnectError' || code.startsWith('ERR_HTTP2');
}
