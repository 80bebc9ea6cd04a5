/**
 * Limits what the connections to one address may deliver in one turn of the event loop, so that one endpoint that sends much
 * does not delay the requests at all others.
 *
 * @module
 */

/**
 * Bytes that the connections to one address may read in one turn before they wait for a later one: one full read. In chunks of
 * one byte or events of three bytes, these are some ten thousand calls of handlers.
 */
export const turnBytes = 65_536;

interface AddressTurn {
    bytes: number;
    readonly waiting: (() => void)[];
}

/** Budget of one process. `schedule` runs a function in the next turn. */
export class TurnBudget {
    private readonly turns = new Map<string, AddressTurn>();
    private isScheduled = false;

    constructor(private readonly schedule: (run: () => void) => void) {}

    /** Records bytes that were read from an address in this turn. Returns false if its connections have to wait. */
    spend(address: string, bytes: number): boolean {
        const turn = this.turns.get(address) ?? { bytes: 0, waiting: [] };
        this.turns.set(address, turn);
        this.scheduleNext();
        turn.bytes += bytes;
        return turn.bytes <= turnBytes;
    }

    /** Calls `resume` in a later turn; of the connections to one address, one in each turn. */
    wait(address: string, resume: () => void): void {
        const turn = this.turns.get(address) ?? { bytes: 0, waiting: [] };
        this.turns.set(address, turn);
        turn.waiting.push(resume);
        this.scheduleNext();
    }

    private scheduleNext(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.schedule(() => this.startTurn());
        }
    }

    private startTurn(): void {
        this.isScheduled = false;
        for (const [address, turn] of [...this.turns]) {
            turn.bytes = 0;
            const resume = turn.waiting.shift();
            if (resume === undefined) {
                this.turns.delete(address);
            }
            else {
                this.scheduleNext();
                resume();
            }
        }
    }
}
