#pragma once
/// @file
/// Finds the route of accepted work in the newest configuration. Accepted work is bound to what its
/// client sent: the host and path of the request, or the name that a client of `/v1` chose. The
/// name of a route that was matched by host and path is no identity: operators may rename the
/// route, and may give its name to another one. Pure functions without state.

#include <string>
#include <string_view>

#include "proto/batch.pb.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

proto::RouteReference ReferenceByName(std::string_view name);
/// @param path without the query.
proto::RouteReference ReferenceByPath(std::string_view host, std::string_view path);

/// @return the reference of a granted item; its route's name if its queue node sent only that.
proto::RouteReference ReferenceOf(const proto::WorkGrant& grant);

/// Whether the reference holds a host and path, not a name that the client chose.
inline bool IsByPath(const proto::RouteReference& reference) { return !reference.host().empty(); }

/// @return the route that the referenced request has by `configuration`, or nullptr.
const proto::Route* ResolveRoute(const proto::RoutingConfiguration& configuration,
                                 const proto::RouteReference& reference);

/// @return the same for an accepted batch. A route that is matched by host and path and accepts no
/// batches is not the batch's route.
const proto::Route* ResolveBatchRoute(const proto::RoutingConfiguration& configuration,
                                      const proto::RouteReference& reference);

/// @return the reference of a batch whose submission has none, because an older build accepted or
/// sent it. Batches of the HTTP routes are recognized by their items, which are forwarded to the
/// host that is also their tenant; the path of the first item stands for that of the submission.
/// @param first_item nullptr if the batch has no items.
proto::RouteReference DeriveReference(std::string_view tenant, std::string_view route_name,
                                      const proto::BatchItem* first_item);

}  // namespace cloverbank
