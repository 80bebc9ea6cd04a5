import { expect } from "chai";
import { explainRequest, parseLogLines } from "../requestExplanation.js";

function line(second: number, instance: string, message: string, fields: Record<string, unknown>): string {
    const timestamp = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
    return `  ${second}.0 ${instance} ${JSON.stringify({ timestamp, instance, message, ...fields })}`;
}

describe("explanation of a request", () => {
    it("reports the refusal with its reason and detail", () => {
        const text = line(5, "router-1", "refused", {
            request: "a",
            reason: "rate_exceeded",
            status: 429,
            detail: 'account "makers" has used up its rate',
            level: -300,
        });
        const { cause } = explainRequest(parseLogLines(text), "a");
        expect(cause).to.equal(
            'router-1 refused the request with status 429: rate_exceeded (account "makers" has used up its rate)',
        );
    });

    it("reports the failed attempt and the state of its endpoint at that router", () => {
        const text = [
            line(9, "router-1", "request", { request: "a", outcome: "unknown" }),
            line(8, "router-1", "attempt", {
                request: "a",
                attempt: 1,
                endpoint: "i-1",
                outcome: "broken",
                detail: "aborted",
                took: 700,
                events: 3,
            }),
            line(7, "router-1", "endpoint changed", { endpoint: "i-1", state: "ready" }),
            line(7, "router-1", "endpoint changed", { endpoint: "i-2", state: "ready" }),
            line(7, "router-2", "endpoint changed", { endpoint: "i-1", state: "gone" }),
            line(8, "router-1", "attempt", { request: "b", endpoint: "i-1", outcome: "delivered" }),
        ].join("\n");
        const { cause, lines } = explainRequest(parseLogLines(text), "a");
        expect(lines.map(({ message }) => message)).to.deep.equal(["endpoint changed", "attempt", "request"]);
        expect(cause).to.equal(
            "attempt 1 at endpoint i-1 ended as broken: aborted, after 700 ms and 3 events",
        );
    });

    it("reports that no line names the request, and skips lines that are not JSON", () => {
        const { cause, decidingLine } = explainRequest(parseLogLines("{ no json\nplain text\n"), "a");
        expect(decidingLine).to.equal(undefined);
        expect(cause).to.contain('no line names request "a"');
    });

    it("reports the end of a request that was delivered after a failed attempt", () => {
        const text = [
            line(1, "router-1", "attempt", { request: "a", outcome: "failed", endpoint: "i-1" }),
            line(2, "router-1", "attempt", { request: "a", outcome: "delivered", endpoint: "i-2" }),
            line(3, "router-1", "request", { request: "a", outcome: "delivered" }),
        ].join("\n");
        expect(explainRequest(parseLogLines(text), "a").decidingLine?.message).to.equal("request");
    });
});
