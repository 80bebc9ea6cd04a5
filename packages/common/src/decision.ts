/**
 * Decisions as generators over typed messages: they yield effects, are resumed with events and return an
 * outcome. They own no socket and read no clock but the one given, so a test can drive every interleaving.
 *
 * @module
 */

/** A decision procedure. `Effect` is what it asks for, `Event` what it is resumed with. */
export type Decision<Effect, Event, Outcome> = Generator<Effect, Outcome, Event>;

/** Runs a decision to its end; `perform` carries out each effect and answers with the event that resumes it. */
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

/** Fails to compile where a switch over a union forgets a case. */
export function assertNever(value: never): never {
    throw new Error(`unexpected value ${JSON.stringify(value)}`);
}
