#pragma once

#include "bergamotwick/error.h"

#include <memory>
#include <string>

namespace bergamotwick {

/// Status and body of an HTTP response.
struct HttpResponse
{
    int status_ = 0;
    std::string body_;
};

/// Error: no response from an entry at the address.
struct EntryUnreachable
{
    std::string address_;
};

/// HTTP client for one entry, or for the load balancer in front of several.
///
/// Thread safety: none.
class EntryClient
{
public:
    explicit EntryClient(std::string address);

    [[nodiscard]] Result<HttpResponse> get(const std::string &path) const;
    [[nodiscard]] Result<HttpResponse> post(const std::string &path, const std::string &body) const;
    [[nodiscard]] Result<HttpResponse> put(const std::string &path, const std::string &body) const;
    [[nodiscard]] Result<HttpResponse> remove(const std::string &path) const;

private:
    std::string address_;
};

}
