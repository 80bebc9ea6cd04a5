/**
 * Small crowds of each kind of untrusted client.
 *
 * @module
 */
import { Ending, Identity, SendingMode, type UntrustedGroup } from "./untrustedClients.js";

/** What the clients of a crowd ask for. */
export type CrowdTarget = Pick<UntrustedGroup, "path" | "keyField">;

/** Number of clients, and what each of them sends in bytes. */
const crowds: Readonly<Record<SendingMode, Pick<UntrustedGroup, "clients" | "bytes">>> = {
    [SendingMode.Whole]: { clients: 40, bytes: 3_000_000 },
    [SendingMode.Pieces]: { clients: 40, bytes: 2_000_000 },
    [SendingMode.LargeChunks]: { clients: 40, bytes: 3_000_000 },
    [SendingMode.TinyChunks]: { clients: 60, bytes: 960_000 },
    [SendingMode.Pipelined]: { clients: 60, bytes: 500_000 },
    [SendingMode.PipelinedBodies]: { clients: 60, bytes: 500_000 },
    [SendingMode.HeadPieces]: { clients: 200, bytes: 60_000 },
    [SendingMode.ManyFields]: { clients: 100, bytes: 60_000 },
    [SendingMode.Trailers]: { clients: 100, bytes: 60_000 },
    [SendingMode.ChunkExtensions]: { clients: 60, bytes: 500_000 },
    [SendingMode.ExpectContinue]: { clients: 40, bytes: 3_000_000 },
    [SendingMode.SecureBytes]: { clients: 60, bytes: 60_000 },
};

const identities = Object.values(Identity);

/** The crowd of a kind that ends in one way; the identities have equal parts of it. */
export function crowdOf(mode: SendingMode, ending: Ending, target: CrowdTarget): UntrustedGroup[] {
    return identities.map((identity) => ({
        ...target,
        mode,
        clients: Math.ceil(crowds[mode].clients / identities.length),
        bytes: crowds[mode].bytes,
        ending,
        identity,
    }));
}

/** All kinds of clients at once, which return, each at half of the size of its own crowd. */
export function mixedCrowd(target: CrowdTarget): UntrustedGroup[] {
    return Object.values(SendingMode).map((mode, index) => ({
        ...target,
        mode,
        clients: Math.ceil(crowds[mode].clients / 2),
        bytes: crowds[mode].bytes / 2,
        ending: Ending.Returns,
        identity: identities[index % identities.length],
    }));
}
