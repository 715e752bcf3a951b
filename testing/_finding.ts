/** What a checker found, at a time in ms. */
export interface Finding {
  readonly at: number;
  readonly detail: string;
}
