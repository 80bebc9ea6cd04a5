/**
 * Encodes a configuration for its transfer in parts, and serves the parts. An encoding is compressed JSON: a key is 64 hex
 * digits, so a configuration takes several times the bytes that it has in the store.
 *
 * @module
 */
import { type Clock, type Milliseconds, sha256Hex } from "@redwingpin/common";
import { err, ok, type Result } from "neverthrow";
import { promisify } from "node:util";
import { constants, gunzip, gzip } from "node:zlib";
import type { ConfigurationPart, TransferPosition } from "../decision/configurationAssembly.js";
import { FactKind, type FleetFact, type FleetState } from "../decision/fleetState.js";
import type { ConfigurationReply, FetchConfigurationCall } from "../fleetMessages.js";

/** Larger configurations are sent in parts. */
const maxWholeBytes = 65_536;

/** Size of a part: at 7 Mbit/s it delays other messages by 150 ms. */
const partBytes = 131_072;

/** A peer of an earlier release gets the whole configuration in one frame, if that stays below the limit of a frame. */
const maxFramedBytes = 2_000_000;

/** Peers to which parts are sent at a time: each further one slows all of them down. The others ask another peer. */
const maxReceivers = 2;

/** A peer that asks for no further part within this time has left. */
const receiverTimeout: Milliseconds = 1_000;

/** Maximum size of a decoded configuration. */
const maxDecodedBytes = 33_554_432;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

interface Encoding {
    readonly version: number;
    readonly digest: string;
    readonly bytes: Buffer;
}

/** Answers peers that fetch the configuration. */
export class ConfigurationServer<Peer> {
    /** Size of the JSON text of the current configuration. */
    private size: { readonly version: number; readonly bytes: number; } | undefined;
    /** The encoding of the current configuration while peers fetch it. */
    private encoding: { readonly version: number; readonly result: Promise<Encoding>; } | undefined;
    /** When each peer that receives parts last asked for one. */
    private readonly receivers = new Map<Peer, Milliseconds>();

    constructor(private readonly state: FleetState, private readonly clock: Clock) {}

    /** Answers a call. The answer is empty if there is no newer configuration, or too many peers fetch it. */
    answer(call: FetchConfigurationCall, peer: Peer): ConfigurationReply | Promise<ConfigurationReply> {
        const [fact] = this.state.configurationSince(call.version);
        if (fact?.kind !== FactKind.Configuration) {
            return { news: [] };
        }
        const size = this.sizeOf(fact);
        if (call.transfer === undefined || size <= maxWholeBytes) {
            return { news: size <= maxFramedBytes ? [fact] : [] };
        }
        return this.isAdmitted(peer) ? this.sendPart(fact, call.transfer, peer) : { news: [], busy: true };
    }

    /** Drops the encoding once no peer fetches it. */
    expire(): void {
        const now = this.clock.now();
        for (const [peer, askedAt] of this.receivers) {
            if (now - askedAt >= receiverTimeout) {
                this.receivers.delete(peer);
            }
        }
        if (this.receivers.size === 0) {
            this.encoding = undefined;
        }
    }

    private sizeOf(fact: FleetFact & { readonly kind: FactKind.Configuration; }): number {
        const { version } = fact.configuration;
        if (this.size?.version !== version) {
            this.size = { version, bytes: Buffer.byteLength(JSON.stringify(fact)) };
        }
        return this.size.bytes;
    }

    private isAdmitted(peer: Peer): boolean {
        this.expire();
        if (!this.receivers.has(peer) && this.receivers.size >= maxReceivers) {
            return false;
        }
        this.receivers.set(peer, this.clock.now());
        return true;
    }

    private async sendPart(
        fact: FleetFact & { readonly kind: FactKind.Configuration; },
        position: TransferPosition,
        peer: Peer,
    ): Promise<ConfigurationReply> {
        const { version } = fact.configuration;
        if (this.encoding?.version !== version) {
            this.encoding = { version, result: encode(fact) };
        }
        const { bytes, digest } = await this.encoding.result;
        const offset = position.digest === digest ? position.offset : 0;
        const part: ConfigurationPart = {
            version,
            digest,
            totalBytes: bytes.length,
            offset,
            bytes: bytes.subarray(offset, offset + partBytes),
        };
        if (offset + part.bytes.length >= bytes.length) {
            this.receivers.delete(peer);
        }
        return { news: [], part };
    }
}

async function encode(fact: FleetFact & { readonly kind: FactKind.Configuration; }): Promise<Encoding> {
    const bytes = await compress(JSON.stringify(fact), { level: constants.Z_BEST_SPEED });
    return { version: fact.configuration.version, digest: sha256Hex(bytes), bytes };
}

/** Decodes an encoding whose parts have all arrived. */
export async function decodeConfiguration(bytes: Buffer, digest: string): Promise<Result<FleetFact, string>> {
    if (sha256Hex(bytes) !== digest) {
        return err("the configuration has another digest than its parts state");
    }
    try {
        const text = await decompress(bytes, { maxOutputLength: maxDecodedBytes });
        const fact = JSON.parse(text.toString()) as FleetFact | undefined;
        return fact?.kind === FactKind.Configuration ? ok(fact) : err("the parts are no configuration");
    }
    catch (error) {
        return err(`the configuration cannot be decoded: ${String(error)}`);
    }
}
