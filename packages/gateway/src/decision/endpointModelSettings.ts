/**
 * Parts of the endpoint model that can be switched off, to compare the choices with and without them.
 *
 * @module
 */

/** Which parts of the endpoint model are used. */
export interface EndpointModelSettings {
    /** Unresponsive endpoints are avoided, and requests that may run again leave them. */
    readonly unresponsiveness: boolean;
    /**
     * The wait for memory counts in the choice of an endpoint. Off by default: in simulations of long prompts beside short
     * ones, more requests were late with it.
     */
    readonly memory: boolean;
    /**
     * The speed of each endpoint is used instead of that of its service. Off by default: with it, reports between routers name the
     * speeds of all endpoints, which takes small routers much of their processor time.
     */
    readonly speed: boolean;
    /** The caller's estimate of the output tokens is used instead of their maximum. */
    readonly cost: boolean;
}

/** The parts that are used by default. */
export const defaultEndpointModel: EndpointModelSettings = {
    unresponsiveness: true,
    memory: false,
    speed: false,
    cost: true,
};
