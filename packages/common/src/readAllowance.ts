/**
 * Limits the bytes that are read from a connection without anything being delivered of them: line breaks before a response,
 * informational responses, chunk extensions, zeros before the size of a chunk, and what follows a response.
 *
 * @module
 */

/** Maximum of undelivered bytes: several times the largest head that the HTTP parser accepts, 16 KB. */
export const maxUndeliveredBytes = 131_072;

/** Bytes that may be read for each delivered byte. A chunk of one byte has six, and a short extension a few more. */
const framingRatio = 16;

/** What one connection may still read without delivering. */
export class ReadAllowance {
    private undelivered = 0;

    /** Records bytes that were read from the connection. */
    recordRead(bytes: number): void {
        this.undelivered += bytes;
    }

    /** Records bytes of a body that were delivered. They don't count for what is read later. */
    recordDelivered(bytes: number): void {
        this.undelivered = Math.max(0, this.undelivered - framingRatio * bytes);
    }

    /** True if too much was read; `bufferedBytes` of a body wait to be delivered. */
    isExceeded(bufferedBytes: number): boolean {
        return this.undelivered - framingRatio * bufferedBytes > maxUndeliveredBytes;
    }
}
