/** Writes the reference pages and the JSON Schema of the entry settings to docs/. */
import * as fs from 'node:fs';
import {createErrorsPage, createSettingsPage, createSettingsSchema} from './reference.ts';

fs.writeFileSync('docs/entry-settings.schema.json', `${JSON.stringify(createSettingsSchema(), undefined, '\t')}\n`);
fs.writeFileSync('docs/SETTINGS.md', createSettingsPage());
fs.writeFileSync('docs/ERRORS.md', createErrorsPage());
