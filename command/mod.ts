/** Command-line program for operators. */
export { main } from './main.ts';
