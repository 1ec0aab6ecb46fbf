package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;

/**
 * What a request asks for.
 *
 * @param service the service that runs it
 * @param requestClass its class in the service
 * @param target target at the upstream
 * @param path decoded and normalised path at the upstream
 * @param route the operator's route, where requests are routed by such
 */
public record RouteMatch(
        Service service, RequestClass requestClass, String target, String path, Optional<Route> route) {}
