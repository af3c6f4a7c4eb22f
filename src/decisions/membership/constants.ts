/** Timeouts and bounds of membership. docs/MEMBERSHIP.md gives the reasons. */

/** Silence after which an instance is suspected. */
export const suspectAfterMilliseconds = 10_000;
/** Silence after which an instance that the instance list doesn't call live is gone. */
export const removeAfterMilliseconds = 20_000;
/** Silence after which a leaving instance is gone. */
export const endAfterMilliseconds = 5000;
/** Time for which a gone instance is remembered, so that a late mention doesn't bring it back. */
export const forgetAfterMilliseconds = 600_000;
/** A pause of this entry longer than this isn't counted as silence of the others. */
export const longestStepMilliseconds = 2000;

/** A report contradicts a drain record only when it is younger than the record by this much. */
export const drainHoldMilliseconds = 1000;
/** A drain without fresh evidence counts as ended after this time. */
export const drainExpiryMilliseconds = 300_000;
/** A drain that is still seen is recorded again after this time. */
export const drainRenewalMilliseconds = 60_000;

/** Records of members in one digest, that of the sender included; without news there is just the sender's. */
export const membersPerDigest = 12;
/** Heartbeats in one digest. */
export const heartbeatsPerDigest = 48;
/** Wanted incarnations in one digest. */
export const wantedPerDigest = 8;
/** Drain records in one digest. */
export const drainsPerDigest = 8;
/** Reports in one digest. */
export const reportsPerDigest = 8;
/** Records of members in the answer to a joining entry. */
export const membersPerJoin = 512;
/** Exchanges in which an entry asks for all members after its start. */
export const joiningExchangeCount = 4;
/** A changed record goes first into this many digests for each doubling of the number of members. */
export const mentionsPerDoubling = 3;

/** Entries that one entry exchanges digests with. */
export const partnerCount = 6;
/** Time after which one partner is exchanged for another. */
export const partnerRotationMilliseconds = 10_000;
/** Time between two exchanges that an entry starts. */
export const exchangeIntervalMilliseconds = 500;
/** Shortest time between two rounds of urgent exchanges. */
export const urgentIntervalMilliseconds = 200;
/** Partners in one round of urgent exchanges. */
export const urgentPartnerCount = 3;
/** Rounds of urgent exchanges after each change. */
export const urgentRoundCount = 2;
