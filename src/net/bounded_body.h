#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <httplib.h>

namespace bergamotwick {

/// Answers a request with the given body.
using BodyHandler = std::function<void(const httplib::Request &, const std::string &body, httplib::Response &)>;

/// Returns a handler that reads the request's body and calls \p handler with it. A body of more than \p maxBytes is dropped while it is read and
/// answered with 413, also if its length isn't declared or it is compressed; the server itself limits declared lengths only. A much larger one
/// ends the connection. A multipart body counts as empty. In a GuardedServer, a request for which there is no memory is answered with 503 and a
/// time to come back, and the connection ends; \p handler isn't called.
///
/// Thread safety: the result may be called concurrently if \p handler may.
[[nodiscard]] httplib::Server::HandlerWithContentReader withBody(std::size_t maxBytes, BodyHandler handler);

/// Returns a handler of requests without a body. The server calls it for a DELETE that declares no length, and that of withBody() for others.
[[nodiscard]] httplib::Server::Handler withoutBody(BodyHandler handler);

/// Limits the bodies of all requests to \p server that no route reads; they are answered with 404. Precondition: all routes have been added.
void limitUnroutedBodies(httplib::Server &server, std::size_t maxBytes);

}
