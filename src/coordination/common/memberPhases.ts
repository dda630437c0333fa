/**
 * Helpers for the phases of a gang's members.
 */
import * as jobTypes from './jobTypes.js';

const { MemberPhase } = jobTypes;
type MemberPhase = jobTypes.MemberPhase;

/**
 * @param members - phases of a gang
 * @param index - index of a member
 * @param phase - its new phase
 * @returns the phases with that member's phase replaced
 */
export const withMember = (
  members: readonly MemberPhase[],
  index: number,
  phase: MemberPhase,
): readonly MemberPhase[] => members.map((it, at) => (at === index ? phase : it));

/**
 * @param phase - phase of a member
 * @returns whether the member may hold accelerators
 */
export const holds = (phase: MemberPhase): boolean =>
  phase !== MemberPhase.gone && phase !== MemberPhase.done;

/**
 * @param members - phases of a gang
 * @param isWanted - selects phases
 * @returns the members in a selected phase
 */
export const indexesOf = (
  members: readonly MemberPhase[],
  isWanted: (phase: MemberPhase) => boolean,
): number[] => members.flatMap((phase, index) => (isWanted(phase) ? [index] : []));
