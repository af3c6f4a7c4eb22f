/** Marks a branch that the type checker has proved unreachable. */
export function assertNever(value: never): never {
	throw new TypeError(`Unexpected value: ${JSON.stringify(value)}`);
}
