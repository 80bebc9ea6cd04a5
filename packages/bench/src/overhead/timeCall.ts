/**
 * Makes a streaming call and measures its latency.
 *
 * @module
 */
import { type Dispatcher, request } from "undici";

/** Options of {@link timeCall}. */
export interface TimeCallOptions {
    readonly address: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly dispatcher: Dispatcher;
}

/** Milliseconds from the start of a call. */
export interface CallTimes {
    readonly firstByte: number;
    readonly wholeAnswer: number;
}

/** Makes a streaming completion call and measures it. Rejects if the status is not 200. */
export async function timeCall(options: TimeCallOptions): Promise<CallTimes> {
    const start = performance.now();
    const response = await request(`${options.address}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", ...options.headers },
        body: options.body,
        dispatcher: options.dispatcher,
    });
    if (response.statusCode !== 200) {
        throw new Error(
            `the call to ${options.address} failed with status ${response.statusCode}: ${await response.body
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
