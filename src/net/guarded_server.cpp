#include "net/guarded_server.h"

#include "daemon/log.h"
#include "net/boot_clock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <limits>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotwick {

namespace {

/// Longest time that a request waits for the memory of others.
constexpr Duration longestWait = 2s;

/// Bytes that the server may read on its own account: a request's head, or the head of a chunk.
constexpr std::size_t maxHeadBytes = std::size_t{64} * 1024;

constexpr Duration logInterval = 1s;

std::atomic<std::uint64_t> closedRequests{0};
std::atomic<std::uint64_t> closedConnections{0};

/// Logs the counts at most once per logInterval.
void logClosed()
{
    static std::mutex mutex;
    static Instant next{};
    const std::lock_guard lock(mutex);
    const Instant now = bootNow();
    if (now >= next) {
        next = now + logInterval;
        logEvent(LogLevel::Warning, "clients-closed", {{"requests", closedRequests.load()}, {"connections", closedConnections.load()}});
    }
}

bool waitFor(int descriptor, short events, std::chrono::milliseconds timeout)
{
    pollfd waiting{descriptor, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&waiting, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

void splitAddress(const sockaddr_in &raw, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &raw.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(raw.sin_port);
}

}

/// The budget with its lock, and the descriptors of the connections.
class GuardedServer::Guard
{
public:
    using ConnectionId = ReceiveBudget::ConnectionId;

    explicit Guard(const ReceiveLimits &limits)
        : budget_(limits)
    {
    }

    /// Returns nothing if there are too many connections.
    std::optional<ConnectionId> open(int descriptor)
    {
        const std::lock_guard lock(mutex_);
        const ConnectionId id = ++lastId_;
        const auto decision = budget_.open(id, bootNow());
        if (decision.admission_ != ReceiveBudget::Admission::Admitted || decision.closed_) {
            ++closedConnections;
            logClosed();
        }
        if (decision.admission_ != ReceiveBudget::Admission::Admitted) {
            return std::nullopt;
        }
        descriptors_[id] = descriptor;
        closeLocked(decision);
        return id;
    }

    /// Precondition: the descriptor is still open, so that it isn't another's.
    void close(ConnectionId id)
    {
        const std::lock_guard lock(mutex_);
        budget_.close(id);
        descriptors_.erase(id);
        changed_.notify_all();
    }

    void beginRequest(ConnectionId id)
    {
        const std::lock_guard lock(mutex_);
        budget_.beginRequest(id, bootNow());
    }

    void endRequest(ConnectionId id)
    {
        const std::lock_guard lock(mutex_);
        budget_.endRequest(id, bootNow());
        changed_.notify_all();
    }

    bool reserve(ConnectionId id, std::size_t bytes)
    {
        return admit([&] {
            const auto decision = budget_.reserve(id, bytes, bootNow());
            if (decision.closed_) {
                ++closedRequests;
                logClosed();
                closeLocked(decision);
            }
            return decision.admission_;
        });
    }

    bool complete(ConnectionId id)
    {
        return admit([&] { return budget_.complete(id); });
    }

    bool isClosed(ConnectionId id)
    {
        const std::lock_guard lock(mutex_);
        return budget_.isClosed(id);
    }

private:
    template<class Ask>
    bool admit(Ask ask)
    {
        const Instant until = bootNow() + longestWait;
        std::unique_lock lock(mutex_);
        auto admission = ask();
        while (admission == ReceiveBudget::Admission::Wait && bootNow() < until) {
            changed_.wait_for(lock, until - bootNow());
            admission = ask();
        }
        if (admission != ReceiveBudget::Admission::Admitted) {
            ++closedRequests;
            logClosed();
        }
        return admission == ReceiveBudget::Admission::Admitted;
    }

    void closeLocked(const ReceiveBudget::Decision &decision)
    {
        if (decision.closed_) {
            ::shutdown(descriptors_.at(*decision.closed_), SHUT_RDWR);
            changed_.notify_all();
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    ReceiveBudget budget_;
    std::map<ConnectionId, int> descriptors_;
    ConnectionId lastId_ = 0;
};

/// One connection, as the server reads and writes it. Bounds what the server reads on its own account.
class GuardedServer::Connection : public httplib::Stream
{
public:
    Connection(Guard &guard, Guard::ConnectionId id, int descriptor, std::chrono::milliseconds timeout)
        : guard_(guard)
        , id_(id)
        , descriptor_(descriptor)
        , timeout_(timeout)
    {
    }

    /// Waits for the first bytes of a request.
    bool waitForRequest(std::chrono::milliseconds idleTimeout) const
    {
        return begin_ < end_ || waitFor(descriptor_, POLLIN, idleTimeout);
    }

    void beginRequest()
    {
        unaccounted_ = 0;
        limit_ = maxHeadBytes;
        guard_.beginRequest(id_);
    }

    void endRequest()
    {
        guard_.endRequest(id_);
    }

    void beginBody(bool lengthDeclared)
    {
        unaccounted_ = 0;
        limit_ = lengthDeclared ? std::numeric_limits<std::size_t>::max() : maxHeadBytes;
    }

    void progress() noexcept
    {
        unaccounted_ = 0;
    }

    bool reserve(std::size_t bytes)
    {
        return guard_.reserve(id_, bytes);
    }

    bool complete()
    {
        return guard_.complete(id_);
    }

    bool isClosed() const
    {
        return guard_.isClosed(id_);
    }

    bool is_readable() const override
    {
        return begin_ < end_ || waitFor(descriptor_, POLLIN, timeout_);
    }

    bool is_writable() const override
    {
        return waitFor(descriptor_, POLLOUT, timeout_);
    }

    ssize_t read(char *target, size_t size) override
    {
        if (begin_ == end_ && !fill()) {
            return ended_ ? 0 : -1;
        }
        const std::size_t count = std::min(size, end_ - begin_);
        unaccounted_ += count;
        if (unaccounted_ > limit_) {
            ++closedRequests;
            logClosed();
            return -1;
        }
        std::copy_n(buffer_.data() + begin_, count, target);
        begin_ += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(const char *bytes, size_t size) override
    {
        return is_writable() ? ::send(descriptor_, bytes, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_in raw{};
        socklen_t size = sizeof(raw);
        ::getpeername(descriptor_, reinterpret_cast<sockaddr *>(&raw), &size);
        splitAddress(raw, ip, port);
    }

    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_in raw{};
        socklen_t size = sizeof(raw);
        ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&raw), &size);
        splitAddress(raw, ip, port);
    }

    socket_t socket() const override
    {
        return descriptor_;
    }

private:
    bool fill()
    {
        if (!waitFor(descriptor_, POLLIN, timeout_)) {
            return false;
        }
        const ssize_t count = ::recv(descriptor_, buffer_.data(), buffer_.size(), 0);
        ended_ = count == 0;
        begin_ = 0;
        end_ = count > 0 ? static_cast<std::size_t>(count) : 0;
        return count > 0;
    }

    Guard &guard_;
    Guard::ConnectionId id_;
    int descriptor_;
    std::chrono::milliseconds timeout_;
    std::array<char, 4'096> buffer_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    bool ended_ = false;
    std::size_t unaccounted_ = 0; ///< bytes that the server has read since its last report
    std::size_t limit_ = maxHeadBytes;
};

namespace {

/// The connection that this thread serves, as RequestMemory sees it.
struct CurrentRequest
{
    std::function<void(bool)> beginBody_;
    std::function<void()> progress_;
    std::function<bool(std::size_t)> reserve_;
    std::function<bool()> complete_;
};

thread_local const CurrentRequest *currentRequest = nullptr;

}

ClosedClients closedClients() noexcept
{
    return {closedRequests, closedConnections};
}

GuardedServer::GuardedServer(const ReceiveLimits &limits)
    : guard_(std::make_unique<Guard>(limits))
{
}

GuardedServer::~GuardedServer() = default;

bool GuardedServer::process_and_close_socket(socket_t descriptor)
{
    bool served = false;
    if (const auto id = guard_->open(descriptor)) {
        Connection connection(*guard_, *id, descriptor, std::chrono::seconds(read_timeout_sec_));
        const CurrentRequest request{[&](bool declared) { connection.beginBody(declared); },
                                     [&] { connection.progress(); },
                                     [&](std::size_t bytes) { return connection.reserve(bytes); },
                                     [&] { return connection.complete(); }};
        currentRequest = &request;
        served = serveConnection(connection);
        currentRequest = nullptr;
        guard_->close(*id);
    }
    ::shutdown(descriptor, SHUT_RDWR);
    ::close(descriptor);
    return served;
}

bool GuardedServer::serveConnection(Connection &connection)
{
    bool served = false;
    for (std::size_t left = keep_alive_max_count_; left > 0 && svr_sock_ != INVALID_SOCKET; --left) {
        if (!connection.waitForRequest(std::chrono::seconds(keep_alive_timeout_sec_)) || connection.isClosed()) {
            break;
        }
        bool closed = false;
        connection.beginRequest();
        served = process_request(connection, left == 1, closed, nullptr);
        connection.endRequest();
        if (!served || closed || connection.isClosed()) {
            break;
        }
    }
    return served;
}

void RequestMemory::beginBody(bool lengthDeclared)
{
    if (currentRequest != nullptr) {
        currentRequest->beginBody_(lengthDeclared);
    }
}

bool RequestMemory::reserve(std::size_t bytes)
{
    return currentRequest == nullptr || currentRequest->reserve_(bytes);
}

bool RequestMemory::complete()
{
    return currentRequest == nullptr || currentRequest->complete_();
}

void RequestMemory::progress()
{
    if (currentRequest != nullptr) {
        currentRequest->progress_();
    }
}

}
