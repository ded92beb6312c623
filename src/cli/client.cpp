#include "cli/client.h"

#include <chrono>

#include <httplib.h>

namespace bergamotwick {

namespace {

using namespace std::chrono_literals;

template<class Call>
Result<HttpResponse> send(const std::string &address, Call call)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(2s);
    client.set_read_timeout(30s);
    const httplib::Result result = call(client);
    if (!result) {
        return leaf::new_error(EntryUnreachable{address});
    }
    return HttpResponse{result->status, result->body};
}

}

EntryClient::EntryClient(std::string address)
    : address_(std::move(address))
{
}

Result<HttpResponse> EntryClient::get(const std::string &path) const
{
    return send(address_, [&](httplib::Client &client) { return client.Get(path); });
}

Result<HttpResponse> EntryClient::post(const std::string &path, const std::string &body) const
{
    return send(address_, [&](httplib::Client &client) { return client.Post(path, body, "application/json"); });
}

Result<HttpResponse> EntryClient::put(const std::string &path, const std::string &body) const
{
    return send(address_, [&](httplib::Client &client) { return client.Put(path, body, "application/json"); });
}

Result<HttpResponse> EntryClient::remove(const std::string &path) const
{
    return send(address_, [&](httplib::Client &client) { return client.Delete(path); });
}

}
