/**
 * What the experiment measures of one run.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { build as buildHistogram } from "hdr-histogram-js";
import type { Call } from "./workload.js";

/** How a call ended for its caller. */
export enum CallEnd {
    Completed = "completed",
    Refused = "refused",
}

/** Everything recorded of one call. */
export interface CallRecord {
    readonly call: Call;
    readonly firstTokenAfter: Milliseconds | undefined;
    readonly end: CallEnd;
    /** Blocks held at the attempt that answered. */
    readonly hitBlocks: number;
    /** Blocks computed at the answering attempt although an engine had computed them before. */
    readonly recomputedBlocks: number;
    /** Attempts that reached an engine's queue. */
    readonly attempts: number;
}

/** Figures of one run; a row of the table. */
export interface Figures {
    readonly calls: number;
    /** Full prompt blocks that were held, over all full prompt blocks. */
    readonly prefixHitRate: number;
    readonly firstTokenP50: Milliseconds;
    readonly firstTokenP95: Milliseconds;
    readonly firstTokenP99: Milliseconds;
    readonly recomputedTokens: number;
    /** Smallest, over accounts inside their rate, of tokens served over tokens served to it alone. */
    readonly worstShare: number;
    /** Largest p99 time to first token among accounts inside their rate. */
    readonly worstAccountP99: Milliseconds;
    readonly wrongfulRefusals: number;
    readonly refusals: number;
    /** Attempts at agents over calls. */
    readonly offeredLoad: number;
}

/** Tokens served to each account. */
export type ServedTokens = ReadonlyMap<string, number>;

/** Tokens of prompts and answers that accounts were served inside their rate. */
export function servedTokens(records: readonly CallRecord[]): ServedTokens {
    const served = new Map<string, number>();
    for (const { call, end } of records) {
        const tokens = end === CallEnd.Completed ? call.promptTokens + call.outputTokens : 0;
        served.set(call.account, (served.get(call.account) ?? 0) + tokens);
    }
    return served;
}

/** Works out the figures of a run; `alone` is what each account was served when it was alone. */
export function figuresOf(records: readonly CallRecord[], blockTokens: number, alone: ServedTokens): Figures {
    const firstTokens = records.map(firstTokenOrDeadline);
    const inside = new Set(alone.keys());
    const refused = records.filter((record) => record.end === CallEnd.Refused);
    const answered = records.filter((record) => record.firstTokenAfter !== undefined);
    return {
        calls: records.length,
        prefixHitRate: ratio(
            sum(answered, (record) => record.hitBlocks),
            sum(answered, (record) => record.call.blocks.length),
        ),
        firstTokenP50: percentile(firstTokens, 50),
        firstTokenP95: percentile(firstTokens, 95),
        firstTokenP99: percentile(firstTokens, 99),
        recomputedTokens: sum(answered, (record) => record.recomputedBlocks) * blockTokens,
        worstShare: worstShare(records, alone),
        worstAccountP99: Math.max(
            ...[...inside].map((account) =>
                percentile(
                    records.filter((record) => record.call.account === account).map(firstTokenOrDeadline),
                    99,
                )
            ),
        ),
        wrongfulRefusals: refused.filter((record) => record.call.withinRate).length,
        refusals: refused.length,
        offeredLoad: ratio(sum(records, (record) => record.attempts), records.length),
    };
}

/** A call without a first token counts as if the token had come at its deadline. */
function firstTokenOrDeadline(record: CallRecord): Milliseconds {
    return record.firstTokenAfter ?? record.call.deadline - record.call.at;
}

function worstShare(records: readonly CallRecord[], alone: ServedTokens): number {
    const served = servedTokens(records);
    const shares = [...alone].map(([account, tokens]) => ratio(served.get(account) ?? 0, tokens));
    return Math.min(...shares);
}

function percentile(samples: readonly Milliseconds[], percent: number): Milliseconds {
    const histogram = buildHistogram({ numberOfSignificantValueDigits: 3 });
    samples.forEach((sample) => histogram.recordValue(Math.round(sample)));
    return histogram.getValueAtPercentile(percent);
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
    return items.reduce((total, item) => total + valueOf(item), 0);
}

function ratio(part: number, whole: number): number {
    return whole === 0 ? 1 : part / whole;
}
