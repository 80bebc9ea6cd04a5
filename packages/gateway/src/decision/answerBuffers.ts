/**
 * Bounds the memory of all answers that a router buffers. If they exceed the limit together, the largest one gives way:
 * an endpoint that sends bytes without end fails its own calls, not those of other endpoints.
 *
 * @module
 */

/** Buffered bytes of one answer. */
export interface AnswerBuffer {
    /** Sets the number of buffered bytes; answers give way if the limit is exceeded. */
    resize(bytes: number): void;
    /** Sets what happens if the answer has to give way. */
    onEvict(evict: () => void): void;
    /** Records that nothing is buffered any more. */
    release(): void;
}

interface BufferEntry {
    bytes: number;
    evict: () => void;
}

/** The buffers of all answers. */
export class AnswerBuffers {
    private readonly entries = new Set<BufferEntry>();
    private total = 0;

    /** `maxBytes` is the maximum total size. */
    constructor(private readonly maxBytes: number) {}

    /** Number of bytes that are buffered. */
    get totalBytes(): number {
        return this.total;
    }

    /** Adds an answer; `evict` is called once if it has to give way, and its bytes no longer count then. */
    open(evict: () => void): AnswerBuffer {
        const entry: BufferEntry = { bytes: 0, evict };
        this.entries.add(entry);
        return {
            resize: (bytes) => this.resize(entry, bytes),
            onEvict: (callback) => entry.evict = callback,
            release: () => this.release(entry),
        };
    }

    private resize(entry: BufferEntry, bytes: number): void {
        if (!this.entries.has(entry)) {
            return;
        }
        this.total += bytes - entry.bytes;
        entry.bytes = bytes;
        while (this.total > this.maxBytes) {
            const largest = this.findLargest();
            this.release(largest);
            largest.evict();
        }
    }

    private findLargest(): BufferEntry {
        return [...this.entries].reduce((left, right) => right.bytes > left.bytes ? right : left);
    }

    private release(entry: BufferEntry): void {
        if (this.entries.delete(entry)) {
            this.total -= entry.bytes;
            entry.bytes = 0;
        }
    }
}
