/**
 * Memory for request bodies: blocks of a fixed size that are allocated when they are first needed, and reused. Bodies are
 * copied into blocks as they arrive, so that what the HTTP parser allocates is collected soon and no garbage of the size
 * of the bodies arises.
 *
 * @module
 */

/** Size of a block in bytes. */
export const blockBytes = 16_384;

/** Blocks for all bodies of a process. */
export class BlockPool {
    private readonly free: Buffer[] = [];
    private readonly maxBlocks: number;
    private reserved = 0;

    /** `maxBytes` is the maximum total size of the bodies and of what else counts, `otherBytes`. */
    constructor(maxBytes: number, private readonly otherBytes: () => number = () => 0) {
        this.maxBlocks = Math.floor(maxBytes / blockBytes);
    }

    /** Size in bytes of the blocks that are reserved. */
    get reservedBytes(): number {
        return this.reserved * blockBytes;
    }

    /** Size in bytes above which a body is not accepted even by an empty pool. */
    get maxBodyBytes(): number {
        return Math.floor(this.maxBlocks / 2) * blockBytes;
    }

    /** Opens a body of which `bytes` are known to arrive; `undefined` if it does not fit now. */
    open(bytes: number): BlockBody | undefined {
        const body = new BlockBody(this);
        return body.reserve(bytes) ? body : undefined;
    }

    /**
     * Reserves blocks for a body that has reserved `held` already. As many as it then has must remain for others: large
     * bodies leave room for smaller ones, whatever the sizes are.
     */
    reserve(held: number, added: number): boolean {
        if (this.availableBlocks - this.reserved - added < held + added) {
            return false;
        }
        this.reserved += added;
        return true;
    }

    /** Returns a block, whose contents are arbitrary. It must have been reserved. */
    take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
    }

    /** Ends a reservation, and takes back the blocks that were used of it. */
    giveBack(reserved: number, blocks: readonly Buffer[]): void {
        this.reserved -= reserved;
        this.free.push(...blocks);
        this.trim();
    }

    /** Frees unused blocks whose memory is needed for what else counts. */
    trim(): void {
        const kept = Math.max(0, this.availableBlocks - this.reserved);
        if (this.free.length > kept) {
            this.free.length = kept;
        }
    }

    private get availableBlocks(): number {
        return this.maxBlocks - Math.ceil(this.otherBytes() / blockBytes);
    }
}

/** A body in blocks. Whoever may still read it holds it; the blocks are reused once nobody does. */
export class BlockBody {
    private readonly blocks: Buffer[] = [];
    private reserved = 0;
    private holders = 1;
    private size = 0;

    constructor(private readonly pool: BlockPool) {}

    /** Number of bytes. */
    get length(): number {
        return this.size;
    }

    /** Reserves blocks for a body of at least `bytes`; returns false if they are not available. */
    reserve(bytes: number): boolean {
        const added = Math.ceil(bytes / blockBytes) - this.reserved;
        if (added > 0) {
            if (!this.pool.reserve(this.reserved, added)) {
                return false;
            }
            this.reserved += added;
        }
        return true;
    }

    /** Copies a chunk to the end of the body; returns false if it does not fit. */
    append(chunk: Buffer): boolean {
        if (!this.reserve(this.size + chunk.length)) {
            return false;
        }
        for (let copied = 0; copied < chunk.length;) {
            const offset = this.size % blockBytes;
            if (offset === 0) {
                this.blocks.push(this.pool.take());
            }
            const count = chunk.copy(this.blocks.at(-1)!, offset, copied);
            copied += count;
            this.size += count;
        }
        return true;
    }

    /** The contents, in order. They are valid while the body is held. */
    parts(): Buffer[] {
        return this.blocks.map((block, index) =>
            block.subarray(0, Math.min(blockBytes, this.size - index * blockBytes))
        );
    }

    /** Adds a holder, which has to call {@link release} once. */
    hold(): void {
        this.holders += 1;
    }

    /** Removes a holder. */
    release(): void {
        this.holders -= 1;
        if (this.holders === 0) {
            this.pool.giveBack(this.reserved, this.blocks.splice(0));
            this.reserved = 0;
        }
    }
}
