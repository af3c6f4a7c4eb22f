/** Timeouts and limits of the membership protocol. docs/MEMBERSHIP.md explains them. */

/** Time without a heartbeat after which an instance is suspected. */
export const suspicionTimeoutMilliseconds = 10_000;
/** Time without a heartbeat after which a suspected instance is gone if the instance list has been read and doesn't contain it as live. */
export const removalTimeoutMilliseconds = 20_000;
/** Time without a heartbeat after which a leaving instance is gone. */
export const leavingTimeoutMilliseconds = 5000;
/** Time after the last heartbeat for which the record of a gone instance is retained, so that a delayed digest doesn't add the instance again. */
export const goneRetentionMilliseconds = 600_000;
/** Time between two membership checks above which this entry counts as paused; the excess isn't counted as silence of other instances. */
export const pauseThresholdMilliseconds = 2000;

/** Hold-down time of a drain record: a load report overrides the record only if it is at least this much newer. */
export const drainHoldDownMilliseconds = 1000;
/** Time after which a drain record expires unless a new report confirms it. */
export const drainExpiryMilliseconds = 300_000;
/** Age above which a drain record is renewed when the upstream reports that it still drains. */
export const drainRenewalMilliseconds = 60_000;

/** Maximum number of member records in one digest, the sender's included. If nothing has changed, only the sender's is included. */
export const membersPerDigest = 12;
/** Maximum number of heartbeats in one digest. */
export const heartbeatsPerDigest = 48;
/** Maximum number of incarnations whose records one digest requests. */
export const wantedPerDigest = 8;
/** Maximum number of drain records in one digest. */
export const drainsPerDigest = 8;
/** Maximum number of load reports in one digest. */
export const reportsPerDigest = 8;
/** Maximum number of member records in the answer to a joining entry. */
export const membersPerJoin = 512;
/** Number of exchanges after its start in which an entry requests all members. */
export const joiningExchangeCount = 4;
/** Number of digests, for each doubling of the number of members, in which a changed record takes precedence. */
export const mentionsPerDoubling = 3;

/** Maximum number of entries with which one entry exchanges digests. */
export const partnerCount = 6;
/** Time after which one partner is replaced by another. */
export const partnerRotationMilliseconds = 10_000;
/** Time between two exchanges that an entry initiates. */
export const exchangeIntervalMilliseconds = 500;
/** Minimum time between two rounds of urgent exchanges. */
export const urgentIntervalMilliseconds = 200;
/** Maximum number of partners in one round of urgent exchanges. */
export const urgentPartnerCount = 3;
/** Number of rounds of urgent exchanges after each change. */
export const urgentRoundCount = 2;
