#include "net/bounded_body.h"

#include "net/guarded_server.h"

#include <algorithm>
#include <string_view>

namespace bergamotwick {

namespace {

constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;

/// Clients whose request found no memory come back after so many seconds.
constexpr const char *retryAfterSeconds = "1";

/// A body that is too large is read to its end, so that its sender gets the answer and can go on using the connection, unless it is longer than
/// the limit by more than this.
constexpr std::size_t maxDroppedBytes = std::size_t{16} * 1024 * 1024;

/// Answers with \p status and closes the connection. Needed where the request's body hasn't been read: what follows isn't a request.
void answerAndClose(httplib::Response &response, int status)
{
    static constexpr std::string_view text = "\n";
    response.status = status;
    response.set_header("Connection", "close");
    response.set_content_provider(text.size(), "text/plain", [](std::size_t, std::size_t, httplib::DataSink &sink) {
        sink.write(text.data(), text.size());
        return false; // ends the connection
    });
}

/// The bytes of a body, for which memory is asked before they are held.
class Body
{
public:
    explicit Body(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// Adds bytes that have arrived. Returns false if the body has to be read no further.
    bool append(const char *data, std::size_t bytes)
    {
        RequestMemory::progress();
        size_ += bytes;
        if (size_ > maxBytes_) {
            bytes_ = std::string();
            return size_ <= maxBytes_ + maxDroppedBytes;
        }
        if (size_ > bytes_.capacity()) {
            const std::size_t capacity = std::min(std::max(size_, 2 * bytes_.capacity()), maxBytes_);
            refused_ = !RequestMemory::reserve(capacity);
            if (refused_) {
                bytes_ = std::string();
                return false;
            }
            bytes_.reserve(capacity);
        }
        bytes_.append(data, bytes);
        return true;
    }

    /// Adds bytes that aren't kept.
    bool drop(std::size_t bytes)
    {
        RequestMemory::progress();
        size_ += bytes;
        return size_ <= maxBytes_ + maxDroppedBytes;
    }

    [[nodiscard]] bool tooLarge() const noexcept
    {
        return size_ > maxBytes_;
    }

    [[nodiscard]] bool refused() const noexcept
    {
        return refused_;
    }

    [[nodiscard]] const std::string &bytes() const noexcept
    {
        return bytes_;
    }

private:
    std::size_t maxBytes_;
    std::string bytes_;
    std::size_t size_ = 0;
    bool refused_ = false;
};

/// Answers that the request hasn't run and may come again.
void refuse(httplib::Response &response)
{
    response.set_header("Retry-After", retryAfterSeconds);
    answerAndClose(response, statusUnavailable);
}

}

httplib::Server::HandlerWithContentReader withBody(std::size_t maxBytes, BodyHandler handler)
{
    return [maxBytes, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &read) {
        Body body(maxBytes);
        RequestMemory::beginBody(request.has_header("Content-Length") && !request.has_header("Transfer-Encoding"));
        const bool multipart = request.is_multipart_form_data();
        const auto receive = [&](const char *data, std::size_t bytes) { return multipart ? body.drop(bytes) : body.append(data, bytes); };
        const bool complete = multipart ? read([](const httplib::MultipartFormData &) { return true; }, receive) : read(receive);
        const bool skipped = !complete && response.status == statusTooLarge; // the server has read past a body whose declared length is too large
        const bool isWhole = complete && !body.tooLarge();
        if (body.refused() || (isWhole && !RequestMemory::complete())) {
            refuse(response);
        } else if (isWhole) {
            handler(request, body.bytes(), response);
        } else if (complete || skipped) {
            response.status = statusTooLarge;
        } else {
            answerAndClose(response, body.tooLarge() ? statusTooLarge : response.status);
        }
    };
}

httplib::Server::Handler withoutBody(BodyHandler handler)
{
    return [handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) { handler(request, "", response); };
}

void limitUnroutedBodies(httplib::Server &server, std::size_t maxBytes)
{
    const auto unrouted
        = withBody(maxBytes, [](const httplib::Request &, const std::string &, httplib::Response &response) { response.status = statusNotFound; });
    server.Post(".*", unrouted);
    server.Put(".*", unrouted);
    server.Patch(".*", unrouted);
    server.Delete(".*", unrouted);
    server.set_pre_routing_handler([](const httplib::Request &request, httplib::Response &response) {
        if (request.method != "PRI") { // the only other method whose body the server reads
            return httplib::Server::HandlerResponse::Unhandled;
        }
        answerAndClose(response, statusNotFound);
        return httplib::Server::HandlerResponse::Handled;
    });
}

}
