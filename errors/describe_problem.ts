/** What a schema check found; the error of a zod schema fits. */
export interface SchemaFailure {
  readonly issues: readonly {
    readonly path: readonly PropertyKey[];
    readonly message: string;
  }[];
}

/** A field at fault and what is wrong with it. */
export interface FieldProblem {
  /** Path of the field, `(root)` for the whole value. */
  readonly field: string;
  readonly reason: string;
}

/**
 * Describes the first issue of a failed schema check.
 *
 * @param failure The failure.
 * @returns The field at fault and the reason.
 *
 * @example
 * const parsed = schema.safeParse(json);
 * if (!parsed.success) throw fail(describeProblem(parsed.error));
 */
export const describeProblem = ({ issues: [issue] }: SchemaFailure): FieldProblem => ({
  field: issue && issue.path.length > 0 ? issue.path.join('.') : '(root)',
  reason: issue?.message ?? 'is invalid',
});
