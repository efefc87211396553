/** One planted defect: a text of the built code and what stands there instead. */
export interface Defect {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}
