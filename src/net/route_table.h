#pragma once
/// @file
/// Which handler serves a request. Pure: no sockets.

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_types.h"

namespace cloverbank {

class RouteTable {
 public:
  struct Match {
    const HttpHandler* handler = nullptr;  ///< Stays valid as long as the table.
    bool path_known = false;               ///< Whether some method is served on this path.
  };

  /// Adds a handler; see `HttpRouter::Handle`. The first one added for a method and pattern wins.
  void Add(std::string_view method, std::string_view pattern, HttpHandler handler);

  /// @return the handler for `method` on `path`. A pattern with more literal segments goes first.
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
