/**
 * Measures what remembering calls costs: store writes and bytes a second and the wait before dispatch, against calls
 * a second, on a simulated clock.
 *
 * @module
 */
import { FakeClock, type RandomSource, seededRandom } from "@redwingpin/common";
import { MemoryStore } from "@redwingpin/outside";
import { type Quantiles, quantilesOf } from "../quantiles.js";
import { type CallRecorder, type ClaimMode, makeRecorders } from "./claimMode.js";

/** One case of the experiment. */
export interface ClaimsCase {
    readonly mode: ClaimMode;
    readonly routers: number;
    /** Calls a second with an idempotency key, over all routers. */
    readonly callsPerSecond: number;
}

/** What was measured; bytes as handed to the store, before its client encodes them. */
export interface ClaimsMeasure extends ClaimsCase {
    readonly calls: number;
    readonly refused: number;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly bytesPerSecond: number;
    readonly messagesPerCall: number;
    /** Milliseconds from the call to its decision. */
    readonly wait: Quantiles;
    /** Store bytes that remember one call. */
    readonly storedBytesPerCall: number;
    readonly largestRecordBytes: number;
    /** Processor time of this process for one call, in microseconds; simulated store and clock included. */
    readonly processorMicrosecondsPerCall: number;
}

const storeLatency = 5;
const serviceDuration = 100;
const answerBytes = 300;
const maximumCalls = 15_000;
const maximumSeconds = 10;
const drainMilliseconds = 1_000;
const second = 1_000;

interface Tally {
    calls: number;
    refused: number;
    readonly waits: number[];
}

/** Runs one case. */
export async function measureClaims(one: ClaimsCase, seed: number): Promise<ClaimsMeasure> {
    const clock = new FakeClock(Date.UTC(2026, 0));
    const store = new MemoryStore(clock, storeLatency);
    const recorders = makeRecorders(one.mode, one.routers, clock, store);
    const random = seededRandom(seed);
    const tally: Tally = { calls: 0, refused: 0, waits: [] };
    const duration = second * Math.min(maximumSeconds, maximumCalls / one.callsPerSecond);
    const processorBefore = process.cpuUsage();
    for (let elapsed = 0; elapsed < duration + drainMilliseconds; elapsed++) {
        if (elapsed < duration) {
            sendCalls(one, random, recorders, clock, tally);
        }
        await advance(clock);
    }
    const processor = process.cpuUsage(processorBefore);
    const records = store.peekPrefix("").map((entry) => entry.value.length);
    const sent = recorders.map((recorder) => recorder.sent());
    const perSecond = (total: number) => round(total / (duration / second));
    return {
        ...one,
        calls: tally.calls,
        refused: tally.refused,
        writesPerSecond: perSecond(store.counts.writes),
        readsPerSecond: perSecond(store.counts.reads),
        bytesPerSecond: perSecond(sum(sent.map((part) => part.bytes))),
        messagesPerCall: round(sum(sent.map((part) => part.messages)) / tally.calls),
        wait: quantilesOf(tally.waits),
        storedBytesPerCall: round(sum(records) / tally.calls),
        largestRecordBytes: Math.max(0, ...records),
        processorMicrosecondsPerCall: round((processor.user + processor.system) / tally.calls),
    };
}

function sendCalls(
    one: ClaimsCase,
    random: RandomSource,
    recorders: readonly CallRecorder[],
    clock: FakeClock,
    tally: Tally,
): void {
    const expected = one.callsPerSecond / second;
    const count = Math.floor(expected) + (random.unit() < expected % 1 ? 1 : 0);
    for (let sent = 0; sent < count; sent++) {
        void makeCall(recorders[random.integerBelow(recorders.length)], clock, tally);
    }
}

async function makeCall(recorder: CallRecorder, clock: FakeClock, tally: Tally): Promise<void> {
    const begun = clock.now();
    const finish = await recorder.begin(`call-${tally.calls++}`);
    if (finish === undefined) {
        tally.refused++;
        return;
    }
    tally.waits.push(clock.now() - begun);
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
