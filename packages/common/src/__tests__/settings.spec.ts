import { expect } from "chai";
import {
    parseHttpAddress,
    parseInteger,
    parseText,
    resolveSettings,
    type SettingTable,
} from "../settings.js";

interface Resolved {
    port: number;
    store: string;
    fleetKey: string;
}

function table(): SettingTable<Resolved> {
    return {
        port: {
            variable: "REDWINGPIN_PORT",
            description: "port to listen on",
            defaultText: "8080",
            parse: parseInteger(0, 65535),
        },
        store: { variable: "REDWINGPIN_STORE", description: "address of the store", parse: parseHttpAddress },
        fleetKey: {
            variable: "REDWINGPIN_FLEET_KEY",
            description: "fleet key",
            secret: true,
            parse: parseText,
        },
    };
}

describe("resolveSettings", () => {
    it("prefers flags to the environment and uses defaults for settings not given", () => {
        const environment = { REDWINGPIN_STORE: "http://127.0.0.1:1/", REDWINGPIN_FLEET_KEY: "k" };
        const settings = resolveSettings(table(), { store: "http://127.0.0.1:2" }, environment)
            ._unsafeUnwrap();
        expect(settings).to.deep.equal({ port: 8080, store: "http://127.0.0.1:2", fleetKey: "k" });
    });

    it("reports all findings together, each with its setting", () => {
        const findings = resolveSettings(table(), { port: "x", fleetKey: "from a flag" }, {})
            ._unsafeUnwrapErr();
        expect(findings.map((finding) => finding.place)).to.deep.equal([
            "--port (REDWINGPIN_PORT)",
            "--store (REDWINGPIN_STORE)",
            "REDWINGPIN_FLEET_KEY",
        ]);
    });
});
