/** Logs and measures the requests that have ended. */
import type * as gatewayMetrics from '../observability/gateway-metrics.ts';
import type * as loggerModule from '../observability/logger.ts';
import type * as callReport from './call-report.ts';

/** Dependencies of a call recorder. */
export type CallRecorderHost = {
	readonly logger: loggerModule.Logger;
	readonly metrics: gatewayMetrics.GatewayMetrics;
	/** Age of what this entry knows of the platform, in milliseconds. */
	getKnowledgeAge(): number;
};

/** Creates a function that records the end of a request. */
export function createCallRecorder({logger, metrics, getKnowledgeAge}: CallRecorderHost): (report: callReport.CallReport) => void {
	return ({request, statusCode, outcome, reason, attempts, heldMilliseconds, milliseconds, checks}) => {
		const fields = {
			id: request.id,
			route: request.route.name,
			workspace: request.workspace?.name,
			kind: request.route.kind,
			service: request.service,
			configuration: request.configurationVersion,
			knowledgeAge: getKnowledgeAge(),
			outcome,
			status: statusCode,
			reason,
			milliseconds,
			held: heldMilliseconds,
			checks,
			isRelayed: request.isRelayed || undefined,
			attempts: attempts.map(({upstream, end, expectedMilliseconds, milliseconds: attemptMilliseconds}) => `${upstream}/${end}/${expectedMilliseconds}/${attemptMilliseconds}`).join(','),
		};
		if (outcome === 'answered') {
			logger.info('request-ended', fields);
		} else {
			logger.warn('request-ended', fields);
		}

		if (request.workspace) {
			metrics.recordWorkspaceRequest(request.workspace.name, outcome);
		}

		metrics.recordRequest(request.route.name, outcome, reason, milliseconds, heldMilliseconds);
		for (const {upstream, end} of attempts) {
			metrics.recordAttempt(upstream, end);
		}
	};
}
