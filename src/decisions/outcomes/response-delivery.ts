/**
Decides how a response ends on the connection of its caller, and whether it closes the connection.

Load pattern: a caller sends requests ahead, and they run at the same time. A response that closes the connection takes all
requests behind it along, although they run. So only the last response of a connection may close it, unless the rest of its
own request is unread: nothing behind such a body can be read.
*/

/** What is known when the turn of a response on its connection has come. */
export type ResponseState = {
	/** Whether requests behind it on the connection were read. */
	readonly isFollowed: boolean;
	/** Whether a part of the body of its request is unread. */
	readonly isRequestUnread: boolean;
	/** Whether callers are told to use other connections. */
	readonly isLeaving: boolean;
	/** Whether the upstream delimited the response; otherwise the response ended with the upstream's connection. */
	readonly hasOwnEnd: boolean;
};

/** How the end of a response is shown: by its length, or by the end of the connection. */
export type ResponseDelivery = {readonly end: 'length' | 'connection'; readonly closesConnection: boolean};

/** Decides how a response is delivered. */
export function decideDelivery({isFollowed, isRequestUnread, isLeaving, hasOwnEnd}: ResponseState): ResponseDelivery {
	if (isRequestUnread) {
		return {end: hasOwnEnd ? 'length' : 'connection', closesConnection: true};
	}

	if (isFollowed) {
		return {end: 'length', closesConnection: false};
	}

	return hasOwnEnd ? {end: 'length', closesConnection: isLeaving} : {end: 'connection', closesConnection: true};
}
