import { expect } from "chai";
import fc from "fast-check";
import { Readable } from "node:stream";
import { ByteCollector, readText } from "../byteCollector.js";

const seed = 39;

describe("collected bytes", () => {
    it("has the bytes of its chunks, in parts that are not small", () => {
        const sizes = fc.array(fc.oneof(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 0, max: 40_000 })));
        fc.assert(
            fc.property(sizes, (chunks) => {
                const body = new ByteCollector();
                const expected = chunks.map((size, index) => Buffer.alloc(size, index + 1));
                expected.forEach((chunk) => body.append(chunk));
                const bytes = Buffer.concat(expected);
                expect(body.length).to.equal(bytes.length);
                expect(Buffer.concat(body.parts()).equals(bytes)).to.equal(true);
            }),
            { seed },
        );
    });

    // Guards against answers in small chunks, whose objects take hundreds of times the memory of their bytes.
    it("does not keep an object for each small chunk", () => {
        const body = new ByteCollector();
        for (let count = 0; count < 100_000; count++) {
            body.append(Buffer.from("x"));
        }
        expect(body.parts()).to.have.length(7);
    });

    it("become text up to a maximum size, and are not read further", async () => {
        let chunks = 0;
        async function* endless() {
            for (;;) {
                chunks += 1;
                yield Promise.resolve(Buffer.from("xyz"));
            }
        }
        let error: unknown;
        await readText(endless(), 100).catch((reason: unknown) => error = reason);
        expect(String(error)).to.include("more than 100 bytes");
        expect(chunks).to.equal(34);
        expect(
            await readText(
                Readable.from([Buffer.from("h\u00e9").subarray(0, 2), Buffer.from("\u00e9").subarray(1)]),
                3,
            ),
        )
            .to.equal("h\u00e9");
    });
});
