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

/// A watch in progress receives no events once the store has compacted its history; only the next watch gets the error. Urgent
/// jobs may be delayed by this time.
constexpr milliseconds watchWait{500};
constexpr milliseconds retryDelay{150};

/// Delay before the fleet profile is read again after a failure.
constexpr milliseconds profileRetryDelay{1'000};

/// Longest time between two steps of the scheduler.
constexpr milliseconds tickInterval{100};

/// Interval of counting the waiting jobs, and the maximum age of a count that is returned.
constexpr milliseconds countInterval{500};
constexpr milliseconds maxCountAge{1'000};

/// Shortest time between two steps. A step iterates over the whole fleet, so inputs that arrive in the meantime are handled in one step.
constexpr milliseconds minStepInterval{8};

/// Time that a leader waits for its last writes before it stops.
constexpr milliseconds finalWriteTimeout{600};

std::string jobIdFromKey(const std::string &key, const std::string &prefix)
{
    return key.substr(prefix.size());
}

/// Decodes the value of \p item with \p decode. On failure logs \p failureEvent and returns nothing.
template<class Value>
std::optional<Value> decodeOrLog(const platform::Item &item, Result<Value> (*decode)(std::string_view), const char *failureEvent)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode(item.value_));
            return std::optional<Value>(std::move(value));
        },
        [&](const WireError &error) -> std::optional<Value> {
            logEvent(LogLevel::Error, failureEvent, {{"key", item.key_}, {"error", toString(error.code_)}});
            return std::nullopt;
        },
        []() -> std::optional<Value> { return std::nullopt; });
}

batch::LeaderInput decodeJob(const platform::Item &item)
{
    const auto unreadable = [&item](const char *reason) {
        return batch::LeaderInput(batch::JobUnreadable{JobId(jobIdFromKey(item.key_, keys::jobs)), reason});
    };
    return leaf::try_handle_all(
        [&]() -> Result<batch::LeaderInput> {
            BOOST_LEAF_AUTO(submission, batch::decodeSubmission(item.value_));
            return batch::LeaderInput(batch::JobStored{std::move(submission)});
        },
        [&](const WireError &error) { return unreadable(toString(error.code_)); },
        [&] { return unreadable("unknown"); });
}

/// Converts a job, its settings or a cancellation to an input. Returns nothing for removed keys, other keys and settings that can't be decoded.
std::optional<batch::LeaderInput> decodeInput(const platform::Item &item)
{
    if (item.removed_) {
        return std::nullopt;
    }
    if (item.key_.starts_with(keys::cancels)) {
        return batch::CancelStored{JobId(jobIdFromKey(item.key_, keys::cancels))};
    }
    if (item.key_.starts_with(keys::settings)) {
        auto settings = decodeOrLog(item, &batch::decodeAcceptedSettings, "job-settings-unreadable");
        return settings ? std::optional<batch::LeaderInput>(batch::SettingsStored{std::move(*settings)}) : std::nullopt;
    }
    if (!item.key_.starts_with(keys::jobs)) {
        return std::nullopt;
    }
    return decodeJob(item);
}

}

/// One term of this entry as leader.
struct LeaderHost::Term : std::enable_shared_from_this<LeaderHost::Term>
{
    Term(LeaderHost &owner, std::int64_t epoch, Instant since)
        : owner_(owner)
        , epoch_(epoch)
        , leader_(owner.limits_, epoch, since)
    {
    }

    void begin()
    {
        threads_.emplace_back([this] { run(); });
        for (std::size_t writer = 0; writer < batch::maxCommitsInFlight; ++writer) {
            threads_.emplace_back([this] { writeCommits(); });
        }
        // An advice request and a call about the profile may take longer than a handover. Their threads keep the term object alive until they end.
        std::thread([self = shared_from_this()] { self->processAdviceRequests(); }).detach();
        std::thread([self = shared_from_this()] { self->keepProfile(); }).detach();
    }

    /// Precondition: called once, from a thread that doesn't belong to the term.
    void end()
    {
        const Instant until = bootNow() + finalWriteTimeout;
        finishing_ = true;
        while (!fullyCommitted_ && bootNow() < until) {
            std::this_thread::sleep_for(10ms);
        }
        stopping_ = true;
        inputs_.close();
        commits_.close();
        for (std::thread &thread : threads_) {
            thread.join();
        }
    }

    /// Loads the state from the store. Jobs come before their progress records, and cancellations come last.
    [[nodiscard]] bool load()
    {
        return tryStoreCalls("leader-load-failed", [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(requests, owner_.store_.range(keys::requests, readTimeout));
            BOOST_LEAF_AUTO(progress, owner_.store_.range(keys::progress, readTimeout));
            BOOST_LEAF_AUTO(crashes, owner_.store_.range(keys::crashes, readTimeout));
            BOOST_LEAF_AUTO(starts, owner_.store_.range(keys::starts, readTimeout));
            std::vector<batch::LeaderInput> inputs;
            addInputs(inputs, requests.items_, keys::jobs);
            addInputs(inputs, requests.items_, keys::settings);
            for (const platform::Item &item : progress.items_) {
                if (auto record = decodeOrLog(item, &batch::decodeProgress, "progress-unreadable")) {
                    inputs.emplace_back(batch::ProgressStored{std::move(*record), item.revision_});
                }
            }
            for (const platform::Item &item : crashes.items_) {
                if (auto history = decodeOrLog(item, &batch::decodeCrashHistory, "crash-history-unreadable")) {
                    inputs.emplace_back(batch::CrashHistoryStored{std::move(*history)});
                }
            }
            inputs.emplace_back(startRecordsFrom(starts.items_));
            addInputs(inputs, requests.items_, keys::cancels);
            logEvent(LogLevel::Info,
                     "leader-loaded",
                     {{"epoch", epoch_},
                      {"keys", requests.items_.size()},
                      {"records", progress.items_.size()},
                      {"crash_histories", crashes.items_.size()},
                      {"start_records", starts.items_.size()}});
            revision_ = requests.atRevision_;
            loadedInputs_ = std::move(inputs);
            return true;
        });
    }

    [[nodiscard]] batch::StartRecordsStored startRecordsFrom(const std::vector<platform::Item> &items) const
    {
        batch::StartRecordsStored stored;
        for (const platform::Item &item : items) {
            if (auto record = decodeOrLog(item, &batch::decodeStartRecord, "start-record-unreadable")) {
                stored.records_.push_back({std::move(*record), owner_.ageOf_(item.revision_)});
            }
        }
        return stored;
    }

    static void addInputs(std::vector<batch::LeaderInput> &inputs, const std::vector<platform::Item> &items, const std::string &prefix)
    {
        for (const platform::Item &item : items) {
            if (!item.key_.starts_with(prefix)) {
                continue;
            }
            if (auto input = decodeInput(item)) {
                inputs.push_back(std::move(*input));
            }
        }
    }

    void run()
    {
        while (!stopping_ && !load()) {
            std::this_thread::sleep_for(retryDelay);
        }
        if (stopping_) {
            return;
        }
        // A watch may wait longer than a handover. Its thread keeps the term object alive until it ends.
        std::thread([self = shared_from_this()] { self->watchRequests(); }).detach();
        if (const auto snapshot = owner_.config_.snapshot()) {
            loadedInputs_.insert(loadedInputs_.begin(), batch::ConfigChanged{snapshot->config_});
            loadedInputs_.emplace_back(batch::EvacuationsChanged{snapshot->evacuated_});
        }
        handleOutputs(leader_.step(bootNow(), calendarNow(), std::exchange(loadedInputs_, {})));
        Instant lastStep = bootNow();
        while (!stopping_) {
            auto inputs = inputs_.takeAll(tickInterval);
            if (const Duration remaining = lastStep + minStepInterval - bootNow(); remaining > Duration(0)) {
                std::this_thread::sleep_for(remaining);
                auto lateInputs = inputs_.takeAll(Duration(0));
                std::move(lateInputs.begin(), lateInputs.end(), std::back_inserter(inputs));
            }
            lastStep = bootNow();
            handleOutputs(leader_.step(lastStep, calendarNow(), std::move(inputs)));
            countWaiting();
            fullyCommitted_ = finishing_ && leader_.isFullyCommitted();
        }
    }

    void countWaiting()
    {
        const Instant now = bootNow();
        if (now - countedAt_ < countInterval) {
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
        if (bootNow() - countedAt_ > maxCountAge) {
            return std::nullopt;
        }
        const auto found = waiting_.find(queue);
        return found == waiting_.end() ? 0 : found->second;
    }

    void watchRequests()
    {
        while (!stopping_) {
            const bool succeeded = tryStoreCalls("requests-watch-failed", [&]() -> Result<bool> {
                if (revision_ == 0) {
                    BOOST_LEAF_AUTO(range, owner_.store_.range(keys::requests, readTimeout));
                    enqueueInputs(range.items_);
                    revision_ = range.atRevision_;
                }
                BOOST_LEAF_AUTO(changes, owner_.store_.watch(keys::requests, revision_, watchWait));
                enqueueInputs(changes.events_);
                revision_ = changes.compacted_ ? 0 : std::max(revision_, changes.atRevision_);
                return true;
            });
            if (!succeeded) {
                std::this_thread::sleep_for(retryDelay);
            }
        }
    }

    void enqueueInputs(const std::vector<platform::Item> &items)
    {
        for (const platform::Item &item : items) {
            if (auto input = decodeInput(item)) {
                inputs_.put(std::move(*input));
            }
        }
    }

    void handleOutputs(std::vector<batch::LeaderOutput> outputs)
    {
        for (batch::LeaderOutput &output : outputs) {
            std::visit(Overloaded{
                           [this](batch::Commit &&commit) { commits_.put(std::move(commit)); },
                           [this](batch::StoreProfile &&write) { profileWrites_.put(std::move(write)); },
                           [this](batch::AdviceRequest &&request) { adviceRequests_.put(std::move(request)); },
                           [this](batch::SendDirective &&toSend) { owner_.sendDirective_(toSend.agent_, toSend.directive_); },
                           [this](batch::LogEvent &&event) { recordDecision(event, owner_.metrics_); },
                       },
                       std::move(output));
        }
    }

    void processAdviceRequests()
    {
        while (!stopping_) {
            for (const batch::AdviceRequest &request : adviceRequests_.takeAll(tickInterval * 10)) {
                inputs_.put(requestAdvice(request));
            }
        }
    }

    /// Reads the fleet profile once, then writes what the scheduler has learned. No step of the scheduler waits for either.
    void keepProfile()
    {
        while (!stopping_ && !loadProfile()) {
            std::this_thread::sleep_for(profileRetryDelay);
        }
        while (!stopping_) {
            const std::vector<batch::StoreProfile> writes = profileWrites_.takeAll(tickInterval * 10);
            if (!writes.empty()) {
                storeProfile(writes.back().profile_);
            }
        }
    }

    /// Passes the stored fleet profile to the scheduler. Returns whether it need not be tried again: a record that this release can't read is left alone, and
    /// the scheduler, which isn't told, doesn't replace it.
    [[nodiscard]] bool loadProfile()
    {
        return tryStoreCalls("profile-load-failed", [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(item, owner_.store_.get(keys::profile, readTimeout));
            if (!item) {
                inputs_.put(batch::FleetProfileStored{});
            } else if (auto profile = decodeOrLog(*item, &batch::decodeFleetProfile, "profile-unreadable")) {
                inputs_.put(batch::FleetProfileStored{std::move(*profile)});
            }
            return true;
        });
    }

    void storeProfile(const batch::FleetProfile &profile) const
    {
        platform::Transaction transaction;
        transaction.expected_.push_back({keys::leader, epoch_});
        transaction.puts_.push_back({keys::profile, batch::encode(profile), 0});
        if (isAnyTooLarge(transaction)) {
            logEvent(LogLevel::Warning, "profile-too-large", {{"hosts", profile.hosts_.size()}, {"queues", profile.queues_.size()}});
            return;
        }
        (void)tryStoreCalls("profile-not-stored", [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(result, owner_.store_.apply(transaction, commitTimeout));
            return result.applied_;
        });
    }

    [[nodiscard]] batch::AdviceAnswer requestAdvice(const batch::AdviceRequest &request) const
    {
        return leaf::try_handle_all(
            [&]() -> Result<batch::AdviceAnswer> {
                BOOST_LEAF_AUTO(answer, platform::requestAdvice(owner_.adviceAddress_, request, request.timeout_));
                return batch::AdviceAnswer{request.step_, request.executors_, std::move(answer.tickets_), answer.validFor_, bootNow()};
            },
            [&](const platform::AdviceError &error) {
                logEvent(LogLevel::Warning, "advice-request-failed", {{"job", request.step_.job_.str()}, {"status", error.status_}});
                return batch::AdviceAnswer{request.step_, {}, {}, {}, bootNow()};
            },
            [&] {
                return batch::AdviceAnswer{request.step_, {}, {}, {}, bootNow()};
            });
    }

    void writeCommits()
    {
        while (!stopping_) {
            for (const batch::Commit &commit : commits_.takeAll(tickInterval * 10)) {
                writeCommit(commit);
            }
        }
    }

    [[nodiscard]] platform::Transaction makeTransaction(const batch::Commit &commit) const
    {
        platform::Transaction transaction;
        transaction.expected_.push_back({keys::leader, epoch_});
        for (const batch::ProgressWrite &write : commit.writes_) {
            const std::string key = keys::progress + write.job_.str();
            transaction.expected_.push_back({key, write.expected_});
            const std::string crashesKey = keys::crashes + write.job_.str();
            if (write.crashes_ && write.crashes_->tasks_.empty()) {
                transaction.removals_.push_back(crashesKey);
            } else if (write.crashes_) {
                transaction.puts_.push_back({crashesKey, batch::encode(*write.crashes_), 0});
            }
            const std::string startsKey = keys::starts + write.job_.str();
            if (write.starts_) {
                transaction.puts_.push_back({startsKey, batch::encode(*write.starts_), 0});
            }
            const std::string settingsKey = keys::settings + write.job_.str();
            if (write.settings_) {
                transaction.puts_.push_back({settingsKey, batch::encode(batch::AcceptedSettings{write.job_, *write.settings_}), 0});
            }
            if (write.remove_) {
                transaction.removals_.insert(transaction.removals_.end(),
                                             {key, keys::jobs + write.job_.str(), keys::cancels + write.job_.str(), startsKey, settingsKey});
            } else {
                transaction.puts_.push_back({key, batch::encodeProgress(write), 0});
            }
        }
        return transaction;
    }

    [[nodiscard]] bool isAnyTooLarge(const platform::Transaction &transaction) const
    {
        return std::any_of(transaction.puts_.begin(), transaction.puts_.end(), [this](const platform::Put &put) {
            return put.value_.size() > owner_.limits_.maxRecordBytes_;
        });
    }

    void writeCommit(const batch::Commit &commit)
    {
        const Instant startedAt = bootNow();
        batch::LeaderInput answer = leaf::try_handle_all(
            [&]() -> Result<batch::LeaderInput> {
                const platform::Transaction transaction = makeTransaction(commit);
                if (isAnyTooLarge(transaction)) {
                    return leaf::new_error(StoreError{StoreErrc::Rejected}); // the store may refuse it in a way that looks like a lost answer
                }
                BOOST_LEAF_AUTO(result, owner_.store_.apply(transaction, commitTimeout));
                if (result.applied_) {
                    return batch::LeaderInput(batch::CommitDone{commit.commit_, result.revision_});
                }
                return batch::LeaderInput(makeCommitFailed(commit, result.current_));
            },
            [&](const StoreError &error) {
                logEvent(LogLevel::Warning, "commit-failed", {{"commit", commit.commit_}, {"error", toString(error.code_)}});
                if (error.code_ == StoreErrc::Rejected) {
                    return batch::LeaderInput(batch::CommitRejected{commit.commit_});
                }
                return batch::LeaderInput(batch::CommitFailed{commit.commit_, {}});
            },
            [&] {
                return batch::LeaderInput(batch::CommitFailed{commit.commit_, {}});
            });
        owner_.metrics_.observe("commit_seconds", bootNow() - startedAt);
        inputs_.put(std::move(answer));
    }

    [[nodiscard]] static batch::CommitFailed makeCommitFailed(const batch::Commit &commit, const std::vector<platform::Item> &current)
    {
        batch::CommitFailed failed{commit.commit_, {}};
        for (const platform::Item &item : current) {
            if (item.key_.starts_with(keys::progress)) {
                failed.foundRevisions_.emplace_back(JobId(jobIdFromKey(item.key_, keys::progress)), item.revision_);
            }
        }
        logEvent(LogLevel::Info, "commit-rejected", {{"commit", commit.commit_}, {"found", current.size()}});
        return failed;
    }

    LeaderHost &owner_;
    std::int64_t epoch_;
    batch::Leader leader_;
    std::vector<batch::LeaderInput> loadedInputs_;
    std::int64_t revision_ = 0;
    Mailbox<batch::LeaderInput> inputs_;
    Mailbox<batch::Commit> commits_;
    Mailbox<batch::AdviceRequest> adviceRequests_;
    Mailbox<batch::StoreProfile> profileWrites_;
    std::mutex countMutex_;
    batch::WaitingJobs waiting_;
    Instant countedAt_{}; ///< written only by run()'s thread, with countMutex_ locked
    std::atomic<bool> finishing_{false};
    std::atomic<bool> fullyCommitted_{false};
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

LeaderHost::LeaderHost(platform::StoreClient &store,
                       Metrics &metrics,
                       batch::LeaderLimits limits,
                       const ConfigReplica &config,
                       std::string adviceAddress,
                       DirectiveSender sendDirective,
                       RevisionAge ageOf)
    : store_(store)
    , metrics_(metrics)
    , limits_(limits)
    , config_(config)
    , adviceAddress_(std::move(adviceAddress))
    , sendDirective_(std::move(sendDirective))
    , ageOf_(std::move(ageOf))
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

void LeaderHost::addInput(batch::LeaderInput input)
{
    if (const auto term = currentTerm()) {
        term->inputs_.put(std::move(input));
    }
}

}
