import { expect } from "chai";
import fc from "fast-check";
import { AnswerBody } from "../node/answerBody.js";

const seed = 39;

describe("body of an answer", () => {
    it("has the bytes of its chunks, in parts that are not small", () => {
        const sizes = fc.array(fc.oneof(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 0, max: 40_000 })));
        fc.assert(
            fc.property(sizes, (chunks) => {
                const body = new AnswerBody();
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
        const body = new AnswerBody();
        for (let count = 0; count < 100_000; count++) {
            body.append(Buffer.from("x"));
        }
        expect(body.parts()).to.have.length(7);
    });
});
