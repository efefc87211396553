/** Defect planted in the compiled code: `find` is replaced by `replace` in `file`. */
export interface Defect {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}
