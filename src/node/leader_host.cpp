#include "leader_host.h"

#include "advice_client.h"
#include "clock.h"
#include "core/batch/codec.h"
#include "core/overloaded.h"
#include "daemon/log.h"
#include "keys.h"
#include "node.h"
#include "store_calls.h"

#include <algorithm>
#include <iterator>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds readTimeout{1'500};
constexpr milliseconds commitTimeout{1'500};

/// A watch that waits hears nothing once the store has forgotten its history; only the next one is told. Urgent work waits that long.
constexpr milliseconds watchWait{500};
constexpr milliseconds adviceTimeout{6'000};
constexpr milliseconds retryPause{150};

/// Time passes for the scheduler at least this often.
constexpr milliseconds tick{100};

/// The count of waiting jobs is taken this often, and told for this long.
constexpr milliseconds countPeriod{500};
constexpr milliseconds countKept{1'000};

/// Steps are at least this far apart: a step goes over the whole fleet, so that what comes in the meantime is taken in together.
constexpr milliseconds stepGap{8};

/// How long a leader that stops waits for its last writes.
constexpr milliseconds lastWrites{600};

std::string jobOf(const std::string &key, const std::string &prefix)
{
    return key.substr(prefix.size());
}

/// Reads a value by \p decode; nothing, with \p failure in the log, if it can't be read.
template<class Value>
std::optional<Value> readAs(const platform::Item &item, Result<Value> (*decode)(std::string_view), const char *failure)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode(item.value_));
            return std::optional<Value>(std::move(value));
        },
        [&](const WireError &error) -> std::optional<Value> {
            logEvent(LogLevel::Error, failure, {{"key", item.key_}, {"error", toString(error.code_)}});
            return std::nullopt;
        },
        []() -> std::optional<Value> { return std::nullopt; });
}

/// Turns a key of the inbox into an input; nothing for the leader's own key and for what can't be read.
std::optional<batch::LeaderInput> inputOf(const platform::Item &item)
{
    if (item.removed_) {
        return std::nullopt;
    }
    if (item.key_.starts_with(keys::cancels)) {
        return batch::CancelStored{JobId(jobOf(item.key_, keys::cancels))};
    }
    if (!item.key_.starts_with(keys::jobs)) {
        return std::nullopt;
    }
    auto submission = readAs(item, &batch::decodeSubmission, "job-unreadable");
    return submission ? std::optional<batch::LeaderInput>(batch::JobStored{std::move(*submission)}) : std::nullopt;
}

}

/// One stretch of leading.
struct LeaderHost::Term : std::enable_shared_from_this<LeaderHost::Term>
{
    Term(LeaderHost &host, std::int64_t epoch, Instant since)
        : host_(host)
        , epoch_(epoch)
        , leader_(host.limits_, epoch, since)
    {
    }

    void begin()
    {
        threads_.emplace_back([this] { run(); });
        threads_.emplace_back([this] { writeCommits(); });
        // A question may take longer than a handover; it keeps the term alive until it ends.
        std::thread([self = shared_from_this()] { self->askQuestions(); }).detach();
    }

    /// Precondition: called once, from a thread that isn't the term's.
    void end()
    {
        const Instant until = bootNow() + lastWrites;
        finishing_ = true;
        while (!idle_ && bootNow() < until) {
            std::this_thread::sleep_for(10ms);
        }
        stopping_ = true;
        inputs_.wake();
        commits_.wake();
        for (std::thread &thread : threads_) {
            thread.join();
        }
    }

    /// Reads what the store holds. Jobs come before their progress, and cancellations last.
    [[nodiscard]] bool load()
    {
        return succeeds("leader-load-failed", [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(inbox, host_.store_.range(keys::inbox, readTimeout));
            BOOST_LEAF_AUTO(progress, host_.store_.range(keys::progress, readTimeout));
            std::vector<batch::LeaderInput> inputs;
            addInputs(inputs, inbox.items_, keys::jobs);
            for (const platform::Item &item : progress.items_) {
                if (auto record = readAs(item, &batch::decodeProgress, "progress-unreadable")) {
                    inputs.emplace_back(batch::ProgressStored{std::move(*record), item.revision_});
                }
            }
            addInputs(inputs, inbox.items_, keys::cancels);
            logEvent(LogLevel::Info, "leader-loaded", {{"epoch", epoch_}, {"keys", inbox.items_.size()}, {"records", progress.items_.size()}});
            revision_ = inbox.atRevision_;
            loaded_ = std::move(inputs);
            return true;
        });
    }

    static void addInputs(std::vector<batch::LeaderInput> &inputs, const std::vector<platform::Item> &items, const std::string &prefix)
    {
        for (const platform::Item &item : items) {
            if (!item.key_.starts_with(prefix)) {
                continue;
            }
            if (auto input = inputOf(item)) {
                inputs.push_back(std::move(*input));
            }
        }
    }

    void run()
    {
        while (!stopping_ && !load()) {
            std::this_thread::sleep_for(retryPause);
        }
        if (stopping_) {
            return;
        }
        // A watch may wait for longer than a handover; it keeps the term alive until it ends.
        std::thread([self = shared_from_this()] { self->watchInbox(); }).detach();
        if (const auto view = host_.config_.view()) {
            loaded_.insert(loaded_.begin(), batch::ConfigChanged{view->config_});
            loaded_.emplace_back(batch::EvacuationsChanged{view->evacuated_});
        }
        carryOut(leader_.step(bootNow(), calendarNow(), std::exchange(loaded_, {})));
        Instant stepped = bootNow();
        while (!stopping_) {
            auto inputs = inputs_.takeAll(tick);
            if (const Duration early = stepped + stepGap - bootNow(); early > Duration(0)) {
                std::this_thread::sleep_for(early);
                auto more = inputs_.takeAll(Duration(0));
                std::move(more.begin(), more.end(), std::back_inserter(inputs));
            }
            stepped = bootNow();
            carryOut(leader_.step(stepped, calendarNow(), std::move(inputs)));
            countWaiting();
            idle_ = finishing_ && leader_.settled();
        }
    }

    void countWaiting()
    {
        const Instant now = bootNow();
        if (now - countedAt_ < countPeriod) {
            return;
        }
        if (auto waiting = leader_.waitingJobs()) {
            const std::lock_guard lock(countMutex_);
            waiting_ = std::move(*waiting);
            countedAt_ = now;
        }
    }

    [[nodiscard]] std::optional<std::size_t> waitingJobs(const std::string &queue)
    {
        const std::lock_guard lock(countMutex_);
        if (bootNow() - countedAt_ > countKept) {
            return std::nullopt;
        }
        const auto found = waiting_.find(queue);
        return found == waiting_.end() ? 0 : found->second;
    }

    void watchInbox()
    {
        while (!stopping_) {
            const bool heard = succeeds("inbox-watch-failed", [&]() -> Result<bool> {
                if (revision_ == 0) {
                    BOOST_LEAF_AUTO(range, host_.store_.range(keys::inbox, readTimeout));
                    take(range.items_);
                    revision_ = range.atRevision_;
                }
                BOOST_LEAF_AUTO(changes, host_.store_.watch(keys::inbox, revision_, watchWait));
                take(changes.events_);
                revision_ = changes.compacted_ ? 0 : std::max(revision_, changes.atRevision_);
                return true;
            });
            if (!heard) {
                std::this_thread::sleep_for(retryPause);
            }
        }
    }

    void take(const std::vector<platform::Item> &items)
    {
        for (const platform::Item &item : items) {
            if (auto input = inputOf(item)) {
                inputs_.put(std::move(*input));
            }
        }
    }

    void carryOut(std::vector<batch::LeaderOutput> outputs)
    {
        for (batch::LeaderOutput &output : outputs) {
            std::visit(Overloaded{
                           [this](batch::Commit &&commit) { commits_.put(std::move(commit)); },
                           [this](batch::Question &&question) { questions_.put(std::move(question)); },
                           [this](batch::SendDirective &&sent) { host_.send_(sent.agent_, sent.directive_); },
                           [this](batch::Decision &&decision) { tell(decision, host_.metrics_); },
                       },
                       std::move(output));
        }
    }

    void askQuestions()
    {
        while (!stopping_) {
            for (const batch::Question &question : questions_.takeAll(tick * 10)) {
                inputs_.put(ask(question));
            }
        }
    }

    [[nodiscard]] batch::AdviceGiven ask(const batch::Question &question) const
    {
        return leaf::try_handle_all(
            [&]() -> Result<batch::AdviceGiven> {
                BOOST_LEAF_AUTO(answer, platform::requestAdvice(host_.adviceAddress_, question, adviceTimeout));
                return batch::AdviceGiven{question.step_, question.executors_, std::move(answer.tickets_), answer.valid_};
            },
            [&](const platform::AdviceError &error) {
                logEvent(LogLevel::Warning, "advice-missing", {{"job", question.step_.job_.str()}, {"status", error.status_}});
                std::this_thread::sleep_for(retryPause);
                return batch::AdviceGiven{question.step_, {}, {}, {}};
            },
            [&] {
                return batch::AdviceGiven{question.step_, {}, {}, {}};
            });
    }

    void writeCommits()
    {
        while (!stopping_) {
            for (const batch::Commit &commit : commits_.takeAll(tick * 10)) {
                write(commit);
            }
        }
    }

    [[nodiscard]] platform::Transaction transactionOf(const batch::Commit &commit) const
    {
        platform::Transaction transaction;
        transaction.expected_.push_back({keys::leader, epoch_});
        for (const batch::ProgressWrite &write : commit.writes_) {
            const std::string key = keys::progress + write.job_.str();
            transaction.expected_.push_back({key, write.expected_});
            if (write.remove_) {
                transaction.removals_.insert(transaction.removals_.end(), {key, keys::jobs + write.job_.str(), keys::cancels + write.job_.str()});
            } else {
                transaction.puts_.push_back({key, batch::encode(write.progress_), 0});
            }
        }
        return transaction;
    }

    void write(const batch::Commit &commit)
    {
        const Instant began = bootNow();
        batch::LeaderInput answer = leaf::try_handle_all(
            [&]() -> Result<batch::LeaderInput> {
                BOOST_LEAF_AUTO(result, host_.store_.apply(transactionOf(commit), commitTimeout));
                if (result.applied_) {
                    return batch::LeaderInput(batch::CommitDone{commit.commit_, result.revision_});
                }
                return batch::LeaderInput(rejected(commit, result.current_));
            },
            [&](const StoreError &error) {
                logEvent(LogLevel::Warning, "commit-failed", {{"commit", commit.commit_}, {"error", toString(error.code_)}});
                return batch::LeaderInput(batch::CommitFailed{commit.commit_, {}});
            },
            [&] {
                return batch::LeaderInput(batch::CommitFailed{commit.commit_, {}});
            });
        host_.metrics_.observe("commit_seconds", bootNow() - began);
        inputs_.put(std::move(answer));
    }

    [[nodiscard]] static batch::CommitFailed rejected(const batch::Commit &commit, const std::vector<platform::Item> &current)
    {
        batch::CommitFailed failed{commit.commit_, {}};
        for (const platform::Item &item : current) {
            if (item.key_.starts_with(keys::progress)) {
                failed.found_.emplace_back(JobId(jobOf(item.key_, keys::progress)), item.revision_);
            }
        }
        logEvent(LogLevel::Info, "commit-rejected", {{"commit", commit.commit_}, {"found", current.size()}});
        return failed;
    }

    LeaderHost &host_;
    std::int64_t epoch_;
    batch::Leader leader_;
    std::vector<batch::LeaderInput> loaded_;
    std::int64_t revision_ = 0;
    Mailbox<batch::LeaderInput> inputs_;
    Mailbox<batch::Commit> commits_;
    Mailbox<batch::Question> questions_;
    std::mutex countMutex_;
    batch::WaitingJobs waiting_;
    Instant countedAt_{}; ///< written by run()'s thread under the mutex
    std::atomic<bool> finishing_{false};
    std::atomic<bool> idle_{false};
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

LeaderHost::LeaderHost(
    platform::StoreClient &store, Metrics &metrics, batch::LeaderLimits limits, const ConfigReplica &config, std::string adviceAddress, Send send)
    : store_(store)
    , metrics_(metrics)
    , limits_(limits)
    , config_(config)
    , adviceAddress_(std::move(adviceAddress))
    , send_(std::move(send))
{
}

LeaderHost::~LeaderHost() = default;

void LeaderHost::start(std::int64_t epoch, Instant since)
{
    auto term = std::make_shared<Term>(*this, epoch, since);
    {
        const std::lock_guard lock(mutex_);
        term_ = term;
    }
    term->begin();
}

void LeaderHost::stop()
{
    std::shared_ptr<Term> term;
    {
        const std::lock_guard lock(mutex_);
        term = std::exchange(term_, nullptr);
    }
    if (term) {
        term->end();
    }
}

std::shared_ptr<LeaderHost::Term> LeaderHost::currentTerm() const
{
    const std::lock_guard lock(mutex_);
    return term_;
}

std::optional<std::size_t> LeaderHost::waitingJobs(const std::string &queue) const
{
    const auto term = currentTerm();
    return term ? term->waitingJobs(queue) : std::nullopt;
}

void LeaderHost::input(batch::LeaderInput input)
{
    if (const auto term = currentTerm()) {
        term->inputs_.put(std::move(input));
    }
}

}
