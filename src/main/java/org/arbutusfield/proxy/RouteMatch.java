package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;

/**
 * The result of routing a request.
 *
 * @param service service that runs the request
 * @param requestClass class of the request in the service
 * @param target request target at the upstream
 * @param path decoded and normalised path at the upstream
 * @param route the operator's route, if routing uses routes
 */
public record RouteMatch(
        Service service, RequestClass requestClass, String target, String path, Optional<Route> route) {}
