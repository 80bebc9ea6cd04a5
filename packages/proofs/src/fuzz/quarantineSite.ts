/**
 * A simulated site for the quarantine fuzz target: routers that retry, agents with an isolation gate, and endpoints
 * that crash when they run certain requests.
 *
 * @module
 */
import {
    createQuarantine,
    IsolationGate,
    IsolationLevel,
    type Quarantine,
    QuarantineMessageKind,
} from "@redwingpin/claims";
import { FakeClock, rendezvousOrder, silentLogger, sleep } from "@redwingpin/common";
import { MemoryStore, SimulatedProcess } from "@redwingpin/outside";

const startTimeMilliseconds = 1_000_000;
const storeLatencyMilliseconds = 10;
const networkLatencyMilliseconds = 5;
const runMilliseconds = 100;
const crashDelayMilliseconds = 50;
const restartMilliseconds = 200;
const maximumAttempts = 8;
const endpointRetryDelayMilliseconds = 100;
const gateOptions = { duration: 600_000, maximumSuspects: 100 };

/** A caller's request. */
export interface SiteRequest {
    readonly fingerprint: string;
    /** True if the request crashes the endpoint that runs it. */
    readonly crashes: boolean;
    readonly idempotent: boolean;
    reportedOutcome: "answer" | "quarantined" | "failed" | undefined;
}

type AttemptOutcome = "answer" | "quarantined" | "notRun" | "interrupted";

interface Attempt {
    readonly id: string;
    readonly request: SiteRequest;
    readonly settle: (outcome: AttemptOutcome) => void;
}

interface Agent {
    readonly name: string;
    readonly gate: IsolationGate;
    readonly attempts: Map<string, Attempt>;
    incarnation: number;
    isUp: boolean;
}

interface Router {
    readonly process: SimulatedProcess;
    readonly quarantine: Quarantine;
    /** Resolves when the router is ready, so that the balancer sends requests to it. */
    readonly ready: Promise<void>;
}

export class QuarantineSite {
    readonly clock = new FakeClock(startTimeMilliseconds);
    readonly store = new MemoryStore(this.clock, storeLatencyMilliseconds);
    /** Number of crashes that a request caused, by its fingerprint. */
    readonly crashesCaused = new Map<string, number>();
    /** Number of crashes of endpoints while a request ran there, by its fingerprint. */
    readonly crashesWhileRunning = new Map<string, number>();
    readonly requests: SiteRequest[] = [];
    private readonly agents: Agent[];
    private readonly routers: Router[];
    private attemptCount = 0;

    constructor(routerCount: number, agentCount: number) {
        this.agents = Array.from({ length: agentCount }, (_, index) => ({
            name: `agent-${index}`,
            gate: new IsolationGate(gateOptions),
            attempts: new Map(),
            incarnation: 1,
            isUp: true,
        }));
        this.routers = Array.from({ length: routerCount }, (_, index) => this.startRouter(index));
    }

    /** Kills a router and starts a replacement, which serves once it has queried the other routers. */
    restartRouter(index: number): void {
        this.routers[index].process.kill();
        this.routers[index] = this.startRouter(index);
    }

    /** Sends a request through a router as soon as that is ready; doesn't wait for the outcome. */
    async send(router: number, request: SiteRequest): Promise<void> {
        this.requests.push(request);
        const { process, quarantine, ready } = this.routers[router];
        await ready;
        process.run(() => void this.serve(process, quarantine, request));
    }

    /** Crashes an endpoint: ends its attempts, reports the crash to every router, and restarts the endpoint later. */
    crash(index: number): void {
        const agent = this.agents[index];
        if (!agent.isUp) {
            return;
        }
        agent.isUp = false;
        const crash = { id: `${agent.name}/${agent.incarnation++}`, at: this.clock.wallTime() };
        const fingerprints = agent.gate.recordCrash(this.clock.wallTime());
        fingerprints.forEach((fingerprint) => increment(this.crashesWhileRunning, fingerprint));
        for (const { process, quarantine } of this.routers) {
            const report = { kind: QuarantineMessageKind.Crash, crash, fingerprints };
            this.clock.schedule(
                networkLatencyMilliseconds,
                () => process.run(() => void quarantine.handle(report)),
            );
        }
        for (const attempt of [...agent.attempts.values()]) {
            this.endAttempt(agent, attempt, "interrupted");
        }
        this.clock.schedule(restartMilliseconds, () => {
            agent.isUp = true;
        });
    }

    private startRouter(index: number): Router {
        const process = new SimulatedProcess(this.clock);
        const quarantine: Quarantine = createQuarantine({
            clock: process.clock,
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            broadcast: async (message) => {
                await sleep(process.clock, networkLatencyMilliseconds);
                const others = (this.routers ?? []).filter((_, other) => other !== index);
                return others.map((other) => other.quarantine.handle(message));
            },
        });
        return { process, quarantine, ready: quarantine.start() };
    }

    private async serve(
        process: SimulatedProcess,
        quarantine: Quarantine,
        request: SiteRequest,
    ): Promise<void> {
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const isolationLevel = quarantine.isolationLevel(request.fingerprint);
            if (isolationLevel === IsolationLevel.Quarantined) {
                request.reportedOutcome = "quarantined";
                return;
            }
            const isIsolated = isolationLevel === IsolationLevel.Isolated;
            const agent = this.selectAgent(request, isIsolated, attempt);
            const outcome = await process.receive(this.sendAttempt(agent, request, isIsolated));
            if (outcome === "answer" || outcome === "quarantined") {
                request.reportedOutcome = outcome;
                return isIsolated && outcome === "answer"
                    ? quarantine.recordIsolatedCompletion(request.fingerprint)
                    : undefined;
            }
            if (outcome === "interrupted" && !request.idempotent) {
                break;
            }
            await sleep(process.clock, outcome === "notRun" ? endpointRetryDelayMilliseconds : 0);
        }
        request.reportedOutcome = "failed";
    }

    private selectAgent(request: SiteRequest, isIsolated: boolean, attempt: number): Agent {
        if (isIsolated) {
            return rendezvousOrder(request.fingerprint, this.agents, (agent) => agent.name)[0];
        }
        return this.agents[(this.requests.indexOf(request) + attempt) % this.agents.length];
    }

    private sendAttempt(agent: Agent, request: SiteRequest, isIsolated: boolean): Promise<AttemptOutcome> {
        return new Promise((resolve) => {
            const id = String(this.attemptCount++);
            const settle = (outcome: AttemptOutcome) =>
                this.clock.schedule(networkLatencyMilliseconds, () => resolve(outcome));
            this.clock.schedule(networkLatencyMilliseconds, () => {
                agent.attempts.set(id, { id, request, settle });
                const { fingerprint } = request;
                this.applyGateStep(
                    agent,
                    agent.gate.enter({ id, fingerprint, isIsolated }, this.clock.wallTime()),
                );
            });
        });
    }

    private applyGateStep(agent: Agent, step: ReturnType<IsolationGate["enter"]>): void {
        for (const { id } of step.quarantined) {
            this.endAttempt(agent, agent.attempts.get(id), "quarantined");
        }
        for (const { id } of step.started) {
            const attempt = agent.attempts.get(id);
            if (attempt !== undefined && agent.isUp) {
                this.execute(agent, attempt);
            }
            else {
                this.endAttempt(agent, attempt, "notRun");
            }
        }
    }

    private execute(agent: Agent, attempt: Attempt): void {
        const { request } = attempt;
        const { incarnation } = agent;
        this.clock.schedule(request.crashes ? crashDelayMilliseconds : runMilliseconds, () => {
            if (agent.incarnation !== incarnation || !agent.attempts.has(attempt.id)) {
                return;
            }
            if (request.crashes) {
                increment(this.crashesCaused, request.fingerprint);
                this.crash(this.agents.indexOf(agent));
                return;
            }
            agent.gate.clear(request.fingerprint);
            this.endAttempt(agent, attempt, "answer");
        });
    }

    private endAttempt(agent: Agent, attempt: Attempt | undefined, outcome: AttemptOutcome): void {
        if (attempt !== undefined && agent.attempts.delete(attempt.id)) {
            attempt.settle(outcome);
            this.applyGateStep(agent, agent.gate.leave(attempt.id, this.clock.wallTime()));
        }
    }
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}
