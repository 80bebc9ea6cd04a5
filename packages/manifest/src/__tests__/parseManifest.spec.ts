import { formatFindings } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import { stringify } from "yaml";
import type { Manifest } from "../manifest.js";
import { parseManifest } from "../parseManifest.js";
import { manifestFixture } from "./manifestFixture.js";

function findingsOf(text: string): string {
    return formatFindings(parseManifest(text, "file.yaml")._unsafeUnwrapErr());
}

describe("manifest: parse", () => {
    it("parses both YAML and JSON", () => {
        const manifest = manifestFixture();
        expect(parseManifest(stringify(manifest), "file.yaml")._unsafeUnwrap()).to.deep.equal(manifest);
        expect(parseManifest(JSON.stringify(manifest), "file.json")._unsafeUnwrap()).to.deep.equal(manifest);
    });

    it("reports every schema finding with line and path", () => {
        const lines = [
            "models: []",
            "pools: []",
            "accounts:",
            "  - name: maker",
            "    tokensPerSecond: -1",
            "    burstTokens: 100",
            "    keys: [{ name: k, digest: abc }]",
            "  - tokensPerSecond: 1",
            "    burstTokens: 100",
            "routes: []",
            "extra: 1",
        ];
        const text = findingsOf(lines.join("\n"));
        expect(text).to.contain("file.yaml:5:22 accounts[0].tokensPerSecond: -1 must be > 0");
        expect(text).to.contain("accounts[0].keys[0].digest");
        expect(text).to.contain(`file.yaml:8:5 accounts[1]: field "name" is missing`);
        expect(text).to.contain(`file.yaml:11:8 extra: field "extra" is not allowed`);
    });

    it("reports every invalid reference and every duplicate", () => {
        const manifest = manifestFixture();
        const invalid: Manifest = {
            ...manifest,
            models: [],
            accounts: [
                ...manifest.accounts,
                { ...manifest.accounts[0], name: "rival" },
                manifest.accounts[0],
            ],
            routes: manifest.routes.map((route) => ({ ...route, pool: "nowhere" })),
        };
        const text = findingsOf(stringify(invalid));
        expect(text).to.contain(`pools[0].model: model "drafting" does not exist`);
        expect(text).to.contain(`routes[0].pool: pool "nowhere" does not exist`);
        expect(text).to.contain(`routes[1].pool: pool "nowhere" does not exist`);
        expect(text).to.contain(`account "maker" is listed twice`);
        expect(text).to.contain(`key "first" of account "rival" is already a key of account "maker"`);
    });

    it("reports a route with an unknown version, adapter and account", () => {
        const [route, ...rest] = manifestFixture().routes;
        const changed = {
            ...route,
            version: "v9",
            adapter: "rude",
            access: { open: false, accounts: ["nobody"] },
        };
        const text = findingsOf(stringify({ ...manifestFixture(), routes: [changed, ...rest] }));
        expect(text).to.contain(`model "drafting": version "v9" does not exist`);
        expect(text).to.contain(`model "drafting": adapter "rude" does not exist`);
        expect(text).to.contain(`account "nobody" does not exist`);
    });

    it("rejects a burst too small for one request", () => {
        const [account] = manifestFixture().accounts;
        const text = findingsOf(
            stringify(manifestFixture({ accounts: [{ ...account, burstTokens: 1 }] })),
        );
        expect(text).to.contain("accounts[0].burstTokens: 1 must be >= 16");
    });

    it("reports a YAML syntax error with its line", () => {
        expect(findingsOf("models: []\nroutes: [")).to.contain("file.yaml:2:");
    });

    it("fuzz: never throws for any text", () => {
        const pieces = fc.constantFrom(
            "models",
            "accounts",
            ":",
            "-",
            "[",
            "{",
            "*a",
            "&a",
            "\n",
            "  ",
            "1",
            "!!x",
        );
        const text = fc.oneof(
            fc.string(),
            fc.array(pieces).map((parts) => parts.join(" ")),
            fc.json(),
            fc.tuple(fc.nat(), fc.string()).map(([position, inserted]) => {
                const whole = stringify(manifestFixture());
                const offset = position % whole.length;
                return whole.slice(0, offset) + inserted + whole.slice(offset + inserted.length);
            }),
        );
        fc.assert(
            fc.property(text, (input) => {
                const result = parseManifest(input, "file");
                expect(result.isOk() || result.error.length > 0).to.equal(true);
            }),
            { seed: 11, numRuns: 1000 },
        );
    });
});
