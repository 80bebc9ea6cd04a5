/**
 * Measures the cost of recording calls: store writes and bytes per second and the wait before dispatch, by calls per
 * second, on a fake clock.
 *
 * @module
 */
import { FakeClock, type RandomSource, seededRandom } from "@redwingpin/common";
import { MemoryStore } from "@redwingpin/outside";
import { type Quantiles, quantilesOf } from "../quantiles.js";
import { type CallRecorder, type ClaimMode, createRecorders } from "./claimMode.js";

/** One case of the experiment. */
export interface ClaimsCase {
    readonly mode: ClaimMode;
    readonly routers: number;
    /** Calls per second with an idempotency key, over all routers. */
    readonly callsPerSecond: number;
}

/** Results of one case. Bytes are counted before the store's client encodes them. */
export interface ClaimsMeasure extends ClaimsCase {
    readonly calls: number;
    readonly refused: number;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly bytesPerSecond: number;
    readonly messagesPerCall: number;
    /** Milliseconds from the start of a call to its decision. */
    readonly wait: Quantiles;
    /** Bytes stored at the end, per call. */
    readonly storedBytesPerCall: number;
    readonly largestRecordBytes: number;
    /** Processor time of this process per call, including the simulated store and clock. */
    readonly processorMicrosecondsPerCall: number;
}

const storeLatency = 5;
const serviceDuration = 100;
const answerBytes = 300;
const maximumCalls = 15_000;
const maximumSeconds = 10;
const drainTime = 1_000;
const millisecondsPerSecond = 1_000;

interface CallTotals {
    calls: number;
    refused: number;
    readonly waits: number[];
}

/** Simulates one case. */
export async function measureClaims(claimsCase: ClaimsCase, seed: number): Promise<ClaimsMeasure> {
    const clock = new FakeClock(Date.UTC(2026, 0));
    const store = new MemoryStore(clock, storeLatency);
    const recorders = createRecorders(claimsCase.mode, claimsCase.routers, clock, store);
    const random = seededRandom(seed);
    const totals: CallTotals = { calls: 0, refused: 0, waits: [] };
    const duration = millisecondsPerSecond
        * Math.min(maximumSeconds, maximumCalls / claimsCase.callsPerSecond);
    const processorBefore = process.cpuUsage();
    for (let elapsed = 0; elapsed < duration + drainTime; elapsed++) {
        if (elapsed < duration) {
            sendCalls(claimsCase, random, recorders, clock, totals);
        }
        await advance(clock);
    }
    const processor = process.cpuUsage(processorBefore);
    const records = store.peekPrefix("").map((entry) => entry.value.length);
    const sent = recorders.map((recorder) => recorder.sent());
    const perSecond = (total: number) => round(total / (duration / millisecondsPerSecond));
    return {
        ...claimsCase,
        calls: totals.calls,
        refused: totals.refused,
        writesPerSecond: perSecond(store.counts.writes),
        readsPerSecond: perSecond(store.counts.reads),
        bytesPerSecond: perSecond(sum(sent.map((part) => part.bytes))),
        messagesPerCall: round(sum(sent.map((part) => part.messages)) / totals.calls),
        wait: quantilesOf(totals.waits),
        storedBytesPerCall: round(sum(records) / totals.calls),
        largestRecordBytes: Math.max(0, ...records),
        processorMicrosecondsPerCall: round((processor.user + processor.system) / totals.calls),
    };
}

function sendCalls(
    claimsCase: ClaimsCase,
    random: RandomSource,
    recorders: readonly CallRecorder[],
    clock: FakeClock,
    totals: CallTotals,
): void {
    const expectedCalls = claimsCase.callsPerSecond / millisecondsPerSecond;
    const count = Math.floor(expectedCalls) + (random.unit() < expectedCalls % 1 ? 1 : 0);
    for (let sent = 0; sent < count; sent++) {
        void makeCall(recorders[random.integerBelow(recorders.length)], clock, totals);
    }
}

async function makeCall(recorder: CallRecorder, clock: FakeClock, totals: CallTotals): Promise<void> {
    const startedAt = clock.now();
    const finish = await recorder.begin(`call-${totals.calls++}`);
    if (finish === undefined) {
        totals.refused++;
        return;
    }
    totals.waits.push(clock.now() - startedAt);
    clock.schedule(serviceDuration, () => finish(Buffer.alloc(answerBytes)));
}

async function advance(clock: FakeClock): Promise<void> {
    clock.advance(1);
    await new Promise((resolve) => {
        setImmediate(resolve);
    });
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
    return Math.round(value * 10) / 10;
}
