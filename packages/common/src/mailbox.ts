/**
 * Mailboxes: the way tasks talk. A task owns its sockets and state and reads one mailbox in order.
 *
 * @module
 */

/** An unbounded first-in first-out queue of messages with one reader. */
export class Mailbox<Message> implements AsyncIterable<Message> {
    private readonly messages: Message[] = [];
    private wake: (() => void) | undefined;
    private closed = false;

    /** Adds a message. Returns false, without adding it, once the mailbox is closed. */
    send(message: Message): boolean {
        if (this.closed) {
            return false;
        }
        this.messages.push(message);
        this.wakeReader();
        return true;
    }

    /** Ends the reader's loop once it has read what was sent before. */
    close(): void {
        this.closed = true;
        this.wakeReader();
    }

    /** Messages that wait to be read. */
    get size(): number {
        return this.messages.length;
    }

    async *[Symbol.asyncIterator](): AsyncIterator<Message> {
        while (true) {
            while (this.messages.length > 0) {
                yield this.messages.shift()!;
            }
            if (this.closed) {
                return;
            }
            await new Promise<void>((resolve) => {
                this.wake = resolve;
            });
        }
    }

    private wakeReader(): void {
        const wake = this.wake;
        this.wake = undefined;
        wake?.();
    }
}
