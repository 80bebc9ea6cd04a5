/**
 * Parts of the endpoint model that can be switched off, to compare the choices with and without them.
 *
 * @module
 */

/** Which parts of the endpoint model are used. */
export interface EndpointModelSettings {
    /** Unresponsive endpoints are avoided, and requests that may run again leave them. */
    readonly unresponsiveness: boolean;
    /** Endpoints without memory for a request are avoided. */
    readonly memory: boolean;
    /** The speed of each endpoint is used instead of that of its service. */
    readonly speed: boolean;
    /** The output tokens are predicted from those of earlier requests and from the caller's estimate. */
    readonly cost: boolean;
}

/** Uses all parts. */
export const fullEndpointModel: EndpointModelSettings = {
    unresponsiveness: true,
    memory: true,
    speed: true,
    cost: true,
};
