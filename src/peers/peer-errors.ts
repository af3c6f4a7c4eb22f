/** Classifies uncaught errors of connections to other entries. */

/**
Whether an uncaught error comes from an HTTP/2 session to another entry, and may therefore be ignored.

When connect-node replaces a session that was just destroyed, it removes its listeners from that session, whose error
then becomes an uncaught exception (`Http2SessionManager`, versions 2.1). The calls on the session have already failed,
so the process can safely continue.
*/
export function isPeerSessionError(error: unknown): boolean {
	if (!(error instanceof Error)) {
		return false;
	}

	const code = 'code' in error ? String(error.code) : '';
	return error.name === 'ConnectError' || code.startsWith('ERR_HTTP2');
}
