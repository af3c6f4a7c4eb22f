/** Checks the relative links between the documentation pages. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as vitest from 'vitest';

const {describe, expect, test} = vitest;

const documents = ['README.md', ...fs.readdirSync('docs', {recursive: true}).map(String).filter(file => file.endsWith('.md')).map(file => path.join('docs', file))];

function readDocument(file: string): string {
	return fs.readFileSync(file, 'utf8');
}

/** Returns the anchor that code hosts generate for a heading. */
function createAnchor(heading: string): string {
	return heading.toLowerCase().replaceAll(/[^\p{L}\p{N}\- ]/gv, '').trim().replaceAll(' ', '-');
}

function listAnchors(file: string): string[] {
	return [...readDocument(file).matchAll(/^#+ (?<heading>.+)$/gmv)].map(match => createAnchor(match.groups!.heading!));
}

describe('links', () => {
	test.each(documents)('all relative links in %s refer to existing files and headings', file => {
		const text = readDocument(file).replaceAll(/^```.*?^```/gmsv, '');
		for (const [, target] of text.matchAll(/\]\((?<target>[^\)\s]+)\)/gv)) {
			if (/^[a-z]+:/v.test(target!)) {
				continue;
			}

			const [name = '', anchor] = target!.split('#');
			const linked = name === '' ? file : path.join(path.dirname(file), name);
			expect(fs.existsSync(linked), `${file} links to ${target}`).toBe(true);
			if (anchor !== undefined) {
				expect(listAnchors(linked), `${file} links to ${target}`).toContain(anchor);
			}
		}
	});
});
