/**
 * Records of the calls of one run, and the metrics computed from them.
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

/** What the simulation records of one call. */
export interface CallRecord {
    readonly call: Call;
    readonly timeToFirstToken: Milliseconds | undefined;
    readonly end: CallEnd;
    /** Prompt blocks that were cached at the endpoint that answered. */
    readonly hitBlocks: number;
    /** Prompt blocks that the answering endpoint computed although an engine had computed them before. */
    readonly recomputedBlocks: number;
    /** Attempts sent to agents. */
    readonly attempts: number;
}

/** Metrics of one run. They are printed as JSON under these names. */
export interface RunMetrics {
    readonly calls: number;
    /** Full prompt blocks that were cached, divided by all full prompt blocks. */
    readonly prefixHitRate: number;
    readonly firstTokenP50: Milliseconds;
    readonly firstTokenP95: Milliseconds;
    readonly firstTokenP99: Milliseconds;
    readonly recomputedTokens: number;
    /**
     * Tokens served to an account, divided by the tokens that it is served as the only caller; minimum over the
     * accounts within their rate.
     */
    readonly worstShare: number;
    /** The p99 time to first token of an account; maximum over the accounts within their rate. */
    readonly worstAccountP99: Milliseconds;
    /** Refused calls that were made while their account was within its rate. */
    readonly wrongfulRefusals: number;
    readonly refusals: number;
    /** Attempts per call. */
    readonly offeredLoad: number;
}

/** Tokens served, by account. */
export type ServedTokens = ReadonlyMap<string, number>;

/** Sums the prompt and output tokens of the completed calls of each account. */
export function sumServedTokens(records: readonly CallRecord[]): ServedTokens {
    const served = new Map<string, number>();
    for (const { call, end } of records) {
        const tokens = end === CallEnd.Completed ? call.promptTokens + call.outputTokens : 0;
        served.set(call.account, (served.get(call.account) ?? 0) + tokens);
    }
    return served;
}

/**
 * Computes the metrics of a run.
 *
 * @param soloTokens Tokens that each account within its rate is served when it is the only caller.
 */
export function computeMetrics(
    records: readonly CallRecord[],
    blockTokens: number,
    soloTokens: ServedTokens,
): RunMetrics {
    const firstTokens = records.map(firstTokenOrDeadline);
    const accountsWithinRate = new Set(soloTokens.keys());
    const refused = records.filter((record) => record.end === CallEnd.Refused);
    const answered = records.filter((record) => record.timeToFirstToken !== undefined);
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
        worstShare: worstShare(records, soloTokens),
        worstAccountP99: Math.max(
            ...[...accountsWithinRate].map((account) =>
                percentile(
                    records.filter((record) => record.call.account === account).map(firstTokenOrDeadline),
                    99,
                )
            ),
        ),
        wrongfulRefusals: refused.filter((record) => record.call.isWithinRate).length,
        refusals: refused.length,
        offeredLoad: ratio(sum(records, (record) => record.attempts), records.length),
    };
}

/** Returns the time to the first token, or the time to the deadline if the call has no first token. */
function firstTokenOrDeadline(record: CallRecord): Milliseconds {
    return record.timeToFirstToken ?? record.call.deadline - record.call.arrivesAt;
}

function worstShare(records: readonly CallRecord[], soloTokens: ServedTokens): number {
    const served = sumServedTokens(records);
    const shares = [...soloTokens].map(([account, tokens]) => ratio(served.get(account) ?? 0, tokens));
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
