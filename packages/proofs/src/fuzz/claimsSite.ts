/**
 * A simulated site for the claims: routers over one store, and a service that lists what it executes.
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
    /** Executes and answers long after the caller was told that the outcome is unknown. */
    AnswersLate = "answersLate",
    /** Executes and never answers. */
    LosesAnswers = "losesAnswers",
    /** Refuses connections: certainly not executed. */
    Refuses = "refuses",
}

/** One execution at the service. */
export interface Execution {
    readonly key: string;
    readonly body: string;
    readonly request: number;
    readonly at: number;
}

/** What the caller of a request was told. */
export type ToldOutcome =
    | { readonly kind: CallOutcome; }
    | { readonly kind: "answer"; readonly text: string; };

/** One request of a caller. */
export interface Request {
    readonly number: number;
    readonly key: string;
    readonly body: string;
    told: ToldOutcome | undefined;
}

const startOfTime = 1_000_000;
const storeLatency = 10;
const networkLatency = 5;
const askTimeout = 300;
const connectLatency = 10;
const serviceLatency = 20;
const lateLatency = 1_500;
const callTimeout = 500;

/** Bounds that make segments close, rings turn and claims expire within one short history. */
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

/** The simulated site. */
export class ClaimsSite {
    readonly clock = new FakeClock(startOfTime);
    readonly store = new MemoryStore(this.clock, storeLatency);
    readonly executions: Execution[] = [];
    readonly requests: Request[] = [];
    service = ServiceMode.Normal;
    private readonly routers: Router[];
    private starts = 0;

    /** Router that the others take for the writer of the shard; `undefined` where each writes by itself. */
    writer: number | undefined;
    /** True while messages between routers are lost on the way there, or the answers on the way back. */
    readonly cuts = { requests: false, replies: false };

    constructor(routerCount: number) {
        this.routers = Array.from({ length: routerCount }, (_, index) => this.startRouter(index));
    }

    /** Process of a router. */
    process(router: number): SimulatedProcess {
        return this.routers[router].process;
    }

    /** Kills a router and starts another in its place. */
    restart(router: number): void {
        this.routers[router].process.kill();
        this.routers[router] = this.startRouter(router);
    }

    /** Stops a router in order, and starts another in its place. */
    stop(router: number): void {
        void this.routers[router].claims.stop();
        this.routers[router] = this.startRouter(router);
    }

    /** Sends a request; what its caller was told is noted in it. */
    send(router: number, key: string, body: string): Request {
        const request: Request = { number: this.requests.length, key, body, told: undefined };
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
            incarnation: String(++this.starts),
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            shards: 1,
            writer: siteLimits,
            peers: {
                writerOf: () => this.writer === undefined ? undefined : routerName(this.writer),
                ask: (instance, message) => new ResultAsync(this.ask(process, instance, message)),
            },
        });
        return { process, claims };
    }

    private ask(
        process: SimulatedProcess,
        instance: string,
        message: ClaimRequest,
    ): Promise<Result<unknown, string>> {
        return new Promise((resolve) => {
            process.clock.schedule(askTimeout, () => resolve(err("no answer")));
            const target = this.routers.find((_, index) => routerName(index) === instance);
            const lost = this.cuts.requests;
            this.clock.schedule(networkLatency, () => {
                target?.process.run(() => void (lost || reply(target)));
            });
            const reply = async (from: Router) => {
                const answer = await from.claims.handle(message);
                if (!this.cuts.replies) {
                    this.clock.schedule(networkLatency, () => process.run(() => resolve(ok(answer))));
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
                    connectLatency,
                    () => this.dispatch(process, claims, request, decision.claim),
                );
                break;
            case "replay":
                request.told = { kind: "answer", text: Buffer.from(decision.answer.body).toString() };
                break;
            case "refuse":
                request.told = { kind: decision.outcome };
                break;
        }
    }

    private dispatch(process: SimulatedProcess, claims: Claims, request: Request, claim: Claim): void {
        if (this.service === ServiceMode.Refuses || !claims.mayDispatch(claim)) {
            claims.abandon(claim, true);
            request.told = { kind: CallOutcome.NotRun };
            return;
        }
        const execution = {
            key: request.key,
            body: request.body,
            request: request.number,
            at: this.clock.now(),
        };
        this.executions.push(execution);
        process.clock.schedule(callTimeout, () => this.timeOut(claims, request, claim));
        if (this.service === ServiceMode.LosesAnswers) {
            return;
        }
        const latency = this.service === ServiceMode.AnswersLate ? lateLatency : serviceLatency;
        process.clock.schedule(latency, () => {
            claims.finish(claim, answerOf(execution));
            request.told ??= { kind: "answer", text: answerText(execution) };
        });
    }

    private timeOut(claims: Claims, request: Request, claim: Claim): void {
        if (request.told === undefined) {
            claims.abandon(claim, false);
            request.told = { kind: CallOutcome.Unknown };
        }
    }
}

function routerName(index: number): string {
    return `router-${index}`;
}

/** Text that the service answers to an execution; no two executions have the same. */
export function answerText(execution: Execution): string {
    return `executed ${execution.key} ${execution.body} at ${execution.at} for ${execution.request}`;
}

function answerOf(execution: Execution): CallAnswer {
    return { status: 200, headers: [], body: Buffer.from(answerText(execution)) };
}
