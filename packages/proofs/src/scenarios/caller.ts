/**
 * Sends calls and records their answers.
 *
 * @module
 */
import { Agent, type Dispatcher, request } from "undici";
import { CallEnd, CallKind, type CallRecord } from "./callRecord.js";

/** One call to send. */
export interface CallPlan {
    readonly kind: CallKind;
    readonly identity: string;
    readonly account: string;
    readonly key: string | undefined;
    readonly router: string;
    /** Route to a model, or path of a service. */
    readonly target: string;
    readonly prompt: string;
    readonly maximumTokens: number;
    readonly idempotencyKey?: string;
}

const endOfStreamEvent = "data: [DONE]";
const dataPrefix = "data: ";
const callTimeoutMilliseconds = 60_000;
const firstErrorStatus = 400;

/** A call that has been sent. */
export interface SentCall {
    readonly record: CallRecord;
    /** Resolves when the call has ended; never rejects. */
    readonly ended: Promise<CallRecord>;
    /** Closes the connection before the call has ended. */
    disconnect(): void;
}

/** Sends calls over its own connections. */
export class Caller {
    private readonly agent = new Agent({
        headersTimeout: callTimeoutMilliseconds,
        bodyTimeout: callTimeoutMilliseconds,
    });

    /** Sends one call and records its progress. */
    send(plan: CallPlan): SentCall {
        const abortController = new AbortController();
        const record = createRecord(plan);
        const ended = this.run(plan, record, abortController.signal).then(() => {
            record.endedAt = performance.now();
            return record;
        });
        return { record, ended, disconnect: () => abortController.abort() };
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async run(plan: CallPlan, record: CallRecord, signal: AbortSignal): Promise<void> {
        try {
            const answer = await request(`${plan.router}${pathOf(plan)}`, {
                dispatcher: this.agent,
                method: "POST",
                headers: headersOf(plan),
                body: bodyOf(plan),
                signal,
            });
            record.status = answer.statusCode;
            record.outcome = answer.headers["redwingpin-outcome"]?.toString();
            await readAnswer(record, answer);
        }
        catch (error) {
            record.end = isUnreachable(error) ? CallEnd.Unreachable : CallEnd.Interrupted;
        }
    }
}

function createRecord(plan: CallPlan): CallRecord {
    const isModel = plan.kind === CallKind.Completion || plan.kind === CallKind.Stream;
    return {
        kind: plan.kind,
        identity: plan.identity,
        account: plan.account,
        router: plan.router,
        model: isModel ? plan.target : "",
        prompt: plan.prompt,
        maximumTokens: plan.maximumTokens,
        startedAt: performance.now(),
        endedAt: Number.NaN,
        end: CallEnd.Interrupted,
        status: 0,
        outcome: undefined,
        code: undefined,
        text: "",
        tokens: 0,
    };
}

function pathOf(plan: CallPlan): string {
    switch (plan.kind) {
        case CallKind.Completion:
        case CallKind.Stream:
            return "/v1/completions";
        case CallKind.NonIdempotent:
        case CallKind.Idempotent:
            return plan.target;
    }
}

function bodyOf(plan: CallPlan): string {
    switch (plan.kind) {
        case CallKind.Completion:
        case CallKind.Stream:
            return JSON.stringify({
                model: plan.target,
                prompt: plan.prompt,
                max_tokens: plan.maximumTokens,
                stream: plan.kind === CallKind.Stream,
            });
        case CallKind.NonIdempotent:
        case CallKind.Idempotent:
            return JSON.stringify({ identity: plan.identity });
    }
}

function headersOf(plan: CallPlan): Record<string, string> {
    return {
        "content-type": "application/json",
        ...plan.key === undefined ? {} : { authorization: `Bearer ${plan.key}` },
        ...plan.idempotencyKey === undefined ? {} : { "idempotency-key": plan.idempotencyKey },
    };
}

async function readAnswer(record: CallRecord, answer: Dispatcher.ResponseData): Promise<void> {
    if (record.status >= firstErrorStatus) {
        record.code = readCode(await answer.body.text());
        record.end = CallEnd.Refused;
        return;
    }
    if (record.kind === CallKind.Stream) {
        await readStream(record, answer);
        return;
    }
    const text = await answer.body.text();
    record.text = record.kind === CallKind.Completion ? JSON.parse(text).choices[0].text : text;
    record.end = CallEnd.Complete;
}

async function readStream(record: CallRecord, answer: Dispatcher.ResponseData): Promise<void> {
    const decoder = new TextDecoder();
    let remainder = "";
    for await (const chunk of answer.body) {
        const events = (remainder + decoder.decode(chunk as Buffer, { stream: true })).split("\n\n");
        remainder = events.pop()!;
        events.forEach((event) => readEvent(record, event));
    }
}

function readEvent(record: CallRecord, event: string): void {
    if (event === endOfStreamEvent) {
        record.end = CallEnd.Complete;
        return;
    }
    if (!event.startsWith(dataPrefix)) {
        return;
    }
    const body = JSON.parse(event.slice(dataPrefix.length));
    record.code = body.error?.code ?? record.code;
    const text = body.choices?.[0]?.text as string | undefined;
    if (text) {
        record.text += text;
        record.tokens++;
    }
}

function readCode(text: string): string | undefined {
    try {
        return JSON.parse(text).error?.code;
    }
    catch {
        return undefined;
    }
}

function isUnreachable(error: unknown): boolean {
    return (error as { code?: string; }).code === "ECONNREFUSED";
}
