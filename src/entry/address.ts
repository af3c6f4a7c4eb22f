/** Network addresses of the form `host:port`. */

export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Splits an address at its last colon. */
export function splitAddress(address: string): Address {
	const index = address.lastIndexOf(':');
	return {host: address.slice(0, index), port: Number(address.slice(index + 1))};
}
