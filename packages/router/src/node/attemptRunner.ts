/**
 * Makes attempts: opens an exchange with the chosen agent and relays the answer to the caller.
 *
 * @module
 */
import { type Clock, RefusalReason, RetryReason } from "@redwingpin/common";
import { RouteKind } from "@redwingpin/manifest";
import type { VirtualMachine } from "@redwingpin/outside";
import {
    type Connection,
    DeclineReason,
    type EndpointStatus,
    type Head,
    type InnerNode,
    type WeightsReference,
} from "@redwingpin/protocol";
import type { AttemptOutcome } from "../decision/attemptLoop.js";
import { notRun, outcomeUnknown } from "../decision/refusal.js";
import {
    creditStepBytes,
    type Exchange,
    type ExchangeEvent,
    type ExchangeTable,
    type OpenFields,
} from "./agentExchange.js";
import type { AnswerRelay } from "./answerRelay.js";
import type { CallerRequest } from "./callerRequest.js";

/** Statuses of an endpoint's answer after which an idempotent request is retried at another endpoint. */
const retriedStatuses: ReadonlySet<number> = new Set([429, 500, 502, 503, 504]);

/** Dependencies of {@link AttemptRunner} in its router. */
export interface AttemptContext {
    readonly clock: Clock;
    readonly innerNode: InnerNode;
    readonly exchanges: ExchangeTable<Connection>;
    readonly revision: () => number;
    readonly observeStatus: (status: EndpointStatus) => void;
}

/** Makes the attempts at one request. */
export class AttemptRunner {
    constructor(
        private readonly context: AttemptContext,
        private readonly request: CallerRequest,
        private readonly relay: AnswerRelay,
        private readonly onHead: (head: Head) => void,
    ) {}

    /**
     * Makes an attempt and resolves with its outcome. With `isIsolated` the agent runs the request in isolation. Calls
     * `mayDispatch` immediately before it sends the request, and sends nothing if the result is false.
     */
    async run(
        machine: VirtualMachine,
        attempt: number,
        mayDispatch: () => boolean,
        isIsolated: boolean,
    ): Promise<AttemptOutcome> {
        const connection = await this.context.innerNode.connect(machine);
        if (connection.isErr()) {
            const refusal = notRun(
                RefusalReason.NoEndpoint,
                `instance "${machine.instance}" is unreachable`,
            );
            return { kind: "notRun", retryReason: RetryReason.ConnectFailed, refusal };
        }
        if (connection.value.peer.instance !== machine.instance) {
            const refusal = notRun(
                RefusalReason.NoEndpoint,
                `the address of instance "${machine.instance}" belongs to another instance`,
            );
            return { kind: "notRun", retryReason: RetryReason.ConnectFailed, refusal };
        }
        if (!mayDispatch()) {
            const message = "the claim expired before the call was dispatched";
            return { kind: "final", refusal: notRun(RefusalReason.DeadlineExceeded, message) };
        }
        return this.exchange(connection.value, attempt, isIsolated);
    }

    private async exchange(
        connection: Connection,
        attempt: number,
        isIsolated: boolean,
    ): Promise<AttemptOutcome> {
        const exchange = this.context.exchanges.open(
            connection,
            this.openFields(attempt, isIsolated),
            this.bodyForAttempt(),
        );
        let receivedBytes = 0;
        while (true) {
            const event = await exchange.next();
            if (this.relay.isCallerDisconnected || event === undefined) {
                exchange.cancel();
                return { kind: "callerDisconnected" };
            }
            if (event.kind === "data") {
                await this.relay.write(event.data);
                if (this.relay.isOverlong) {
                    exchange.cancel();
                    return this.brokenOutcome(
                        RetryReason.EndpointError,
                        RefusalReason.EndpointFailed,
                        "the endpoint sent too many bytes that are no event",
                    );
                }
                receivedBytes += event.data.length;
                if (receivedBytes >= creditStepBytes) {
                    exchange.grantCredit(receivedBytes);
                    receivedBytes = 0;
                }
                continue;
            }
            const outcome = this.handleEvent(exchange, event, connection.peer.instance);
            if (outcome !== undefined) {
                return outcome;
            }
        }
    }

    private handleEvent(
        exchange: Exchange,
        event: Exclude<ExchangeEvent, { kind: "data"; }>,
        instance: string,
    ): AttemptOutcome | undefined {
        switch (event.kind) {
            case "head":
                return this.handleHead(exchange, event.head, instance);
            case "declined":
                this.context.observeStatus(event.decline.status);
                return declinedOutcome(event.decline.reason, instance);
            case "ended":
                this.context.observeStatus(event.end.status);
                return this.relay.finish()
                    ? { kind: "delivered" }
                    : this.brokenOutcome(
                        RetryReason.EndpointError,
                        RefusalReason.EndpointFailed,
                        "the stream ended without its end event",
                    );
            case "failed":
                this.context.observeStatus(event.failed.status);
                return this.failedOutcome(event.failed);
            case "interrupted":
                return this.brokenOutcome(
                    RetryReason.ConnectionLost,
                    RefusalReason.EndpointFailed,
                    event.message,
                );
        }
    }

    private handleHead(exchange: Exchange, head: Head, instance: string): AttemptOutcome | undefined {
        this.onHead(head);
        if (this.request.route.idempotent && retriedStatuses.has(head.status)) {
            exchange.cancel();
            const message = `the endpoint of instance "${instance}" answered with status ${head.status}`;
            return this.brokenOutcome(RetryReason.EndpointError, RefusalReason.EndpointFailed, message);
        }
        this.relay.begin(head.status, head.headers);
        return undefined;
    }

    private failedOutcome(
        failed: { readonly mayHaveRun: boolean; readonly reason: RefusalReason; readonly message: string; },
    ): AttemptOutcome {
        if (!failed.mayHaveRun) {
            return {
                kind: "notRun",
                retryReason: RetryReason.EndpointError,
                refusal: notRun(failed.reason, failed.message),
            };
        }
        if (failed.reason === RefusalReason.DeadlineExceeded && this.relay.deliveredTokens === 0) {
            return { kind: "final", refusal: outcomeUnknown(failed.reason, failed.message) };
        }
        return this.brokenOutcome(RetryReason.EndpointError, failed.reason, failed.message);
    }

    private brokenOutcome(retryReason: RetryReason, reason: RefusalReason, message: string): AttemptOutcome {
        if (this.relay.isStreamComplete) {
            this.relay.finish();
            return { kind: "delivered" };
        }
        return {
            kind: "broken",
            retryReason,
            refusal: outcomeUnknown(reason, message),
            progress: this.relay.progress,
        };
    }

    private openFields(attempt: number, isIsolated: boolean): OpenFields {
        const { request, context } = this;
        return {
            request: request.identifier,
            attempt,
            revision: context.revision(),
            route: request.route.name,
            account: request.account?.name,
            priority: request.route.priority,
            tokens: request.tokens,
            deadlineMilliseconds: Math.max(0, request.deadline - context.clock.now()),
            idempotent: request.route.idempotent,
            method: request.method,
            path: request.path,
            headers: [...request.headers, { name: "traceparent", value: request.traceparent }],
            weights: weightsOf(request),
            prefixBlocks: request.prefix.blocks,
            fingerprint: request.fingerprint,
            apart: isIsolated ? true : undefined,
            traceparent: request.traceparent,
        };
    }

    /** The request's body; for a stream that is resumed, with the number of tokens after which to continue. */
    private bodyForAttempt(): Buffer {
        const { completion, body } = this.request;
        if (completion === undefined || this.relay.deliveredTokens === 0) {
            return body;
        }
        return Buffer.from(
            JSON.stringify({ ...completion.fields, resume: { after_tokens: this.relay.deliveredTokens } }),
        );
    }
}

/** The weights that a request requires; absent for services. */
export function weightsOf(request: CallerRequest): WeightsReference | undefined {
    const { route } = request;
    return route.kind === RouteKind.Model
        ? { model: route.model, version: route.version, adapter: route.adapter }
        : undefined;
}

function declinedOutcome(reason: DeclineReason, instance: string): AttemptOutcome {
    const refuse = (refusal: RefusalReason) =>
        notRun(refusal, `instance "${instance}" declined the request: ${reason}`);
    switch (reason) {
        case DeclineReason.Draining:
            return {
                kind: "notRun",
                retryReason: RetryReason.AgentDeclinedDraining,
                refusal: refuse(RefusalReason.NoEndpoint),
            };
        case DeclineReason.QueueFull:
            return {
                kind: "notRun",
                retryReason: RetryReason.AgentDeclinedQueueFull,
                refusal: refuse(RefusalReason.QueueFull),
            };
        case DeclineReason.WrongWeights:
            return {
                kind: "notRun",
                retryReason: RetryReason.AgentDeclinedVersion,
                refusal: refuse(RefusalReason.NoEndpoint),
            };
        case DeclineReason.EndpointDown:
        case DeclineReason.Suspect:
            return {
                kind: "notRun",
                retryReason: RetryReason.AgentDeclinedEndpointDown,
                refusal: refuse(RefusalReason.NoEndpoint),
            };
        case DeclineReason.DeadlineExceeded:
            return { kind: "final", refusal: refuse(RefusalReason.DeadlineExceeded) };
        case DeclineReason.Quarantined:
            return { kind: "final", refusal: refuse(RefusalReason.Quarantined) };
        case DeclineReason.Malformed:
            return { kind: "final", refusal: refuse(RefusalReason.MalformedRequest) };
        case DeclineReason.Duplicate:
            return {
                kind: "final",
                refusal: outcomeUnknown(
                    RefusalReason.OutcomeUnknown,
                    `instance "${instance}" has already received this request`,
                ),
            };
    }
}
