/**
 * Decisions as generators over typed messages: they yield effects, are resumed with events and return an
 * outcome. They use no sockets and no clock but the one they are given, so that tests can run every interleaving.
 *
 * @module
 */

/** A decision. `Effect` is the type that it yields, `Event` the type that resumes it. */
export type Decision<Effect, Event, Outcome> = Generator<Effect, Outcome, Event>;

/** Runs a decision to its end. `perform` performs each effect and returns the event that resumes the decision. */
export async function runDecision<Effect, Event, Outcome>(
    decision: Decision<Effect, Event, Outcome>,
    perform: (effect: Effect) => Promise<Event> | Event,
): Promise<Outcome> {
    let step = decision.next();
    while (!step.done) {
        const event = await perform(step.value);
        step = decision.next(event);
    }
    return step.value;
}

/** Called after the last case of a switch over a union. The compiler rejects the call if a case is missing. */
export function assertNever(value: never): never {
    throw new Error(`unexpected value ${JSON.stringify(value)}`);
}
