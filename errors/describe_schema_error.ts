/** The error of a failed schema validation, in the shape of a zod error. */
export interface SchemaError {
  readonly issues: readonly {
    readonly path: readonly PropertyKey[];
    readonly message: string;
  }[];
}

/** An invalid field and the reason why it is invalid. */
export interface FieldIssue {
  /** Path of the field; `(root)` for the whole value. */
  readonly field: string;
  readonly reason: string;
}

/**
 * Returns the first issue of a schema error as a field and a reason.
 *
 * @param error The schema error.
 * @returns The invalid field and the reason.
 *
 * @example
 * const parsed = schema.safeParse(json);
 * if (!parsed.success) throw fail(describeSchemaError(parsed.error));
 */
export const describeSchemaError = ({ issues: [issue] }: SchemaError): FieldIssue => ({
  field: issue && issue.path.length > 0 ? issue.path.join('.') : '(root)',
  reason: issue?.message ?? 'is invalid',
});
