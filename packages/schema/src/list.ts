/** Lists whose invalid items are handled one by one. */
import {z} from 'zod';

/** A list that is invalid as of its first invalid item. The issues of all items could take a hundred times the memory of the list. */
export function list<Schema extends z.ZodType>(item: Schema) {
	return z.array(z.unknown()).transform((values, context): Array<z.output<Schema>> => {
		const items: Array<z.output<Schema>> = [];
		for (const [index, value] of values.entries()) {
			const {data, error} = item.safeParse(value);
			if (error !== undefined) {
				for (const {message, path} of error.issues) {
					context.addIssue({code: 'custom', message, path: [index, ...path]});
				}

				return z.NEVER;
			}

			items.push(data);
		}

		return items;
	});
}

/** A list without its invalid items; invalid as a whole if it has more than `maxLength`. */
export function validItems<Schema extends z.ZodType>(item: Schema, maxLength: number) {
	return z.array(z.unknown()).max(maxLength).transform((values): Array<z.output<Schema>> => {
		const items: Array<z.output<Schema>> = [];
		for (const value of values) {
			const {success, data} = item.safeParse(value);
			if (success) {
				items.push(data);
			}
		}

		return items;
	});
}
