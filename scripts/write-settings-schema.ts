/** Writes the JSON Schema of the settings to docs/. */
import * as fs from 'node:fs';
import * as z from 'zod';
import {entrySettingsSchema} from '../src/entry/settings.ts';

fs.writeFileSync('docs/entry-settings.schema.json', `${JSON.stringify(z.toJSONSchema(entrySettingsSchema, {io: 'input'}), undefined, '\t')}\n`);
