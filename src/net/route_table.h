#pragma once
/// @file
/// Finds the handler for a request's method and path. Uses no sockets.

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_types.h"

namespace cloverbank {

class RouteTable {
 public:
  struct Match {
    const HttpHandler* handler = nullptr;  ///< nullptr if none; valid as long as the table.
    bool path_known = false;               ///< Whether any method is served on this path.
  };

  /// Adds a handler; see `HttpRouter::Handle`. If a method and pattern are added twice, the first
  /// handler is used.
  void Add(std::string_view method, std::string_view pattern, HttpHandler handler);

  /// @return the handler for `method` on `path`. Of several matching patterns, the one with the
  /// most literal segments is used.
  Match Find(std::string_view method, std::string_view path) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    std::size_t literal_count = 0;
    HttpHandler handler;
  };

  std::deque<Route> routes_;
};

}  // namespace cloverbank
