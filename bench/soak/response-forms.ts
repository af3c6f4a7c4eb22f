/** Forms of the answers that callers ask for in the path of a request, so that one upstream answers each of them differently. */
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';

const processingMilliseconds = 20;
const formPattern = /\/ahead\/(?<milliseconds>\d+)\/(?<bytes>\d+)\/(?<end>length|chunks|connection)\//v;

/** Creates the part of a path that asks for a form. */
export function createFormPath({milliseconds, bytes, end}: platformUpstream.ChosenResponse): string {
	return `ahead/${milliseconds}/${bytes}/${end}/`;
}

/** Reads the form of the answer from the path of a request; the default if the path asks for none. */
export function readForm(path: string): platformUpstream.ChosenResponse {
	const groups = formPattern.exec(path)?.groups;
	return groups
		? {milliseconds: Number(groups.milliseconds), bytes: Number(groups.bytes), end: groups.end === 'length' || groups.end === 'chunks' ? groups.end : 'connection'}
		: {milliseconds: processingMilliseconds, bytes: 0, end: 'chunks'};
}
