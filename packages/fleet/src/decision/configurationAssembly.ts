/**
 * Assembles a configuration that peers send in parts. Peers that encode the same configuration alike state the same digest,
 * so a transfer that one peer has begun continues with another. A part of another encoding, such as that of a newer
 * version, starts the transfer again.
 *
 * @module
 */

/** Maximum size of the parts of one configuration together. */
export const maxTransferBytes = 16_777_216;

/** What a process has of a configuration; asks for the bytes from `offset` on. */
export interface TransferPosition {
    /** Digest of the whole encoding; empty at the start. */
    readonly digest: string;
    readonly offset: number;
}

/** A part of an encoded configuration. */
export interface ConfigurationPart {
    readonly version: number;
    /** SHA-256 of the whole encoding, as hex digits. */
    readonly digest: string;
    /** Size of the whole encoding. */
    readonly totalBytes: number;
    readonly offset: number;
    readonly bytes: Uint8Array;
}

/** What follows from a part. */
export type AssemblyStep =
    | { readonly kind: "continue"; }
    /** The encoding is complete; its digest has not been checked. */
    | { readonly kind: "complete"; readonly digest: string; readonly bytes: Buffer; }
    /** The part is not the one that was asked for. */
    | { readonly kind: "invalid"; readonly message: string; };

/** The parts that have arrived of one configuration. */
export class ConfigurationAssembly {
    private version = 0;
    private digest = "";
    private totalBytes = 0;
    private parts: Uint8Array[] = [];
    private offset = 0;

    /** What to ask for next. */
    get position(): TransferPosition {
        return { digest: this.digest, offset: this.offset };
    }

    /** Applies the answer of a peer that was asked for {@link position}. */
    add(part: ConfigurationPart): AssemblyStep {
        const { bytes, digest, offset, totalBytes, version } = part;
        if (digest !== this.digest) {
            this.reset();
            if (offset !== 0 || totalBytes > maxTransferBytes) {
                return { kind: "invalid", message: `a transfer of ${totalBytes} bytes begins at ${offset}` };
            }
            Object.assign(this, { version, digest, totalBytes });
        }
        if (offset !== this.offset || bytes.length === 0 || offset + bytes.length > this.totalBytes) {
            this.reset();
            return { kind: "invalid", message: `unexpected part of ${bytes.length} bytes at ${offset}` };
        }
        this.parts.push(bytes);
        this.offset += bytes.length;
        if (this.offset < this.totalBytes) {
            return { kind: "continue" };
        }
        const complete = Buffer.concat(this.parts);
        this.reset();
        return { kind: "complete", digest, bytes: complete };
    }

    /** Drops the parts of a configuration that this process no longer lacks. */
    dropUpTo(ownVersion: number): void {
        if (this.version <= ownVersion) {
            this.reset();
        }
    }

    private reset(): void {
        this.version = 0;
        this.digest = "";
        this.totalBytes = 0;
        this.parts = [];
        this.offset = 0;
    }
}
