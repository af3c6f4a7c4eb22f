/** Finds what is newer in the state of this entry than what a follower has. */
import * as positions from '../decisions/registry/positions.ts';
import type * as codec from '../peers/sharing-codec.ts';
import type * as platformStates from './platform-state.ts';

/** Gets the set of evacuated failure domains if it is newer than the follower's. */
export function getEvacuations({evacuations}: platformStates.PlatformState, {evacuationsPosition}: codec.SharingRequest): codec.SharingUpdate['evacuations'] {
	const set = evacuations.getSet();
	return positions.isLater({era: set.era, offset: set.version}, resolveEra(evacuationsPosition, set.era)) ? set : undefined;
}

/** Whether the set of evacuated failure domains has changed since the follower's. */
export function haveEvacuationsChanged({evacuations}: platformStates.PlatformState, {evacuationsPosition}: codec.SharingRequest): boolean {
	const changedPosition = evacuations.getChangedPosition();
	return positions.isLater(changedPosition, resolveEra(evacuationsPosition, changedPosition.era));
}

/** Gets the active configuration if it is newer than the follower's. */
export function getConfigurationUpdate({getActiveConfiguration}: platformStates.PlatformState, {configurationVersion, configurationEra}: codec.SharingRequest): Pick<codec.SharingUpdate, 'configuration' | 'configurationEra'> {
	const active = getActiveConfiguration();
	if (!active) {
		return {configuration: undefined, configurationEra: undefined};
	}

	const {configuration, era} = active;
	const isNewer = configuration.version > configurationVersion || (configuration.version === configurationVersion && era > (configurationEra ?? era));
	return isNewer ? {configuration, configurationEra: era} : {configuration: undefined, configurationEra: undefined};
}

/** Completes the position of a follower whose version of the program states no era. */
export function resolveEra({era, offset}: codec.FollowerPosition, ownEra: number): positions.Position {
	return {era: era ?? ownEra, offset};
}
