/**
 * A simulated site for the claims fuzz target: routers that share a store, and a service that records its executions.
 *
 * @module
 */
import {
    type CallAnswer,
    type Claim,
    type ClaimRequest,
    type Claims,
    createClaims,
} from "@redwingpin/claims";
import { CallOutcome, FakeClock, silentLogger } from "@redwingpin/common";
import { MemoryStore, SimulatedProcess } from "@redwingpin/outside";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/** How the service behaves. */
export enum ServiceMode {
    Normal = "normal",
    /** Executes, and answers long after the caller received an unknown outcome. */
    AnswersLate = "answersLate",
    /** Executes, and never answers. */
    LosesAnswers = "losesAnswers",
    /** Refuses connections, so nothing is executed. */
    Refuses = "refuses",
}

/** One execution at the service. */
export interface Execution {
    readonly key: string;
    readonly body: string;
    readonly request: number;
    readonly at: number;
}

/** Outcome that the caller of a request received. */
export type ReportedOutcome =
    | { readonly kind: CallOutcome; }
    | { readonly kind: "answer"; readonly text: string; };

/** A caller's request. */
export interface Request {
    readonly number: number;
    readonly key: string;
    readonly body: string;
    reportedOutcome: ReportedOutcome | undefined;
}

const startTimeMilliseconds = 1_000_000;
const storeLatencyMilliseconds = 10;
const networkLatencyMilliseconds = 5;
const askTimeoutMilliseconds = 300;
const connectMilliseconds = 10;
const serviceLatencyMilliseconds = 20;
const lateLatencyMilliseconds = 1_500;
const callTimeoutMilliseconds = 500;

/** Limits that make segments close, the ring wrap around and claims expire within one short history. */
export const siteLimits = {
    slots: 3,
    segmentCloseBytes: 400,
    minimumRetention: 60_000,
    dispatchWindow: 3_000,
    minimumCommitInterval: 30,
};

interface Router {
    readonly process: SimulatedProcess;
    readonly claims: Claims;
}

export class ClaimsSite {
    readonly clock = new FakeClock(startTimeMilliseconds);
    readonly store = new MemoryStore(this.clock, storeLatencyMilliseconds);
    readonly executions: Execution[] = [];
    readonly requests: Request[] = [];
    serviceMode = ServiceMode.Normal;
    private readonly routers: Router[];
    private startCount = 0;

    /** Router that the others regard as the writer of the shard; if `undefined`, each router writes its own claims. */
    writer: number | undefined;
    /** Whether requests between routers are lost, and whether the replies to them are. */
    readonly messageLoss = { requests: false, replies: false };

    constructor(routerCount: number) {
        this.routers = Array.from({ length: routerCount }, (_, index) => this.startRouter(index));
    }

    process(router: number): SimulatedProcess {
        return this.routers[router].process;
    }

    /** Kills a router and starts a replacement. */
    restart(router: number): void {
        this.routers[router].process.kill();
        this.routers[router] = this.startRouter(router);
    }

    /** Stops a router gracefully and starts a replacement. */
    stop(router: number): void {
        void this.routers[router].claims.stop();
        this.routers[router] = this.startRouter(router);
    }

    /** Sends a request, which later has the outcome that its caller received. */
    send(router: number, key: string, body: string): Request {
        const request: Request = { number: this.requests.length, key, body, reportedOutcome: undefined };
        this.requests.push(request);
        const { process, claims } = this.routers[router];
        process.run(() => void this.serve(process, claims, request));
        return request;
    }

    private startRouter(index: number): Router {
        const process = new SimulatedProcess(this.clock);
        const claims = createClaims({
            clock: process.clock,
            instance: routerName(index),
            incarnation: String(++this.startCount),
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            shards: 1,
            writer: siteLimits,
            peers: {
                writerOf: () => this.writer === undefined ? undefined : routerName(this.writer),
                ask: (instance, message) => new ResultAsync(this.askPeer(process, instance, message)),
            },
        });
        return { process, claims };
    }

    private askPeer(
        process: SimulatedProcess,
        instance: string,
        message: ClaimRequest,
    ): Promise<Result<unknown, string>> {
        return new Promise((resolve) => {
            process.clock.schedule(askTimeoutMilliseconds, () => resolve(err("no answer")));
            const target = this.routers.find((_, index) => routerName(index) === instance);
            const isRequestLost = this.messageLoss.requests;
            this.clock.schedule(networkLatencyMilliseconds, () => {
                target?.process.run(() => void (isRequestLost || sendReply(target)));
            });
            const sendReply = async (recipient: Router) => {
                const answer = await recipient.claims.handle(message);
                if (!this.messageLoss.replies) {
                    this.clock.schedule(
                        networkLatencyMilliseconds,
                        () => process.run(() => resolve(ok(answer))),
                    );
                }
            };
        });
    }

    private async serve(process: SimulatedProcess, claims: Claims, request: Request): Promise<void> {
        const { key, body } = request;
        const call = { account: "maker", route: "stamps", idempotencyKey: key, method: "POST", path: "/" };
        const decision = await claims.begin({ ...call, body: Buffer.from(body) });
        switch (decision.kind) {
            case "run":
                process.clock.schedule(
                    connectMilliseconds,
                    () => this.dispatch(process, claims, request, decision.claim),
                );
                break;
            case "replay":
                request.reportedOutcome = {
                    kind: "answer",
                    text: Buffer.from(decision.answer.body).toString(),
                };
                break;
            case "refuse":
                request.reportedOutcome = { kind: decision.outcome };
                break;
        }
    }

    private dispatch(process: SimulatedProcess, claims: Claims, request: Request, claim: Claim): void {
        if (this.serviceMode === ServiceMode.Refuses || !claims.mayDispatch(claim)) {
            claims.abandon(claim, true);
            request.reportedOutcome = { kind: CallOutcome.NotRun };
            return;
        }
        const execution = {
            key: request.key,
            body: request.body,
            request: request.number,
            at: this.clock.now(),
        };
        this.executions.push(execution);
        process.clock.schedule(callTimeoutMilliseconds, () => this.timeOut(claims, request, claim));
        if (this.serviceMode === ServiceMode.LosesAnswers) {
            return;
        }
        const latency = this.serviceMode === ServiceMode.AnswersLate
            ? lateLatencyMilliseconds
            : serviceLatencyMilliseconds;
        process.clock.schedule(latency, () => {
            claims.finish(claim, answerOf(execution));
            request.reportedOutcome ??= { kind: "answer", text: answerTextOf(execution) };
        });
    }

    private timeOut(claims: Claims, request: Request, claim: Claim): void {
        if (request.reportedOutcome === undefined) {
            claims.abandon(claim, false);
            request.reportedOutcome = { kind: CallOutcome.Unknown };
        }
    }
}

function routerName(index: number): string {
    return `router-${index}`;
}

/** Text of the service's answer to an execution; it is unique to the execution. */
export function answerTextOf(execution: Execution): string {
    return `executed ${execution.key} ${execution.body} at ${execution.at} for ${execution.request}`;
}

function answerOf(execution: Execution): CallAnswer {
    return { status: 200, headers: [], body: Buffer.from(answerTextOf(execution)) };
}
