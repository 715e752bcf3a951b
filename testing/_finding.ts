/** A violation that a checker found, with its time in ms since the start of the run. */
export interface Finding {
  readonly at: number;
  readonly detail: string;
}
