/**
 * Small crowds of untrusted clients at each port of the programs of routes through agents, with heaps below the default. Checks
 * only what the speed of the machine does not change; see the spec of the platform's programs.
 *
 * @module
 */
import {
    crowdOf,
    Ending,
    mixedCrowd,
    runCrowd,
    SendingMode,
    type UntrustedGroup,
} from "@redwingpin/standins";
import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { type ProcessSite, startProcessSite, workshopKey } from "./processSite.js";

/** Memory in kilobytes: below the budget of a node, 256 MB, as the heaps are below their default. */
const maxMemory = 150_000;
const maxDescriptors = 300;

/** Time in milliseconds for which a crowd sends, and to wait for an ordinary request afterwards. */
const duration = 1_000;
const patience = 20_000;

const target = { path: "/services/status/x", keyField: `authorization: Bearer ${workshopKey}` };

/** Ports at which a crowd connects. */
enum Port {
    Callers = "callers of a router with agents",
    RouterInner = "inner connections of a router with agents",
    AgentHealth = "health of an agent with a queue",
    AgentInner = "inner connections of an agent with a queue",
}

function peakMemoryOf(pid: number): number {
    return Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]);
}

async function problemOf(response: Response): Promise<string | undefined> {
    return response.ok ? undefined : `status ${response.status}: ${await response.text()}`;
}

describe("untrusted clients", () => {
    let site: ProcessSite;

    beforeEach(async function() {
        if (process.platform !== "linux") {
            this.skip();
        }
        site = await startProcessSite({
            maxConnections: 200,
            maxBufferedBytes: 16_000_000,
            flags: ["--max-old-space-size=40", "--max-semi-space-size=2"],
        });
    });

    afterEach(() => site.stop());

    function expectWithinBounds(): void {
        for (const { child, lines, name } of site.programs) {
            const end = child.exitCode ?? child.signalCode;
            expect(end, `${name} ended:\n${lines.slice(-20).join("\n")}`).to.equal(null); // eslint-disable-line no-restricted-syntax -- ChildProcess states null
            expect(peakMemoryOf(child.pid!), `memory of ${name}`).to.be.within(1, maxMemory);
            const descriptors = readdirSync(`/proc/${child.pid}/fd`).length;
            expect(descriptors, `descriptors of ${name}`).to.be.within(1, maxDescriptors);
        }
    }

    async function expectAnswers(
        description: string,
        ask: (signal: AbortSignal) => Promise<Response>,
    ): Promise<void> {
        const end = Date.now() + patience;
        for (;;) {
            expectWithinBounds();
            const problem = await ask(AbortSignal.timeout(4_000)).then(problemOf, String);
            if (problem === undefined) {
                return;
            }
            expect(Date.now(), `time for ${description}; ${problem}`).to.be.lessThan(end);
            await new Promise((resolve) => setTimeout(resolve, 50));
        }
    }

    async function expectServesBeside(port: Port, groups: readonly UntrustedGroup[]): Promise<void> {
        const ports: Record<Port, number> = {
            [Port.Callers]: site.ports.callers,
            [Port.RouterInner]: site.ports.routerInner,
            [Port.AgentHealth]: site.ports.agentHealth,
            [Port.AgentInner]: site.ports.agentInner,
        };
        const crowd = await runCrowd({ host: "127.0.0.1", port: ports[port], groups, duration });
        try {
            await expectAnswers("an ordinary call", (signal) =>
                fetch(`${site.address}/services/status/x`, {
                    method: "POST",
                    headers: { authorization: `Bearer ${workshopKey}` },
                    body: "x".repeat(1_000),
                    signal,
                }));
            await expectAnswers("readiness", (signal) => fetch(`${site.address}/ready`, { signal }));
            await expectAnswers(
                "metrics of the agent",
                (signal) => fetch(`http://127.0.0.1:${site.ports.agentHealth}/metrics`, { signal }),
            );
        }
        finally {
            await crowd.close();
        }
    }

    for (const port of Object.values(Port)) {
        for (const mode of Object.values(SendingMode)) {
            // Guards against a process that is ended, or kept from all other work, by one kind of client.
            it(`at the port for ${port}: ${mode}`, () =>
                expectServesBeside(
                    port,
                    Object.values(Ending).flatMap((ending) => crowdOf(mode, ending, target)),
                ));
        }

        // Guards against limits that each hold, and together exceed what the process has.
        it(`at the port for ${port}: all kinds at once, which return`, () =>
            expectServesBeside(port, mixedCrowd(target)));
    }
});
