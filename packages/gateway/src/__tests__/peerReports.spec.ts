import { FakeClock } from "@redwingpin/common";
import { CrashTracker, FactKind, FleetState, WatcherSelection } from "@redwingpin/fleet";
import { type Hello, MessageKind, ProcessRole } from "@redwingpin/protocol";
import { AccountWork } from "@redwingpin/scheduling";
import { expect } from "chai";
import { DemandTracker, EndpointTable, noTolerance, PrefixIndex, SharedLedger } from "../index.js";
import { PeerReports } from "../node/peerReports.js";
import { accountFixture, endpointStateFixture, statusFixture } from "./gatewayFixture.js";

const peerAddress = { host: "10.0.0.2", port: 7_600 };
const agentAddress = { host: "127.0.0.1", port: 7_600 };

function helloFixture(role: ProcessRole, incarnation: string): Hello {
    return { kind: MessageKind.Hello, version: 1, role, instance: incarnation, incarnation, revision: 0 };
}

interface FixtureOptions {
    readonly desiredVersion?: number;
    readonly isOwner?: boolean;
    readonly endpoints?: number;
    readonly accountWork?: AccountWork;
}

function reportsFixture(more: FixtureOptions = {}) {
    const clock = new FakeClock(10_000);
    const ledger = new SharedLedger({ startsFull: true, tolerance: noTolerance, ownName: "own" });
    ledger.configure([accountFixture(), accountFixture({ name: "shops" })], 10_000);
    const endpointTable = new EndpointTable(() => {});
    const state = new FleetState();
    for (let index = 1; index <= (more.endpoints ?? 1); index++) {
        const { endpoint } = endpointStateFixture(`i-${index}`, { port: 8_999 + index });
        state.applyFact(
            { kind: FactKind.Endpoint, revision: index, instance: `i-${index}`, endpoint },
            10_000,
        );
    }
    endpointTable.update(state);
    const crashTracker = new CrashTracker();
    const reports = new PeerReports({
        clock,
        isFirstStart: true,
        ledger,
        endpointTable,
        crashTracker,
        demandTracker: new DemandTracker(),
        accountWork: () => more.accountWork,
        prefixIndex: new PrefixIndex(),
        unheardRouterNames: () => [],
        storeAnswerAge: () => undefined,
        watcherSelection: new WatcherSelection("10.0.0.1:7600", clock),
        isOwnerOf: () => more.isOwner ?? true,
        desiredVersion: () => more.desiredVersion ?? 1,
        agentOf: () => agentAddress,
    });
    return { endpointTable, clock, crashTracker, ledger, reports };
}

describe("reports to peers", () => {
    it("repeat unreported spending until it is delivered, and contain all spending after the peer's restart", () => {
        const { clock, ledger, reports } = reportsFixture();
        const peer = helloFixture(ProcessRole.Router, "first start");
        const spentIn = (hello: Hello) =>
            reports.reportFor(hello, peerAddress).spent.map((entry) => `${entry.account}=${entry.tokens}`);
        expect(spentIn(peer)).to.deep.equal(["makers=0", "shops=0"]);
        reports.recordDelivery(peer, peerAddress, reports.reportFor(peer, peerAddress));
        ledger.spend("shops", 300, clock.now());
        expect(spentIn(peer)).to.deep.equal(["shops=300"]);
        expect(spentIn(peer)).to.deep.equal(["shops=300"]);
        reports.recordDelivery(peer, peerAddress, reports.reportFor(peer, peerAddress));
        expect(spentIn(peer)).to.deep.equal([]);
        expect(spentIn(helloFixture(ProcessRole.Router, "second start")))
            .to.deep.equal(["makers=0", "shops=300"]);
    });

    // Guards against fairness by what one router sees, and against reports that a router without the setting rejects.
    it("contain the work of accounts where it is shared, and nothing of it elsewhere", () => {
        const accountWork = new AccountWork();
        const peer = helloFixture(ProcessRole.Router, "first start");
        const sender = reportsFixture({ accountWork });
        accountWork.record("makers", 700, 10_000);
        sender.reports.prepareReports(10_000);
        const report = sender.reports.reportFor(peer, peerAddress);
        expect(report.work).to.deep.equal([{ account: "makers", tokens: 700 }]);
        const receiver = new AccountWork();
        reportsFixture({ accountWork: receiver }).reports.observe(peer, report, peerAddress);
        expect(receiver.received("makers", 10_000)).to.equal(700);
        const without = reportsFixture();
        without.reports.observe(peer, report, peerAddress);
        without.reports.prepareReports(10_000);
        const reportWithout = without.reports.reportFor(peer, peerAddress);
        expect(reportWithout.work).to.equal(undefined);
        sender.reports.observe(peer, reportWithout, peerAddress);
        expect(accountWork.received("makers", 10_000)).to.equal(700);
    });

    it("contain crashes until they are delivered, and all of them after the peer's restart", () => {
        const { crashTracker, reports } = reportsFixture();
        const receiver = reportsFixture();
        const peer = helloFixture(ProcessRole.Router, "first start");
        const suspectsIn = (hello: Hello) =>
            reports.reportFor(hello, peerAddress).crashReport?.suspects.map(({ request }) => request);
        expect(suspectsIn(peer)).to.equal(undefined);
        for (const sentAt of [6_000, 7_000, 8_000]) {
            const crashed = {
                fingerprint: `sent at ${sentAt}`,
                parts: ["cause"],
                endpoint: "i-1",
                sentAt,
                hasSurvived: false,
            };
            crashTracker.recordCrash(crashed, sentAt + 100);
        }
        const expected = ["sent at 6000", "sent at 7000", "sent at 8000"];
        expect(suspectsIn(peer)).to.deep.equal(expected);
        expect(suspectsIn(peer)).to.deep.equal(expected);
        const report = reports.reportFor(peer, peerAddress);
        receiver.reports.observe(peer, report, peerAddress);
        reports.recordDelivery(peer, peerAddress, report);
        expect(suspectsIn(peer)).to.equal(undefined);
        expect(suspectsIn(helloFixture(ProcessRole.Router, "second start"))).to.deep.equal(expected);
        expect(receiver.crashTracker.refusedUntil("another", ["cause"], 10_000)).to.be.greaterThan(10_000);
    });

    // Guards against engines that crash anew under a known part after all routers have restarted at the same time.
    it("leave quarantines with agents, from which routers that have just started receive them", () => {
        const before = reportsFixture();
        for (const sentAt of [6_000, 7_000, 8_000]) {
            const crashed = {
                fingerprint: `sent at ${sentAt}`,
                parts: ["cause"],
                endpoint: "i-1",
                sentAt,
                hasSurvived: false,
            };
            before.crashTracker.recordCrash(crashed, sentAt + 100);
        }
        const agent = helloFixture(ProcessRole.Agent, "agent");
        const report = before.reports.reportFor(agent, agentAddress);
        expect(report.crashReport?.quarantined.map(({ name }) => name)).to.deep.equal(["cause"]);
        expect(report.crashReport?.suspects).to.deep.equal([]);
        before.reports.recordDelivery(agent, agentAddress, report);
        expect(before.reports.reportFor(agent, agentAddress).crashReport).to.equal(undefined);
        const started = reportsFixture();
        started.reports.observe(agent, report, agentAddress);
        expect(started.crashTracker.refusedUntil("another", ["cause"], 10_000)).to.be.greaterThan(10_000);
    });

    // Regression test: agents waited without end for the turn of a replica beside which no agent runs.
    it("leave out replicas whose agents have not been heard for some time", () => {
        const { clock, endpointTable, reports } = reportsFixture({ desiredVersion: 2, endpoints: 3 });
        const agent = helloFixture(ProcessRole.Agent, "agent");
        const addresses = () =>
            reports.reportFor(agent, agentAddress).service?.replicas.map(({ address }) => address);
        const all = [9_000, 9_001, 9_002].map((port) => `127.0.0.1:${port}`);
        reports.prepareReports(clock.now());
        expect(addresses()).to.deep.equal(all);
        clock.advance(3_000);
        [0, 1].forEach((index) =>
            endpointTable.observeStatus(statusFixture(1, { address: all[index] }), clock.now())
        );
        expect(addresses()).to.deep.equal(all);
        clock.advance(600);
        expect(addresses()).to.deep.equal(all.slice(0, 2));
        endpointTable.observeStatus(statusFixture(1, { address: all[2] }), clock.now());
        expect(addresses()).to.deep.equal(all);
    });

    // Guards against routers that each lose requests to an endpoint that others already know to be unresponsive.
    it("state that an endpoint is unresponsive, until another router reports a later sign of life", () => {
        const [finder, other] = [reportsFixture(), reportsFixture()];
        const responsesOf = ({ endpointTable }: typeof finder) =>
            endpointTable.ofService("drafting")[0].responses;
        const exchange = (from: typeof finder, to: typeof finder) =>
            to.reports.observe(
                helloFixture(ProcessRole.Router, from === finder ? "finder" : "other"),
                from.reports.reportFor(helloFixture(ProcessRole.Router, "receiver"), peerAddress),
                peerAddress,
            );
        responsesOf(finder).declareSilent(9_000, 8_000);
        exchange(finder, other);
        expect(responsesOf(other).isAvoided(10_000, true)).to.equal(true);
        const answered = other.endpointTable.ofService("drafting")[0];
        answered.running = 1;
        answered.recordAnswerPart(10_000);
        expect(responsesOf(other).isAvoided(10_000, true)).to.equal(false);
        exchange(other, finder);
        expect(responsesOf(finder).isSilent).to.equal(false);
    });

    it("contain levels only for a router that has just started", () => {
        const { clock, reports } = reportsFixture();
        const peer = helloFixture(ProcessRole.Router, "a");
        const levels = () => reports.reportFor(peer, peerAddress).levels.length;
        expect(levels()).to.equal(2);
        reports.observe(peer, { ...reports.reportFor(peer, peerAddress), age: 100 }, peerAddress);
        expect(levels()).to.equal(2);
        clock.advance(5_000);
        expect(levels()).to.equal(0);
    });

    it("relay the statuses of the agents that the router owns, with their ages; the latest status is used", () => {
        const sender = reportsFixture({ endpoints: 29 });
        const receiver = reportsFixture({ endpoints: 29, isOwner: false });
        const firstEndpointOf = ({ endpointTable }: typeof sender) => endpointTable.ofService("drafting")[0];
        const router = helloFixture(ProcessRole.Router, "sender");
        const status = statusFixture(2);
        firstEndpointOf(sender).observeStatus(status, 9_000);
        sender.reports.prepareReports(10_000);
        const report = sender.reports.reportFor(helloFixture(ProcessRole.Router, "receiver"), peerAddress);
        expect(report.replicas).to.deep.equal([{ status, age: 1_000 }]);
        receiver.reports.observe(router, report, peerAddress);
        expect(firstEndpointOf(receiver).statusAge(10_000)).to.equal(1_000);
        expect(firstEndpointOf(receiver).weightsVersion("drafting", 10_000)).to.equal(2);
        firstEndpointOf(receiver).observeStatus(statusFixture(3), 9_500);
        receiver.reports.observe(router, report, peerAddress);
        expect(firstEndpointOf(receiver).weightsVersion("drafting", 10_000)).to.equal(3);
        receiver.reports.prepareReports(10_000);
        expect(receiver.reports.reportFor(router, peerAddress).replicas).to.deep.equal([]);
    });

    it("relay no statuses in a fleet in which every router polls the agents itself", () => {
        const { endpointTable, reports } = reportsFixture({ endpoints: 9 });
        endpointTable.ofService("drafting")[0].observeStatus(statusFixture(2), 9_000);
        reports.prepareReports(10_000);
        const peer = helloFixture(ProcessRole.Router, "peer");
        expect(reports.reportFor(peer, peerAddress).replicas).to.deep.equal([]);
    });

    it("contain an agent's service only while a replica is behind, and only if the router owns the agent", () => {
        const agent = helloFixture(ProcessRole.Agent, "agent");
        const serviceOf = (more: Parameters<typeof reportsFixture>[0]) =>
            reportsFixture(more).reports.reportFor(agent, agentAddress).service;
        expect(serviceOf({ desiredVersion: 2 })?.replicas.length).to.equal(1);
        expect(serviceOf({ desiredVersion: 1 })).to.equal(undefined);
        expect(serviceOf({ desiredVersion: 2, isOwner: false })).to.equal(undefined);
    });
});
