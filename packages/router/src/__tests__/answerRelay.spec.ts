import { expect } from "chai";
import type { ServerResponse } from "node:http";
import { PassThrough } from "node:stream";
import { AnswerRelay } from "../node/answerRelay.js";

const part = 65_536;

/** A relay of a completion stream to a response that discards what it gets. */
function relayFixture(): AnswerRelay {
    const response = Object.assign(new PassThrough().resume(), { writeHead: () => {} });
    const relay = new AnswerRelay(response as unknown as ServerResponse, {
        isCompletionStream: true,
        onFirstByte: () => {},
    });
    relay.begin(200, [{ name: "content-type", value: "text/event-stream" }]);
    return relay;
}

describe("relay of a completion stream", () => {
    // Guards against a router that reads and holds without a bound what an endpoint sends that is no event.
    for (
        const [what, start, repeated] of [
            ["an event without end", "data: ", "x"],
            ["line feeds without end", "data: 1\n\n", "\n"],
            ["bytes without end after the end event", "data: [DONE]\n\n", "data: 2\n\n"],
        ]
    ) {
        it(`reports ${what}`, async () => {
            const relay = relayFixture();
            await relay.write(Buffer.from(start));
            let parts = 0;
            while (!relay.isOverlong && parts < 64) {
                await relay.write(Buffer.from(repeated.repeat(part / repeated.length)));
                parts += 1;
            }
            expect(parts).to.be.within(16, 18);
        });
    }

    it("accepts any number of events", async () => {
        const relay = relayFixture();
        for (let parts = 0; parts < 64; parts++) {
            await relay.write(Buffer.from("data: 2\n\n".repeat(part / 9)));
        }
        expect(relay.isOverlong).to.equal(false);
    });
});
