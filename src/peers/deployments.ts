/** Names the deployment of an entry in what it sends to others, since the address of an entry may be given to one of another deployment. */
import type * as http from 'node:http';
import type * as connect from '@connectrpc/connect';

const headerName = 'fescuering-deployment';

/** Creates an interceptor that names the deployment in each request. */
export function createNamingInterceptor(deployment: string): connect.Interceptor {
	return next => async request => {
		request.header.set(headerName, deployment);
		return next(request);
	};
}

/** Gets the deployment of a sender if it is another one; senders that name none are of the own. */
export function getForeignDeployment(headers: http.IncomingHttpHeaders, deployment: string): string | undefined {
	const name = headers[headerName];
	return name === undefined || name === deployment ? undefined : String(name);
}
