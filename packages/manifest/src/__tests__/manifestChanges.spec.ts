import { expect } from "chai";
import fc from "fast-check";
import { applyChanges, canonicalJson, ChangeKind, diffManifest } from "../manifestChanges.js";
import { isManifestChanges } from "../manifestShape.js";
import { ShardedManifest } from "../shardedManifest.js";
import { manifestArbitrary, manifestFixture } from "./manifestFixture.js";

describe("manifest: changes", () => {
    it("fuzz: the changes turn one manifest into the other, both whole and sharded", () => {
        fc.assert(
            fc.property(
                manifestArbitrary,
                manifestArbitrary,
                fc.constantFrom(1, 2, 8),
                (before, after, count) => {
                    const changes = diffManifest(before, after);
                    expect(isManifestChanges(JSON.parse(JSON.stringify(changes)))).to.equal(true);
                    const expected = ShardedManifest.from(after, count);
                    expect(canonicalJson(applyChanges(before, changes)))
                        .to.equal(canonicalJson(expected.toManifest()));
                    expect(ShardedManifest.from(before, count).apply(changes).digest).to.equal(
                        expected.digest,
                    );
                },
            ),
            { seed: 12, numRuns: 500 },
        );
    });

    it("describes a removed key without the rest of the account", () => {
        const before = manifestFixture();
        const after = manifestFixture({ accounts: [{ ...before.accounts[0], keys: [] }] });
        expect(diffManifest(before, after)).to.deep.equal([
            { kind: ChangeKind.RemoveKey, account: "maker", keyName: "first" },
        ]);
    });

    it("keeps every shard far below one megabyte, the store's limit, with 4,200 accounts", () => {
        const [account] = manifestFixture().accounts;
        const accounts = Array.from({ length: 4200 }, (_, index) => ({
            ...account,
            name: `account-${index}`,
            keys: [0, 1, 2].map((key) => ({ name: `key-${key}`, digest: account.keys[0].digest })),
        }));
        const sharded = ShardedManifest.from(manifestFixture({ accounts }));
        const sizes = sharded.shards.map((shard) => canonicalJson(shard.items).length);
        expect(sizes.reduce((sum, size) => sum + size)).to.be.greaterThan(1024 * 1024);
        expect(Math.max(...sizes)).to.be.lessThan(256 * 1024);
    });
});
