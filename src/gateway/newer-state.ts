/** Finds what is newer in the state of this entry than what a follower has. */
import type * as evacuationsModule from '../decisions/registry/evacuations.ts';
import * as positions from '../decisions/registry/positions.ts';
import type * as codec from '../peers/sharing-codec.ts';
import type * as platformStates from './platform-state.ts';

type Follower = Pick<codec.SharingRequest, 'evacuationsPosition' | 'lacksEarlierEvacuations'>;

/** Gets the set of evacuated failure domains if it is newer than the follower's, or completes it. */
export function getEvacuations({evacuations}: Pick<platformStates.PlatformState, 'evacuations'>, follower: Follower): codec.SharingUpdate['evacuations'] {
	const set = evacuations.getSet();
	return positions.isLater({era: set.era, offset: set.version}, resolveEra(follower.evacuationsPosition, set.era)) || completesEvacuations(set, follower) ? set : undefined;
}

/** Whether the set of evacuated failure domains has changed since the follower's. */
export function haveEvacuationsChanged({evacuations}: Pick<platformStates.PlatformState, 'evacuations'>, follower: Follower): boolean {
	const changedPosition = evacuations.getChangedPosition();
	return positions.isLater(changedPosition, resolveEra(follower.evacuationsPosition, changedPosition.era)) || completesEvacuations(evacuations.getSet(), follower);
}

/** Whether the set contains what the follower can't know, since it remembers no earlier era of the store. */
function completesEvacuations({era, version, remembersEarlier}: evacuationsModule.EvacuationSet, {evacuationsPosition, lacksEarlierEvacuations}: Follower): boolean {
	return lacksEarlierEvacuations && remembersEarlier && !positions.isLater(resolveEra(evacuationsPosition, era), {era, offset: version});
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
