/**
 * A simulated site for the quarantine: routers that retry, agents with a gate before their endpoint, and endpoints
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

const startOfTime = 1_000_000;
const storeLatency = 10;
const networkLatency = 5;
const runDuration = 100;
const crashAfter = 50;
const restartDuration = 200;
const maximumAttempts = 8;
const waitForEndpoint = 100;
const gateOptions = { duration: 600_000, maximumSuspects: 100 };

/** A request of a caller. */
export interface SiteRequest {
    readonly fingerprint: string;
    /** True where it crashes the endpoint that runs it. */
    readonly crashes: boolean;
    readonly idempotent: boolean;
    told: "answer" | "quarantined" | "failed" | undefined;
}

type AttemptEnd = "answer" | "quarantined" | "notRun" | "broken";

interface Attempt {
    readonly id: string;
    readonly request: SiteRequest;
    readonly end: (outcome: AttemptEnd) => void;
}

interface Agent {
    readonly name: string;
    readonly gate: IsolationGate;
    readonly attempts: Map<string, Attempt>;
    incarnation: number;
    up: boolean;
}

interface Router {
    readonly process: SimulatedProcess;
    readonly quarantine: Quarantine;
    /** Resolves when the balancer sends requests to the router. */
    readonly ready: Promise<void>;
}

/** The simulated site. */
export class QuarantineSite {
    readonly clock = new FakeClock(startOfTime);
    readonly store = new MemoryStore(this.clock, storeLatency);
    /** Crashes that a request caused, by its fingerprint. */
    readonly crashesCaused = new Map<string, number>();
    /** Crashes at which a request ran, by its fingerprint. */
    readonly crashesSeen = new Map<string, number>();
    readonly requests: SiteRequest[] = [];
    private readonly agents: Agent[];
    private readonly routers: Router[];
    private attempts = 0;

    constructor(routerCount: number, agentCount: number) {
        this.agents = Array.from({ length: agentCount }, (_, index) => ({
            name: `agent-${index}`,
            gate: new IsolationGate(gateOptions),
            attempts: new Map(),
            incarnation: 1,
            up: true,
        }));
        this.routers = Array.from({ length: routerCount }, (_, index) => this.startRouter(index));
    }

    /** Kills a router and starts another in its place, which serves once it has asked the others. */
    restartRouter(index: number): void {
        this.routers[index].process.kill();
        this.routers[index] = this.startRouter(index);
    }

    /** Sends a request through a router; resolves once the caller is told something. */
    async send(router: number, request: SiteRequest): Promise<void> {
        this.requests.push(request);
        const { process, quarantine, ready } = this.routers[router];
        await ready;
        process.run(() => void this.serve(process, quarantine, request));
    }

    /** Ends whatever an endpoint runs; it comes back a little later. */
    crash(index: number): void {
        const agent = this.agents[index];
        if (!agent.up) {
            return;
        }
        agent.up = false;
        const crash = { id: `${agent.name}/${agent.incarnation++}`, at: this.clock.wallTime() };
        const fingerprints = agent.gate.recordCrash(this.clock.wallTime());
        fingerprints.forEach((fingerprint) => increment(this.crashesSeen, fingerprint));
        for (const { process, quarantine } of this.routers) {
            const report = { kind: QuarantineMessageKind.Crash, crash, fingerprints };
            this.clock.schedule(networkLatency, () => process.run(() => void quarantine.handle(report)));
        }
        for (const attempt of [...agent.attempts.values()]) {
            this.endAttempt(agent, attempt, "broken");
        }
        this.clock.schedule(restartDuration, () => {
            agent.up = true;
        });
    }

    private startRouter(index: number): Router {
        const process = new SimulatedProcess(this.clock);
        const quarantine: Quarantine = createQuarantine({
            clock: process.clock,
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            broadcast: async (message) => {
                await sleep(process.clock, networkLatency);
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
            const treatment = quarantine.isolationLevel(request.fingerprint);
            if (treatment === IsolationLevel.Quarantined) {
                request.told = "quarantined";
                return;
            }
            const apart = treatment === IsolationLevel.Isolated;
            const agent = this.choose(request, apart, attempt);
            const end = await process.receive(this.attempt(agent, request, apart));
            if (end === "answer" || end === "quarantined") {
                request.told = end;
                return apart && end === "answer"
                    ? quarantine.recordIsolatedCompletion(request.fingerprint)
                    : undefined;
            }
            if (end === "broken" && !request.idempotent) {
                break;
            }
            await sleep(process.clock, end === "notRun" ? waitForEndpoint : 0);
        }
        request.told = "failed";
    }

    private choose(request: SiteRequest, apart: boolean, attempt: number): Agent {
        if (apart) {
            return rendezvousOrder(request.fingerprint, this.agents, (agent) => agent.name)[0];
        }
        return this.agents[(this.requests.indexOf(request) + attempt) % this.agents.length];
    }

    private attempt(agent: Agent, request: SiteRequest, apart: boolean): Promise<AttemptEnd> {
        return new Promise((resolve) => {
            const id = String(this.attempts++);
            const end = (outcome: AttemptEnd) => this.clock.schedule(networkLatency, () => resolve(outcome));
            this.clock.schedule(networkLatency, () => {
                agent.attempts.set(id, { id, request, end });
                const { fingerprint } = request;
                this.carryOut(agent, agent.gate.enter({ id, fingerprint, apart }, this.clock.wallTime()));
            });
        });
    }

    private carryOut(agent: Agent, step: ReturnType<IsolationGate["enter"]>): void {
        for (const { id } of step.quarantined) {
            this.endAttempt(agent, agent.attempts.get(id), "quarantined");
        }
        for (const { id } of step.started) {
            const attempt = agent.attempts.get(id);
            if (attempt !== undefined && agent.up) {
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
        this.clock.schedule(request.crashes ? crashAfter : runDuration, () => {
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

    private endAttempt(agent: Agent, attempt: Attempt | undefined, outcome: AttemptEnd): void {
        if (attempt !== undefined && agent.attempts.delete(attempt.id)) {
            attempt.end(outcome);
            this.carryOut(agent, agent.gate.leave(attempt.id, this.clock.wallTime()));
        }
    }
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}
