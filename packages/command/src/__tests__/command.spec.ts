import { sha256Hex, silentLogger, systemClock } from "@redwingpin/common";
import { formatManifest, type Manifest } from "@redwingpin/manifest";
import { InnerNode, OperatorMessageKind, parseFleetKeys, ProcessRole, Topic } from "@redwingpin/protocol";
import {
    type Standin,
    startStoreStandin,
    startVirtualMachineListStandin,
    virtualMachinesPath,
} from "@redwingpin/standins";
import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ExitCode } from "../exitCodes.js";
import { runCommand } from "./commandFixture.js";

const fleetKey = "fleet key of the command's tests";

function manifestFixture(...names: readonly string[]): Manifest {
    const accounts = names.map((name) => ({ name, tokensPerSecond: 10, burstTokens: 100, keys: [] }));
    return { models: [], pools: [], accounts, routes: [] };
}

interface RouterFixture {
    readonly node: InnerNode;
    readonly port: number;
    revision: number;
}

async function startRouterFixture(instance: string, revision: number): Promise<RouterFixture> {
    const fixture = { revision, port: 0 };
    const node = new InnerNode({
        role: ProcessRole.Router,
        instance,
        incarnation: "1",
        fleetKeys: parseFleetKeys(fleetKey)._unsafeUnwrap(),
        clock: systemClock,
        logger: silentLogger,
        revision: () => result.revision,
        onRevision: () => {},
        onMessage: () => {},
        onClosed: () => {},
    });
    node.handle(Topic.Operator, async (body) => {
        expect(body).to.deep.equal({ kind: OperatorMessageKind.Status });
        return {
            instance,
            role: ProcessRole.Router,
            dataCentre: "hobart",
            revision: result.revision,
            ready: true,
            refusals: [{ reason: "rate_exceeded", count: 2 }, { reason: "queue_full", count: 0 }],
            accounts: [{ account: "maker", usedShare: 0.95 }, { account: "rival", usedShare: 0.1 }],
        };
    });
    const result: RouterFixture = { ...fixture, node, port: await node.listen("127.0.0.1", 0) };
    return result;
}

describe("command", () => {
    let folder: string;
    let store: Standin;
    let environment: NodeJS.ProcessEnv;
    const cleanups: (() => unknown)[] = [];

    function writeManifest(text: string): string {
        const file = join(folder, "site.yaml");
        writeFileSync(file, text);
        return file;
    }

    async function listRouters(...routers: readonly { instance: string; port: number; }[]): Promise<void> {
        const list = await startVirtualMachineListStandin({
            port: 0,
            virtualMachines: routers.map((router) => ({
                targets: [`127.0.0.1:${router.port}`],
                labels: {
                    instance: router.instance,
                    role: "router",
                    data_centre: "hobart",
                    leaving: "false",
                },
            })),
        });
        cleanups.push(() => list.stop());
        const address = list.address.endsWith(virtualMachinesPath)
            ? list.address
            : `${list.address}${virtualMachinesPath}`;
        environment = { ...environment, REDWINGPIN_VM_LIST_ADDRESS: address };
    }

    beforeEach(async () => {
        folder = mkdtempSync(join(tmpdir(), "redwingpin-"));
        store = await startStoreStandin({ port: 0 });
        environment = { REDWINGPIN_STORE_ADDRESS: store.address, REDWINGPIN_FLEET_KEY: fleetKey };
    });

    afterEach(async () => {
        for (const cleanup of cleanups.splice(0)) {
            await cleanup();
        }
        await store.stop();
        rmSync(folder, { recursive: true });
    });

    it("reports all findings of a manifest together", async () => {
        const file = writeManifest("models: []\npools: []\naccounts: [{ name: a }]\nroutes: 1\n");
        const run = await runCommand(["manifest", "check", file]);
        expect(run.exitCode).to.equal(ExitCode.ManifestFindings);
        expect(run.stderr).to.contain(`${file}:3:12 accounts[0]: field "tokensPerSecond" is missing`);
        expect(run.stderr).to.contain(`${file}:3:12 accounts[0]: field "burstTokens" is missing`);
        expect(run.stderr).to.contain(`${file}:4:9 routes: 1 must be array`);
    });

    it("reports an unreadable file and missing settings", async () => {
        const missing = await runCommand(["manifest", "check", join(folder, "none.yaml"), "--json"]);
        expect(missing.exitCode).to.equal(ExitCode.ManifestFindings);
        expect(JSON.parse(missing.stdout).findings).to.have.length(1);
        const unset = await runCommand(["status"]);
        expect(unset.exitCode).to.equal(ExitCode.BadSettings);
        expect(unset.stderr).to.contain("REDWINGPIN_VM_LIST_ADDRESS").and.to.contain("REDWINGPIN_FLEET_KEY");
    });

    it("applies and shows a manifest, and reports a revision that was accepted first", async () => {
        const empty = await runCommand(["manifest", "show", "--json"], environment);
        expect(JSON.parse(empty.stdout)).to.deep.equal({ revision: 0 });
        const file = writeManifest(formatManifest(manifestFixture("a")));
        const applied = await runCommand(["manifest", "apply", file, "--json"], environment);
        expect(applied.exitCode).to.equal(ExitCode.Done);
        expect(JSON.parse(applied.stdout)).to.include({ revision: 1, changed: true });
        writeManifest(formatManifest(manifestFixture("a", "b")));
        const rejected = await runCommand(
            ["manifest", "apply", file, "--expect-revision", "7", "--json"],
            environment,
        );
        expect(rejected.exitCode).to.equal(ExitCode.LostRace);
        expect(JSON.parse(rejected.stdout)).to.include({ error: "lostRace", revision: 1 });
        const shown = await runCommand(["manifest", "show", "--json"], environment);
        expect(JSON.parse(shown.stdout)).to.deep.include({ revision: 1, manifest: manifestFixture("a") });
    });

    it("reports that nothing was changed while the store is down", async () => {
        const file = writeManifest(formatManifest(manifestFixture("a")));
        const down = { ...environment, REDWINGPIN_STORE_ADDRESS: "http://127.0.0.1:1" };
        const run = await runCommand(["manifest", "apply", file], down);
        expect(run.exitCode).to.equal(ExitCode.StoreUnavailable);
        expect(run.stderr).to.contain("nothing was changed");
    });

    it("waits until a manifest is in force everywhere, and reports the processes that are behind", async () => {
        const router = await startRouterFixture("r1", 0);
        const behindRouter = await startRouterFixture("r2", 0);
        cleanups.push(() => router.node.stop(), () => behindRouter.node.stop());
        await listRouters({ instance: "r1", port: router.port }, { instance: "r2", port: behindRouter.port });
        const file = writeManifest(formatManifest(manifestFixture("a")));
        router.revision = 1;
        const args = ["manifest", "apply", file, "--wait", "--wait-seconds", "1", "--json"];
        const behind = await runCommand(args, environment);
        expect(behind.exitCode).to.equal(ExitCode.NotInForce);
        expect(JSON.parse(behind.stdout)).to.deep.include({ behind: ["r2"], inForce: false });
        behindRouter.revision = 1;
        expect((await runCommand(args, environment)).exitCode).to.equal(ExitCode.Done);
    });

    it("shows the revision of each process and a summary of the fleet", async () => {
        const router = await startRouterFixture("r1", 4);
        cleanups.push(() => router.node.stop());
        await listRouters({ instance: "r1", port: router.port }, { instance: "gone", port: 1 });
        const status = await runCommand(["manifest", "status"], environment);
        expect(status.stdout).to.contain("r1 (router, hobart): revision 4");
        expect(status.stdout).to.contain("gone (router, hobart): not reached");
        const fleet = await runCommand(["status", "--json"], environment);
        expect(JSON.parse(fleet.stdout)).to.deep.include({
            revisions: [{ revision: 4, processes: 1 }],
            unreachable: ["gone"],
            accounts: [{ account: "maker", usedShare: 0.95 }],
            refusals: [{ reason: "rate_exceeded", count: 2 }],
        });
    });

    it("prints the digest of a key from standard input", async () => {
        const run = await runCommand(["key", "digest"], {}, "a-key-of-twenty-signs\n");
        expect(run.stdout).to.equal(`sha256:${sha256Hex("a-key-of-twenty-signs")}\n`);
        expect((await runCommand(["key", "digest"], {}, "short")).exitCode).to.equal(ExitCode.Failed);
    });
});
