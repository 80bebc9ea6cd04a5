/**
 * One timed streaming call.
 *
 * @module
 */
import { type Dispatcher, request } from "undici";

/** A call to be timed. */
export interface TimedCallOptions {
    readonly address: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly dispatcher: Dispatcher;
}

/** Times of one call in milliseconds from its start. */
export interface CallTimes {
    readonly firstByte: number;
    readonly wholeAnswer: number;
}

/** Makes a streaming completion call and times it. Fails where the answer's status is not 200. */
export async function timedCall(options: TimedCallOptions): Promise<CallTimes> {
    const start = performance.now();
    const response = await request(`${options.address}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", ...options.headers },
        body: options.body,
        dispatcher: options.dispatcher,
    });
    if (response.statusCode !== 200) {
        throw new Error(
            `the call to ${options.address} was answered with ${response.statusCode}: ${await response.body
                .text()}`,
        );
    }
    let firstByte: number | undefined;
    for await (const _part of response.body) {
        firstByte ??= performance.now() - start;
    }
    const wholeAnswer = performance.now() - start;
    return { firstByte: firstByte ?? wholeAnswer, wholeAnswer };
}
