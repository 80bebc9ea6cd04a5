/**
 * Makes one attempt: opens an exchange with the chosen agent and relays the answer to the caller.
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
import type { AttemptEnd } from "../decision/attemptLoop.js";
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

/** Answers of an endpoint after which an idempotent request is tried elsewhere. */
const retriedStatuses: ReadonlySet<number> = new Set([429, 500, 502, 503, 504]);

/** What attempts need from their router. */
export interface AttemptContext {
    readonly clock: Clock;
    readonly innerNode: InnerNode;
    readonly exchanges: ExchangeTable<Connection>;
    readonly revision: () => number;
    readonly observeStatus: (status: EndpointStatus) => void;
}

/** Makes attempts at one request. */
export class AttemptRunner {
    constructor(
        private readonly context: AttemptContext,
        private readonly request: CallerRequest,
        private readonly relay: AnswerRelay,
        private readonly onHead: (head: Head) => void,
    ) {}

    /** Makes an attempt, with `apart` alone at its endpoint, and resolves with how it ended. `mayDispatch` is asked right before anything is sent. */
    async run(
        machine: VirtualMachine,
        attempt: number,
        mayDispatch: () => boolean,
        apart: boolean,
    ): Promise<AttemptEnd> {
        const connection = await this.context.innerNode.connect(machine);
        if (connection.isErr()) {
            const refusal = notRun(
                RefusalReason.NoEndpoint,
                `instance "${machine.instance}" can not be reached`,
            );
            return { kind: "notRun", retry: RetryReason.ConnectFailed, refusal };
        }
        if (connection.value.peer.instance !== machine.instance) {
            const refusal = notRun(
                RefusalReason.NoEndpoint,
                `the address of instance "${machine.instance}" belongs to another`,
            );
            return { kind: "notRun", retry: RetryReason.ConnectFailed, refusal };
        }
        if (!mayDispatch()) {
            const message = "the call could not be dispatched in the time that its claim allows";
            return { kind: "final", refusal: notRun(RefusalReason.DeadlineExceeded, message) };
        }
        return this.exchange(connection.value, attempt, apart);
    }

    private async exchange(connection: Connection, attempt: number, apart: boolean): Promise<AttemptEnd> {
        const exchange = this.context.exchanges.open(
            connection,
            this.openFields(attempt, apart),
            this.bodyForAttempt(),
        );
        let unacknowledged = 0;
        while (true) {
            const event = await exchange.next();
            if (this.relay.callerGone || event === undefined) {
                exchange.cancel();
                return { kind: "callerGone" };
            }
            if (event.kind === "data") {
                await this.relay.write(event.data);
                unacknowledged += event.data.length;
                if (unacknowledged >= creditStepBytes) {
                    exchange.allow(unacknowledged);
                    unacknowledged = 0;
                }
                continue;
            }
            const end = this.handle(exchange, event, connection.peer.instance);
            if (end !== undefined) {
                return end;
            }
        }
    }

    private handle(
        exchange: Exchange,
        event: Exclude<ExchangeEvent, { kind: "data"; }>,
        instance: string,
    ): AttemptEnd | undefined {
        switch (event.kind) {
            case "head":
                return this.handleHead(exchange, event.head, instance);
            case "declined":
                this.context.observeStatus(event.decline.status);
                return declined(event.decline.reason, instance);
            case "ended":
                this.context.observeStatus(event.end.status);
                return this.relay.finish()
                    ? { kind: "complete" }
                    : this.broken(
                        RetryReason.EndpointError,
                        RefusalReason.EndpointFailed,
                        "the stream ended early",
                    );
            case "failed":
                this.context.observeStatus(event.failed.status);
                return this.failed(event.failed);
            case "lost":
                return this.broken(RetryReason.ConnectionLost, RefusalReason.EndpointFailed, event.message);
        }
    }

    private handleHead(exchange: Exchange, head: Head, instance: string): AttemptEnd | undefined {
        this.onHead(head);
        if (this.request.route.idempotent && retriedStatuses.has(head.status)) {
            exchange.cancel();
            const message = `the endpoint beside "${instance}" answered with status ${head.status}`;
            return this.broken(RetryReason.EndpointError, RefusalReason.EndpointFailed, message);
        }
        this.relay.begin(head.status, head.headers);
        return undefined;
    }

    private failed(
        failed: { readonly mayHaveRun: boolean; readonly reason: RefusalReason; readonly message: string; },
    ): AttemptEnd {
        if (!failed.mayHaveRun) {
            return {
                kind: "notRun",
                retry: RetryReason.EndpointError,
                refusal: notRun(failed.reason, failed.message),
            };
        }
        if (failed.reason === RefusalReason.DeadlineExceeded && this.relay.deliveredTokens === 0) {
            return { kind: "final", refusal: outcomeUnknown(failed.reason, failed.message) };
        }
        return this.broken(RetryReason.EndpointError, failed.reason, failed.message);
    }

    private broken(retry: RetryReason, reason: RefusalReason, message: string): AttemptEnd {
        if (this.relay.isWholeStream) {
            this.relay.finish();
            return { kind: "complete" };
        }
        return {
            kind: "broken",
            retry,
            refusal: outcomeUnknown(reason, message),
            progress: this.relay.progress,
        };
    }

    private openFields(attempt: number, apart: boolean): OpenFields {
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
            apart: apart ? true : undefined,
            traceparent: request.traceparent,
        };
    }

    /** The caller's body; for a stream that is taken up again, with the token after which to go on. */
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

/** The weights that must serve a request; absent for services. */
export function weightsOf(request: CallerRequest): WeightsReference | undefined {
    const { route } = request;
    return route.kind === RouteKind.Model
        ? { model: route.model, version: route.version, adapter: route.adapter }
        : undefined;
}

function declined(reason: DeclineReason, instance: string): AttemptEnd {
    const refuse = (refusal: RefusalReason) => notRun(refusal, `instance "${instance}" declined: ${reason}`);
    switch (reason) {
        case DeclineReason.Draining:
            return {
                kind: "notRun",
                retry: RetryReason.AgentDeclinedDraining,
                refusal: refuse(RefusalReason.NoEndpoint),
            };
        case DeclineReason.QueueFull:
            return {
                kind: "notRun",
                retry: RetryReason.AgentDeclinedQueueFull,
                refusal: refuse(RefusalReason.QueueFull),
            };
        case DeclineReason.WrongWeights:
            return {
                kind: "notRun",
                retry: RetryReason.AgentDeclinedVersion,
                refusal: refuse(RefusalReason.NoEndpoint),
            };
        case DeclineReason.EndpointDown:
        case DeclineReason.Suspect:
            return {
                kind: "notRun",
                retry: RetryReason.AgentDeclinedEndpointDown,
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
                    `instance "${instance}" has seen this request before`,
                ),
            };
    }
}
