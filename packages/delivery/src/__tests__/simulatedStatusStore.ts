import type { FakeClock, Milliseconds, RandomSource } from "@redwingpin/common";
import type {
    SourceError,
    StoredVersionStatus,
    VersionStatus,
    VersionStatusStore,
    VersionWriteOutcome,
} from "@redwingpin/fleet";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/** What disturbs the routers and the store. */
export interface Disturbances {
    /** Share of messages between routers that are lost, duplicated or late. */
    readonly loss?: number;
    /** Share of the routers that restart, are paused or are partitioned for some seconds. */
    readonly restarts?: number;
    readonly pauses?: number;
    readonly partitions?: number;
    /** Share of the time during which the store is unavailable or slow, and of the lost responses of writes. */
    readonly storeOutage?: number;
    readonly lostResponses?: number;
    /** The store is restored from a copy that is two seconds old. */
    readonly restored?: boolean;
}

/** Revision of the order. */
export const orderRevision = 40;

/** Age of the copy from which the store is restored. */
const copyAge: Milliseconds = 2_000;

/** The store's record, with writes that may lose their response or be executed late. */
export class SimulatedStatusStore implements VersionStatusStore {
    stored: StoredVersionStatus = { status: undefined, revision: 0 };
    private copies: StoredVersionStatus[] = [];
    private revision = orderRevision;
    era = 1;
    unavailableUntil = -Infinity;

    constructor(
        private readonly clock: FakeClock,
        private readonly random: RandomSource,
        private readonly disturbances: Disturbances,
        private readonly step: Milliseconds,
    ) {}

    read(): ResultAsync<StoredVersionStatus, SourceError> {
        return this.answer(() => ok(this.stored));
    }

    write(
        _service: string,
        status: VersionStatus,
        expectedRevision: number,
    ): ResultAsync<VersionWriteOutcome, SourceError> {
        const execute = (): Result<VersionWriteOutcome, SourceError> => {
            if (this.stored.revision !== expectedRevision) {
                return ok({ kind: "conflict", stored: this.stored });
            }
            this.stored = { status, revision: ++this.revision };
            return ok({ kind: "written", revision: this.revision });
        };
        const draw = this.random.unit();
        const lost = this.disturbances.lostResponses ?? 0;
        if (draw < lost) {
            this.clock.schedule(draw < lost / 2 ? 10 : 2_000, execute);
            return this.answer(unavailable, 1_500);
        }
        return this.answer(execute);
    }

    keepCopy(): void {
        this.copies = [...this.copies, this.stored].slice(-copyAge / this.step);
    }

    restore(): void {
        this.stored = this.copies[0] ?? this.stored;
        this.era += 1;
    }

    private answer<T>(
        execute: () => Result<T, SourceError>,
        delay: Milliseconds = 20,
    ): ResultAsync<T, SourceError> {
        return new ResultAsync(
            new Promise((resolve) => {
                this.clock.schedule(
                    delay,
                    () => resolve(this.clock.now() < this.unavailableUntil ? unavailable() : execute()),
                );
            }),
        );
    }
}

function unavailable(): Result<never, SourceError> {
    return err({ kind: "unavailable", message: "no answer" });
}
