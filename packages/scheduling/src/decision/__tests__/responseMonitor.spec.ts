import { expect } from "chai";
import { ResponseMonitor, ResponsePace } from "../responseMonitor.js";

const partInterval = 20;

/** A monitor that has learned its pace from eight answers, with one stream that has run since. */
function monitorFixture() {
    const monitor = new ResponseMonitor();
    const pace = new ResponsePace();
    let now = 10_000;
    let notifications = 0;
    const send = (isBlocked = () => false, expectedLatency = 40) =>
        monitor.open({ sentAt: now, expectedLatency, isBlocked, onOverdue: () => notifications += 1 }, pace);
    const receive = (duration: number) => {
        for (const end = now + duration; now < end;) {
            now += partInterval;
            monitor.recordPart(now, pace);
        }
    };
    for (let index = 0; index < 10; index++) {
        const answer = send();
        receive(40);
        answer.begin(now);
        receive(100);
        answer.close();
    }
    const stream = send();
    stream.begin(now);
    receive(200);
    return {
        monitor,
        stream,
        send,
        receive,
        notifications: () => notifications,
        isOverdue: (countFrom = -Infinity) => monitor.isOverdue(now, pace, countFrom),
        notify: () => monitor.notifyOverdue(now, pace, -Infinity),
        wait: (duration: number) => now += duration,
        now: () => now,
    };
}

describe("response monitor", () => {
    // Guards against streams that stay at an engine that sends nothing until their deadline.
    it("finds an endpoint overdue that pauses for much longer than usual, until it sends again", () => {
        const { isOverdue, monitor, notifications, notify, receive, wait, now } = monitorFixture();
        wait(300);
        expect(isOverdue()).to.equal(false);
        wait(300);
        expect(isOverdue()).to.equal(true);
        monitor.declareSilent(now(), 1_000);
        notify();
        expect(notifications()).to.equal(1);
        expect(monitor.isAvoided(now(), true)).to.equal(true);
        receive(partInterval);
        expect(isOverdue()).to.equal(false);
        expect(monitor.isUnresponsive(now())).to.equal(false);
    });

    // Guards against wrong findings about endpoints that are slow, idle, or wait for their caller.
    it("does not find an endpoint overdue that owes nothing, whose caller reads slowly, or whose prompt is long", () => {
        const { isOverdue, now, send, stream, wait } = monitorFixture();
        stream.close();
        wait(30_000);
        expect(isOverdue()).to.equal(false);
        send(() => true).begin(now());
        send(undefined, 3_000);
        wait(5_000);
        expect(isOverdue()).to.equal(false);
        wait(2_000);
        expect(isOverdue()).to.equal(true);
    });

    // Guards against endpoints that are left although the router itself was not running, so that it read nothing.
    it("counts silence only from the time at which the router runs again", () => {
        const { isOverdue, wait, now } = monitorFixture();
        wait(2_000);
        expect(isOverdue(now())).to.equal(false);
    });

    // Guards against endpoints that have recovered, and get no request that would show it.
    it("tries an unresponsive endpoint at intervals, with requests that may run again first", () => {
        const { monitor, send, wait, now } = monitorFixture();
        wait(600);
        monitor.declareSilent(now(), 1_000);
        wait(1_001);
        expect(monitor.isAvoided(now(), true)).to.equal(false);
        expect(monitor.isAvoided(now(), false)).to.equal(true);
        send();
        expect(monitor.isAvoided(now(), true)).to.equal(true);
        wait(2_001);
        expect(monitor.isAvoided(now(), false)).to.equal(false);
    });

    it("follows the reports of another router until they stop, or a later sign of life contradicts them", () => {
        const { monitor, receive, wait, now } = monitorFixture();
        wait(600);
        monitor.observePeer({ silentFor: 500 }, now());
        expect(monitor.isAvoided(now(), true)).to.equal(true);
        expect(monitor.report(now())).to.deep.equal({ answeredAge: 600 });
        wait(2_000);
        expect(monitor.isAvoided(now(), true)).to.equal(false);
        monitor.observePeer({ silentFor: 2_500 }, now());
        monitor.observePeer({ answeredAge: 100 }, now());
        expect(monitor.isAvoided(now(), true)).to.equal(false);
        monitor.observePeer({ silentFor: 50 }, now());
        receive(partInterval);
        expect(monitor.isAvoided(now(), true)).to.equal(false);
    });

    // Guards against a first outage after which later ones are found too late.
    it("hardly changes its estimate by an outage", () => {
        const { isOverdue, receive, wait } = monitorFixture();
        wait(19_000);
        receive(400);
        wait(700);
        expect(isOverdue()).to.equal(true);
    });
});
